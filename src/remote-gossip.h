// Gossip between data halls about their requests in flight and their nodes.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

#include "peer-link.h"

namespace spokesail {

/// Sends this hall's load to remote data halls. While those halls have few
/// nodes, each node sends its own load to each of them. With 300 nodes, at 60
/// messages a second, reports would be four seconds old. Above a limit, only
/// the top-ranked node of a hall sends: a summary of its hall, to the
/// top-ranked nodes of the others, which forward it with the updates of the
/// store. The summary is half a second old on arrival. This takes 60 messages a
/// second from one node of a hall and none from the others.
class remote_gossip {
 public:
  remote_gossip(node_context& node, peer_link& link) : node(node), link(link) {}

  /// Sends what is due to remote halls; `own` is this node's own state.
  void send_due(const gossip& own, absl::Time now);

  /// Handles gossip from a node of a remote hall.
  void handle_gossip(const std::string& peer, const gossip& report,
                     absl::Time now);

  /// Handles the loads of remote halls that a relay forwarded.
  void apply_relayed(const std::vector<endpoint_load>& loads, int nodes,
                     absl::Time now);

  /// Number of live nodes in remote halls, as far as this node knows.
  int nodes(absl::Time now) const;

  /// Nodes that could take over the lease, best first.
  std::vector<std::string> lease_candidates(absl::Time now) const;

 private:
  /// The latest summary of a remote hall.
  struct hall_summary {
    int nodes = 0;
    std::vector<std::string> contacts;
    absl::Time at = absl::InfinitePast();
  };
  /// Whether each node sends to each node of the remote halls (full mesh).
  bool meshed() const;
  absl::Duration mesh_period() const;
  /// Period at which this node receives messages of each remote hall, if it is
  /// one of its hall's `contacts`; infinite if it receives none.
  absl::Duration receive_period(bool mesh,
                                const std::vector<std::string>& contacts) const;
  /// Sends to the nodes of other halls that receive this hall's summary.
  void send_to_contacts(const gossip& report, absl::Time now);
  /// Sends an empty message if this node is one of its hall's `contacts`, so
  /// that the hall does not fall silent when the node that summarizes it fails.
  void send_keep_alive(const std::vector<std::string>& contacts,
                       absl::Time now);
  /// This hall's summary, from this node's view of it.
  gossip summarize_hall(const gossip& own, absl::Time now) const;
  /// Callers' demand at this node, or in its hall when it sends the hall's
  /// summary.
  std::vector<model_demand> demand_to_send(bool mesh, absl::Time now) const;
  /// Whether this node has recently received a summary directly from a remote
  /// hall.
  bool heard_directly(absl::Time now) const;
  /// The nodes of a remote hall that receive this hall's summary.
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
