#include "spokesail/crash-spread.h"

#include <algorithm>
#include <bit>

namespace spokesail {

void crash_spread::queue_changes(crash_tracker& tracker, size_t nodes) {
  for (const auto& request : tracker.take_changes()) {
    const size_t count = tracker.crash_count(request);
    if (count > 1) this->broadcast.insert(request);
    const bool to_all = this->broadcast.count(request) != 0;
    if (!to_all && count == 0) continue;
    this->rounds_left[request] =
        to_all ? base_rounds + static_cast<int>(std::bit_width(nodes))
               : collector_rounds;
  }
  std::erase_if(this->broadcast, [&](const auto& request) {
    return !tracker.contains(request);
  });
}

std::vector<crash_spread::message> crash_spread::next_round(
    crash_tracker& tracker, const std::vector<std::string>& peers,
    random_stream& random, absl::Time now) {
  this->queue_changes(tracker, peers.size());
  if (this->rounds_left.empty() || peers.empty()) return {};
  std::vector<message> out =
      this->broadcast_messages(tracker, peers, random, now);
  for (auto& m : this->collector_messages(tracker, peers, now)) {
    out.push_back(std::move(m));
  }
  std::erase_if(this->rounds_left,
                [](const auto& item) { return item.second <= 0; });
  return out;
}

std::vector<crash_spread::message> crash_spread::broadcast_messages(
    const crash_tracker& tracker, const std::vector<std::string>& peers,
    random_stream& random, absl::Time now) {
  std::vector<crash_update> updates;
  for (auto& [request, rounds] : this->rounds_left) {
    if (this->broadcast.count(request) == 0 || updates.size() >= max_updates)
      continue;
    --rounds;
    const auto update = tracker.update_for(request, now);
    if (update) updates.push_back(*update);
  }
  std::vector<message> out;
  for (size_t i = 0; i < fanout && !updates.empty(); ++i) {
    out.push_back({peers[random.below(peers.size())], updates});
  }
  return out;
}

std::vector<crash_spread::message> crash_spread::collector_messages(
    const crash_tracker& tracker, const std::vector<std::string>& peers,
    absl::Time now) {
  std::vector<std::string> nodes = peers;
  nodes.push_back(this->self);
  std::map<std::string, std::vector<crash_update>> by_peer;
  for (auto& [request, rounds] : this->rounds_left) {
    if (this->broadcast.count(request) != 0) continue;
    --rounds;
    const auto update = tracker.update_for(request, now);
    if (!update) continue;
    for (const auto& peer : rendezvous(to_text(request), nodes, collectors)) {
      if (peer != this->self) by_peer[peer].push_back(*update);
    }
  }
  std::vector<message> out;
  for (auto& [peer, updates] : by_peer) {
    if (updates.size() > max_updates) updates.resize(max_updates);
    out.push_back({peer, std::move(updates)});
  }
  return out;
}

}  // namespace spokesail
