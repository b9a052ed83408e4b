#include "spokesail/admission.h"

#include <algorithm>

namespace spokesail {

bool fair_queue::push(const queued_request& request, size_t limit) {
  if (this->count >= limit) return false;
  auto& line = this->lines[request.workspace];
  const size_t share = limit / (this->lines.size() + 1);
  if (this->count >= limit / 2 && line.waiting.size() > share) return false;
  if (line.waiting.empty()) {
    line.start_tag = std::max(line.start_tag, this->virtual_time);
  }
  auto at = line.waiting.end();
  while (at != line.waiting.begin() &&
         std::prev(at)->priority < request.priority) {
    --at;
  }
  line.waiting.insert(at, request);
  this->count++;
  return true;
}

void fair_queue::push_front(const queued_request& request) {
  auto& line = this->lines[request.workspace];
  line.waiting.push_front(request);
  this->count++;
}

template <typename Lines>
auto fair_queue::turn(Lines& lines) {
  auto best = lines.end();
  for (auto it = lines.begin(); it != lines.end(); ++it) {
    if (it->second.waiting.empty()) continue;
    if (best == lines.end() || it->second.start_tag < best->second.start_tag) {
      best = it;
    }
  }
  return best;
}

const queued_request* fair_queue::front() const {
  const auto best = turn(this->lines);
  return best == this->lines.end() ? nullptr : &best->second.waiting.front();
}

std::optional<queued_request> fair_queue::pop() {
  const auto best = turn(this->lines);
  if (best == this->lines.end()) return std::nullopt;
  auto& line = best->second;
  queued_request request = std::move(line.waiting.front());
  line.waiting.pop_front();
  this->count--;
  this->virtual_time = line.start_tag;
  line.start_tag += request.cost / std::max(request.weight, 1);
  return request;
}

bool fair_queue::remove(uint64_t id) {
  for (auto& [name, line] : this->lines) {
    const auto gone = std::erase_if(
        line.waiting, [id](const auto& waiting) { return waiting.id == id; });
    this->count -= gone;
    if (gone > 0) return true;
  }
  return false;
}

std::vector<queued_request> fair_queue::expire(absl::Time now) {
  std::vector<queued_request> expired;
  for (auto& [name, line] : this->lines) {
    std::erase_if(line.waiting, [&](const auto& waiting) {
      if (waiting.deadline > now) return false;
      expired.push_back(waiting);
      return true;
    });
  }
  this->count -= expired.size();
  return expired;
}

bool token_bucket::take(double amount, absl::Time now) {
  if (this->last != absl::InfinitePast() && now > this->last) {
    this->add(this->rate * absl::ToDoubleSeconds(now - this->last));
  }
  this->last = std::max(this->last, now);
  if (this->tokens < amount) return false;
  this->tokens -= amount;
  return true;
}

void token_bucket::add(double amount) {
  this->tokens = std::min(this->burst, this->tokens + amount);
}

absl::Duration token_bucket::wait_for(double amount) const {
  if (this->tokens >= amount) return absl::ZeroDuration();
  if (this->rate <= 0) return absl::InfiniteDuration();
  return absl::Seconds((amount - this->tokens) / this->rate);
}

}  // namespace spokesail
