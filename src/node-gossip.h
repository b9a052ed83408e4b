// What each node tells others: requests in flight, servers that fell silent,
// and the word of the lease's holder.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "peer-link.h"
#include "remote-gossip.h"
#include "spokesail/gossip-pacer.h"

namespace spokesail {

/// Sends this node's gossip and takes that of the others.
class node_gossip {
 public:
  node_gossip(node_context& node, peer_link& link)
      : node(node), link(link), far(node, link) {}

  /// Sends what has changed, at a bounded rate, until the process ends.
  boost::asio::awaitable<void> run();

  void handle_gossip(const std::string& peer, const gossip& said);

  /// Takes what a relay passed on.
  void apply_relayed(const store_update& said);

  /// Takes the holder's word, unless a later one is known.
  void apply_holder_state(const holder_state& said);

  /// The holder's word: this node's own while it holds the lease, or the last
  /// that it heard.
  std::optional<holder_state> current_holder_state() const;

  /// Fills in what a relay passes on beside the news of the store.
  void fill_update(store_update& out) const;

  /// Nodes that could take the lease over, in order.
  std::vector<std::string> lease_candidates() const {
    return this->far.lease_candidates(this->node.now());
  }

  /// What this node says as the holder of the lease; nothing if it is not.
  std::function<std::optional<holder_state>()> own_holder_state;
  /// Name of the node that holds the lease; empty if unknown.
  std::function<std::string()> holder;
  /// Called with the lease of a peer that holds it.
  std::function<void(const lease_snapshot&)> on_lease;
  /// Called with a server that this node or a peer suspects.
  std::function<void(const std::string&)> on_suspect;

 private:
  void send_local_gossip(gossip said, absl::Time now);
  /// Tells the holder of servers that this node suspects.
  void send_suspicions(absl::Time now);
  gossip make_gossip() const;
  /// Counts the nodes that live, and those that may.
  void count_nodes(absl::Time now);
  /// Writes a line on each place that has become slow, or is fast again.
  void log_speeds(absl::Time now);

  node_context& node;
  peer_link& link;
  remote_gossip far;
  /// The last message to this hall.
  gossip last_local_gossip;
  absl::Time local_gossip_sent_at = absl::InfinitePast();
  gossip_pacer local_pace;
  absl::Time demand_sent = absl::InfinitePast();
  /// When suspicions were last passed on.
  absl::Time suspicions_sent_at = absl::InfinitePast();
};

}  // namespace spokesail
