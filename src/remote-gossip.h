// What data halls tell each other of their requests in flight and their nodes.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

#include "peer-link.h"

namespace spokesail {

/// Tells other data halls what is in flight in this one. While those halls hold
/// few nodes, each node tells each of them for itself. Among 300 nodes that
/// would make news four seconds old at 60 messages a second, so that the first
/// node of each hall sums its hall up for the first nodes of the others, and
/// they pass it down with the news of the store: it is half a second old then,
/// for 60 messages a second from one node of a hall and none from the others.
class remote_gossip {
 public:
  remote_gossip(node_context& node, peer_link& link) : node(node), link(link) {}

  /// Tells the other halls what is due; `own` is this node's own word.
  void send_due(const gossip& own, absl::Time now);

  /// Takes the word of a node of another hall.
  void handle_gossip(const std::string& peer, const gossip& said,
                     absl::Time now);

  /// Takes what a relay passed on of the other halls.
  void apply_relayed(const std::vector<endpoint_load>& places, int nodes,
                     absl::Time now);

  /// Nodes of other halls that live, as far as this node knows.
  int nodes(absl::Time now) const;

  /// Nodes that could take the lease over, in order.
  std::vector<std::string> lease_candidates(absl::Time now) const;

 private:
  /// What another hall last said of itself.
  struct hall_summary {
    int nodes = 0;
    std::vector<std::string> firsts;
    absl::Time at = absl::InfinitePast();
  };
  /// Whether each node tells each node of the other halls.
  bool meshed() const;
  absl::Duration mesh_period() const;
  /// This hall's word, from what this node knows of it.
  gossip summarize_hall(const gossip& own, absl::Time now) const;
  /// What callers ask of this node, or of its hall where it speaks for all.
  std::vector<model_demand> demand_to_send(bool mesh, absl::Time now) const;
  /// Whether another hall spoke to this node lately.
  bool heard_directly(absl::Time now) const;
  /// The nodes of another hall that are told of this one.
  std::vector<std::string> top_ranked_of(
      const std::string& hall, const std::vector<relay_candidate>& known,
      absl::Time now) const;

  node_context& node;
  peer_link& link;
  absl::Time next = absl::InfinitePast();
  gossip last_gossip;
  absl::Time last_sent = absl::InfinitePast();
  absl::Time demand_sent = absl::InfinitePast();
  std::map<std::string, hall_summary> halls;
  int relayed_nodes = 0;
};

}  // namespace spokesail
