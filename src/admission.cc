#include "spokesail/admission.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Number of callers of a workspace above which those without a waiting request
/// are dropped.
constexpr size_t max_idle_callers = 256;

}  // namespace

bool fair_queue::push(const queued_request& request, size_t limit) {
  if (this->count >= limit) return false;
  auto& queue = this->workspace_queues[request.workspace];
  const size_t share = limit / (this->workspace_queues.size() + 1);
  if (this->count >= limit / 2 && queue.waiting.size() > share) return false;
  if (exceeds_caller_share(queue, request.caller, share)) return false;
  if (queue.waiting.empty()) {
    queue.start_tag = std::max(queue.start_tag, this->virtual_time);
  }
  auto at = queue.waiting.end();
  while (at != queue.waiting.begin() &&
         std::prev(at)->priority < request.priority) {
    --at;
  }
  queue.waiting.insert(at, request);
  this->count++;
  add_caller(queue, request.caller);
  return true;
}

void fair_queue::push_front(const queued_request& request) {
  auto& queue = this->workspace_queues[request.workspace];
  queue.waiting.push_front(request);
  this->count++;
  add_caller(queue, request.caller);
}

bool fair_queue::exceeds_caller_share(const workspace_queue& queue,
                                      const std::string& caller, size_t share) {
  if (caller.empty() || queue.waiting.size() < share / 2) return false;
  std::map<std::string, size_t> count_by_caller;
  for (const auto& waiting : queue.waiting) count_by_caller[waiting.caller]++;
  return count_by_caller[caller] > share / (count_by_caller.size() + 1);
}

void fair_queue::add_caller(workspace_queue& queue, const std::string& caller) {
  double& tag = queue.callers[caller];
  tag = std::max(tag, queue.caller_virtual_time);
  if (queue.callers.size() > max_idle_callers) prune_callers(queue);
}

void fair_queue::prune_callers(workspace_queue& queue) {
  const auto has_waiting = [&](const std::string& caller) {
    return std::any_of(
        queue.waiting.begin(), queue.waiting.end(),
        [&](const auto& waiting) { return waiting.caller == caller; });
  };
  std::erase_if(queue.callers, [&](const auto& item) {
    return item.second <= queue.caller_virtual_time && !has_waiting(item.first);
  });
  if (queue.callers.size() <= max_idle_callers) return;
  std::erase_if(queue.callers,
                [&](const auto& item) { return !has_waiting(item.first); });
}

void fair_queue::charge(const std::string& workspace, const std::string& caller,
                        double cost) {
  auto& queue = this->workspace_queues[workspace];
  add_caller(queue, caller);
  // The caller may have been among those just dropped.
  double& tag = queue.callers[caller];
  tag = std::max(tag, queue.caller_virtual_time) + cost;
}

size_t fair_queue::first_index(const workspace_queue& queue,
                               const std::string* kind) {
  if (kind == nullptr && queue.callers.size() <= 1) return 0;
  std::optional<size_t> best;
  double min_tag = 0;
  for (size_t i = 0; i < queue.waiting.size(); ++i) {
    const queued_request& request = queue.waiting[i];
    if (kind != nullptr && request.kind != *kind) continue;
    if (best && request.priority < queue.waiting[*best].priority) break;
    const auto found = queue.callers.find(request.caller);
    const double tag = found == queue.callers.end() ? 0 : found->second;
    if (best && tag >= min_tag) continue;
    best = i;
    min_tag = tag;
  }
  return best.value_or(0);
}

std::optional<fair_queue::position> fair_queue::next_by_share() const {
  auto best = this->workspace_queues.end();
  int best_priority = 0;
  for (auto it = this->workspace_queues.begin();
       it != this->workspace_queues.end(); ++it) {
    const workspace_queue& queue = it->second;
    if (queue.waiting.empty()) continue;
    const int own_priority = this->policy.priority_across_workspaces
                                 ? queue.waiting.front().priority
                                 : 0;
    const bool first = best == this->workspace_queues.end() ||
                       own_priority > best_priority ||
                       (own_priority == best_priority &&
                        queue.start_tag < best->second.start_tag);
    if (!first) continue;
    best = it;
    best_priority = own_priority;
  }
  if (best == this->workspace_queues.end()) return std::nullopt;
  return position{best->first, first_index(best->second, nullptr)};
}

std::optional<fair_queue::position> fair_queue::next_by_starvation_guard()
    const {
  std::optional<position> best;
  uint64_t max_turns_waited = 0;
  for (const auto& [workspace, queue] : this->workspace_queues) {
    for (const queued_request& request : queue.waiting) {
      const auto last = this->last_turn.find({request.kind, workspace});
      const uint64_t turns_waited =
          this->turns_taken -
          (last == this->last_turn.end() ? 0 : last->second) + 1;
      if (turns_waited <= max_turns_waited) continue;
      max_turns_waited = turns_waited;
      best = position{workspace, first_index(queue, &request.kind)};
    }
  }
  return best;
}

std::optional<fair_queue::position> fair_queue::next_position() const {
  const int interval = this->policy.starvation_guard_interval;
  const bool guard_turn =
      interval > 0 && this->turns_taken % interval == interval - 1U;
  return guard_turn ? this->next_by_starvation_guard() : this->next_by_share();
}

const queued_request* fair_queue::front() const {
  const auto next = this->next_position();
  if (!next) return nullptr;
  return &this->workspace_queues.at(next->workspace).waiting[next->index];
}

void fair_queue::advance(double served_tag) {
  // A request that went first for a reason other than its workspace's share
  // must not advance the virtual time past the other workspaces.
  double min_tag = served_tag;
  for (const auto& [workspace, queue] : this->workspace_queues) {
    if (!queue.waiting.empty()) min_tag = std::min(min_tag, queue.start_tag);
  }
  this->virtual_time = std::max(this->virtual_time, min_tag);
}

std::optional<queued_request> fair_queue::pop() {
  const auto next = this->next_position();
  if (!next) return std::nullopt;
  auto& queue = this->workspace_queues[next->workspace];
  const auto at = queue.waiting.begin() + static_cast<ptrdiff_t>(next->index);
  queued_request request = std::move(*at);
  queue.waiting.erase(at);
  this->count--;
  this->advance(queue.start_tag);
  const double cost = request.cost / std::max(request.weight, 1);
  queue.start_tag += cost;
  double& tag = queue.callers[request.caller];
  queue.caller_virtual_time = std::max(queue.caller_virtual_time, tag);
  tag += cost;
  this->turns_taken++;
  if (this->policy.starvation_guard_interval > 0) {
    this->last_turn[{request.kind, request.workspace}] = this->turns_taken;
  }
  return request;
}

bool fair_queue::remove(uint64_t id) {
  for (auto& [name, queue] : this->workspace_queues) {
    const auto removed = std::erase_if(
        queue.waiting, [id](const auto& waiting) { return waiting.id == id; });
    this->count -= removed;
    if (removed > 0) return true;
  }
  return false;
}

std::vector<queued_request> fair_queue::expire(absl::Time now) {
  std::vector<queued_request> expired;
  for (auto& [name, queue] : this->workspace_queues) {
    std::erase_if(queue.waiting, [&](const auto& waiting) {
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
