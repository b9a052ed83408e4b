#include "spokesail/crash-spread.h"

#include <algorithm>
#include <bit>

namespace spokesail {

bool crash_spread::concerns_all(const crash_tracker& tracker,
                                const request_trait& trait, absl::Time now) {
  if (tracker.crash_count(trait) > 1) return true;
  return trait.kind == trait_kind::prompt_part && tracker.suspected(trait, now);
}

void crash_spread::queue_changes(crash_tracker& tracker, size_t nodes,
                                 absl::Time now) {
  for (const auto& trait : tracker.take_changes()) {
    if (concerns_all(tracker, trait, now)) this->broadcast.insert(trait);
    const bool to_all = this->broadcast.count(trait) != 0;
    this->rounds_left[trait] =
        to_all ? base_rounds + static_cast<int>(std::bit_width(nodes))
               : collector_rounds;
  }
  std::erase_if(this->broadcast,
                [&](const auto& trait) { return !tracker.contains(trait); });
}

std::vector<crash_spread::message> crash_spread::next_round(
    crash_tracker& tracker, const std::vector<std::string>& peers,
    random_stream& random, absl::Time now) {
  this->queue_changes(tracker, peers.size(), now);
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
  for (auto& [trait, rounds] : this->rounds_left) {
    if (this->broadcast.count(trait) == 0 || updates.size() >= max_updates)
      continue;
    --rounds;
    const auto update = tracker.update_for(trait, now);
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
  for (auto& [trait, rounds] : this->rounds_left) {
    if (this->broadcast.count(trait) != 0) continue;
    --rounds;
    const auto update = tracker.update_for(trait, now);
    if (!update) continue;
    for (const auto& peer : rendezvous(to_text(trait), nodes, collectors)) {
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
