// Counts requests by second and averages them.
#include "spokesail/demand-window.h"

namespace spokesail {

demand_window::second_count& demand_window::current(seconds& counts,
                                                    absl::Time now) {
  const int64_t second = absl::ToUnixSeconds(now);
  auto& count = counts[static_cast<size_t>(second) % counts.size()];
  if (count.second != second) count = {second};
  return count;
}

bool demand_window::count_arrival(const std::string& service,
                                  const std::string& model,
                                  const request_size& size, absl::Time now) {
  const model_key key{service, model};
  const bool known = this->models.count(key) != 0;
  if (!known && this->models.size() >= max_models) return false;
  second_count& count = current(this->models[key], now);
  count.requests++;
  count.prompt_tokens += size.prompt;
  count.answer_tokens += size.answer;
  return true;
}

void demand_window::count_refusal(const std::string& service,
                                  const std::string& model, absl::Time now) {
  const auto found = this->models.find({service, model});
  if (found == this->models.end()) return;
  current(found->second, now).refused++;
}

std::vector<model_demand> demand_window::rates(absl::Time now) const {
  const int64_t second = absl::ToUnixSeconds(now);
  std::vector<model_demand> out;
  for (const auto& [key, counts] : this->models) {
    model_demand demand;
    demand.service = key.first;
    demand.model = key.second;
    for (const auto& count : counts) {
      const int64_t age = second - count.second;
      if (age < 1 || age > window_s) continue;
      demand.requests += count.requests / window_s;
      demand.prompt_tokens += count.prompt_tokens / window_s;
      demand.answer_tokens += count.answer_tokens / window_s;
      demand.refused += count.refused / window_s;
    }
    out.push_back(std::move(demand));
  }
  return out;
}

}  // namespace spokesail
