// Rounds of a push gossip, independent of what is sent.
#pragma once

#include <bit>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "spokesail/hash.h"

namespace spokesail {

/// Decides which items a node sends in a round of push gossip: each item that
/// is new to it, for a few rounds, to a few random peers. Does no I/O and does
/// not wait.
template <typename Key>
class push_rounds {
 public:
  /// Messages per round, each to a random peer.
  static constexpr size_t fanout = 3;
  /// Rounds in which an item is sent, in addition to the bit width of the
  /// number of peers.
  static constexpr int base_rounds = 4;

  /// Sends an item in the next rounds, to a fleet with this number of peers.
  void add(const Key& key, size_t peers) {
    this->rounds_left[key] =
        base_rounds + static_cast<int>(std::bit_width(peers));
  }

  /// The items of the next round, `max_items` at most.
  std::vector<Key> next_round(size_t max_items) {
    std::vector<Key> out;
    for (auto& [key, left] : this->rounds_left) {
      if (out.size() >= max_items) break;
      --left;
      out.push_back(key);
    }
    std::erase_if(this->rounds_left,
                  [](const auto& item) { return item.second <= 0; });
    return out;
  }

  /// Whether nothing is left to send.
  bool empty() const { return this->rounds_left.empty(); }

  /// Draws the peers that receive the items of a round; `peers` is not empty.
  static std::vector<std::string> draw_peers(
      const std::vector<std::string>& peers, random_stream& random) {
    std::vector<std::string> out;
    for (size_t i = 0; i < fanout; ++i) {
      out.push_back(peers[random.below(peers.size())]);
    }
    return out;
  }

 private:
  /// Remaining rounds by item.
  std::map<Key, int> rounds_left;
};

}  // namespace spokesail
