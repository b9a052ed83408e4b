// Choice of the node from which a node receives changes of the platform's
// store.
#pragma once

#include <set>
#include <string>
#include <vector>

namespace spokesail {

/// A node that could act as a relay.
struct relay_candidate {
  std::string name;
  /// Its share of a processor core.
  float cores = 1;
  bool operator==(const relay_candidate&) const = default;
};

/// What a node knows about its possible relays.
struct relay_view {
  relay_candidate self;
  /// Live peers in the node's own data hall.
  std::vector<relay_candidate> hall_peers;
  /// The holder of the controller's lease, which watches the store in any case;
  /// empty if none is known.
  std::string holder;
  /// Whether the holder is in the node's own data hall.
  bool holder_in_hall = false;
  /// Nodes that recently did not answer or were too stale.
  std::set<std::string> excluded;
  bool operator==(const relay_view&) const = default;
};

/// The relay of a node.
struct relay_choice {
  /// The node to request updates from; the node itself if it has to watch the
  /// store.
  std::string upstream;
  /// Whether the node is one of its hall's top-ranked nodes. These probe for
  /// the return of an unreachable store without delay; other nodes probe
  /// slowly.
  bool top_ranked = false;
  bool operator==(const relay_choice&) const = default;
};

/// Number of top-ranked nodes in a hall: enough that one is left when the store
/// rejects a third of the nodes, few enough that an outage is not probed by
/// all.
inline constexpr size_t top_ranked_per_hall = 3;

/// Maximum number of followers of a relay with this share of a core: 24 for
/// half a core, 6 for an eighth. A node that has just started is sent all
/// servers, 0.1 MB for 900 of them. For eight such nodes, an eighth of a core
/// and a 20 Mbit/s link took over half a second, and the nodes gave up on their
/// relay.
size_t relay_fan_out(float cores);

/// Nodes of a hall in the order in which they forward updates: by share of a
/// core, largest first, and by a hash among equals, so that all nodes that see
/// the same peers agree.
std::vector<relay_candidate> rank_relays(std::vector<relay_candidate> nodes);

/// The names in that order.
std::vector<std::string> relay_order(std::vector<relay_candidate> nodes);

/// The nodes of a hall form a tree in `relay_order`: the first requests updates
/// from the holder of the lease, each other one from its parent. The holder is
/// the first of its own hall. A node whose parent is excluded uses the nearest
/// ancestor that is not, then the first earlier node that is not, then the
/// holder. If none is left, it watches the store itself. Among nodes that see
/// the same peers, at most one of a hall does so, whichever others have failed.
relay_choice choose_relay(const relay_view& view);

}  // namespace spokesail
