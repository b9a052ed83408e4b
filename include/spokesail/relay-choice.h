// Chooses from whom a node hears what has changed in the platform's store.
#pragma once

#include <set>
#include <string>
#include <vector>

namespace spokesail {

/// A node that could pass news on.
struct relay_candidate {
  std::string name;
  /// Its part of a processor core.
  float cores = 1;
  bool operator==(const relay_candidate&) const = default;
};

/// What a node knows of those that could tell it of changes.
struct relay_view {
  relay_candidate self;
  /// Live peers in the node's own data hall.
  std::vector<relay_candidate> hall_peers;
  /// The holder of the controller's lease, which watches the store in any
  /// case; empty if none is known.
  std::string holder;
  /// Whether the holder is in the node's own data hall.
  bool holder_in_hall = false;
  /// Nodes that did not answer, or did not know better, a short time ago.
  std::set<std::string> excluded;
  bool operator==(const relay_view&) const = default;
};

/// From whom a node hears of changes.
struct relay_choice {
  /// The node to ask; the node itself if it has to watch the store.
  std::string upstream;
  /// Whether the node is one of the hall's first. Such nodes look for a store
  /// that is away without delay, and the others slowly.
  bool top_ranked = false;
  bool operator==(const relay_choice&) const = default;
};

/// So many nodes of a hall stand ready to be its first: enough that one stays
/// when the store turns away a third of the nodes, few enough that an outage
/// is not probed by all.
inline constexpr size_t top_ranked_per_hall = 3;

/// So many nodes ask a relay with this part of a core: 24 where it has half of
/// one, 6 on an eighth. A node that has just started is told of all servers,
/// 0.1 MB for 900 of them; an eighth of a core and a link of 20 Mbit/s took
/// over half a second for eight such nodes, and they passed it over.
size_t relay_fan_out(float cores);

/// The order in which nodes of a hall pass news on: those with more of a core
/// first, and by a hash among equals, so that all that see the same nodes
/// agree.
std::vector<relay_candidate> rank_relays(std::vector<relay_candidate> nodes);

/// The names in that order.
std::vector<std::string> relay_order(std::vector<relay_candidate> nodes);

/// The nodes of a hall form a tree in `relay_order`: its first asks the holder
/// of the lease, and each other one asks its parent. The holder is the first
/// of its own hall. A node whose parent is passed over asks the nearest
/// ancestor that is not, then the first node before it that is not, then the
/// holder. If nobody is left, it watches the store itself; of nodes that see
/// the same, that is one of a hall at most, whatever has failed.
relay_choice choose_relay(const relay_view& view);

}  // namespace spokesail
