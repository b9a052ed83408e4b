#include "spokesail/admission.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Maximum number of callers of a workspace that are kept without a waiting
/// request.
constexpr size_t most_callers = 256;

}  // namespace

bool fair_queue::push(const queued_request& request, size_t limit) {
  if (this->count >= limit) return false;
  auto& line = this->lines[request.workspace];
  const size_t share = limit / (this->lines.size() + 1);
  if (this->count >= limit / 2 && line.waiting.size() > share) return false;
  if (exceeds_caller_share(line, request.caller, share)) return false;
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
  join(line, request.caller);
  return true;
}

void fair_queue::push_front(const queued_request& request) {
  auto& line = this->lines[request.workspace];
  line.waiting.push_front(request);
  this->count++;
  join(line, request.caller);
}

bool fair_queue::exceeds_caller_share(const line& line,
                                      const std::string& caller, size_t share) {
  if (caller.empty() || line.waiting.size() < share / 2) return false;
  std::map<std::string, size_t> held;
  for (const auto& waiting : line.waiting) held[waiting.caller]++;
  return held[caller] > share / (held.size() + 1);
}

void fair_queue::join(line& line, const std::string& caller) {
  double& tag = line.callers[caller];
  tag = std::max(tag, line.caller_time);
  if (line.callers.size() > most_callers) prune_callers(line);
}

void fair_queue::prune_callers(line& line) {
  const auto waits = [&](const std::string& caller) {
    return std::any_of(
        line.waiting.begin(), line.waiting.end(),
        [&](const auto& waiting) { return waiting.caller == caller; });
  };
  std::erase_if(line.callers, [&](const auto& item) {
    return item.second <= line.caller_time && !waits(item.first);
  });
  if (line.callers.size() <= most_callers) return;
  std::erase_if(line.callers,
                [&](const auto& item) { return !waits(item.first); });
}

void fair_queue::charge(const std::string& workspace, const std::string& caller,
                        double cost) {
  auto& line = this->lines[workspace];
  join(line, caller);
  // The caller may have been among those just dropped.
  double& tag = line.callers[caller];
  tag = std::max(tag, line.caller_time) + cost;
}

size_t fair_queue::first_in_line(const line& line, const std::string* kind) {
  if (kind == nullptr && line.callers.size() <= 1) return 0;
  std::optional<size_t> best;
  double least = 0;
  for (size_t i = 0; i < line.waiting.size(); ++i) {
    const queued_request& request = line.waiting[i];
    if (kind != nullptr && request.kind != *kind) continue;
    if (best && request.priority < line.waiting[*best].priority) break;
    const auto found = line.callers.find(request.caller);
    const double tag = found == line.callers.end() ? 0 : found->second;
    if (best && tag >= least) continue;
    best = i;
    least = tag;
  }
  return best.value_or(0);
}

std::optional<fair_queue::position> fair_queue::next_by_share() const {
  auto best = this->lines.end();
  int urgency = 0;
  for (auto it = this->lines.begin(); it != this->lines.end(); ++it) {
    const line& line = it->second;
    if (line.waiting.empty()) continue;
    const int own = this->order.priority_across_workspaces
                        ? line.waiting.front().priority
                        : 0;
    const bool first =
        best == this->lines.end() || own > urgency ||
        (own == urgency && line.start_tag < best->second.start_tag);
    if (!first) continue;
    best = it;
    urgency = own;
  }
  if (best == this->lines.end()) return std::nullopt;
  return position{best->first, first_in_line(best->second, nullptr)};
}

std::optional<fair_queue::position> fair_queue::next_by_starvation_guard()
    const {
  std::optional<position> best;
  uint64_t longest = 0;
  for (const auto& [workspace, line] : this->lines) {
    for (const queued_request& request : line.waiting) {
      const auto last = this->last_turn.find({request.kind, workspace});
      const uint64_t since =
          this->turns - (last == this->last_turn.end() ? 0 : last->second) + 1;
      if (since <= longest) continue;
      longest = since;
      best = position{workspace, first_in_line(line, &request.kind)};
    }
  }
  return best;
}

std::optional<fair_queue::position> fair_queue::turn() const {
  const int every = this->order.starvation_guard_interval;
  const bool floor = every > 0 && this->turns % every == every - 1U;
  return floor ? this->next_by_starvation_guard() : this->next_by_share();
}

const queued_request* fair_queue::front() const {
  const auto next = this->turn();
  if (!next) return nullptr;
  return &this->lines.at(next->workspace).waiting[next->at];
}

void fair_queue::advance(double served) {
  // A request that went first for a reason other than its workspace's share
  // must not advance the virtual time past the other workspaces.
  double least = served;
  for (const auto& [workspace, line] : this->lines) {
    if (!line.waiting.empty()) least = std::min(least, line.start_tag);
  }
  this->virtual_time = std::max(this->virtual_time, least);
}

std::optional<queued_request> fair_queue::pop() {
  const auto next = this->turn();
  if (!next) return std::nullopt;
  auto& line = this->lines[next->workspace];
  const auto at = line.waiting.begin() + static_cast<ptrdiff_t>(next->at);
  queued_request request = std::move(*at);
  line.waiting.erase(at);
  this->count--;
  this->advance(line.start_tag);
  const double cost = request.cost / std::max(request.weight, 1);
  line.start_tag += cost;
  double& tag = line.callers[request.caller];
  line.caller_time = std::max(line.caller_time, tag);
  tag += cost;
  this->turns++;
  if (this->order.starvation_guard_interval > 0) {
    this->last_turn[{request.kind, request.workspace}] = this->turns;
  }
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

bool token_bucket::try_consume(double amount, absl::Time now) {
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
