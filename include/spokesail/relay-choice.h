// Chooses from whom a node hears what has changed in the platform's store.
#pragma once

#include <set>
#include <string>
#include <vector>

namespace spokesail {

/// What a node knows of those that could tell it of changes.
struct relay_view {
  std::string self;
  /// Live peers in the node's own data hall.
  std::vector<std::string> hall_peers;
  /// The live holder of the controller's lease, which watches the store in any
  /// case; empty if none is known.
  std::string holder;
  /// Whether the holder is in the node's own data hall.
  bool holder_near = false;
  /// Nodes that did not answer, or did not know better, a short time ago.
  std::set<std::string> passed_over;
  bool operator==(const relay_view&) const = default;
};

/// From whom a node hears of changes.
struct relay_choice {
  /// The node to ask; the node itself if it has to watch the store.
  std::string upstream;
  /// Whether others of the hall may ask this node. Such nodes look for a store
  /// that is away without delay, and the others slowly.
  bool candidate = false;
  bool operator==(const relay_choice&) const = default;
};

/// So many nodes of a hall may be asked by the others: enough that one stays
/// when the store turns away a third of the nodes, few enough that an outage
/// is not probed by all.
inline constexpr size_t most_relays = 3;

/// The first usable node of the hall asks the holder; the others ask the
/// first. Near the holder all ask the holder. Without either a node watches
/// the store itself.
relay_choice choose_relay(const relay_view& view);

}  // namespace spokesail
