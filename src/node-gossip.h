// Periodic messages between nodes: requests in flight, servers that do not
// answer, and the lease holder's state.
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

/// Sends this node's gossip and applies that of the other nodes.
class node_gossip {
 public:
  node_gossip(node_context& node, peer_link& link)
      : node(node), link(link), remote(node, link) {}

  /// Sends changes at a bounded rate until the process ends.
  boost::asio::awaitable<void> run();

  /// Applies a peer's gossip.
  void handle_gossip(const std::string& peer, const gossip& message);

  /// Applies the parts of a relay's message that do not come from the store.
  void apply_relayed(const store_update& update);

  /// Applies a part of the holder's state unless a later one is known.
  void apply_holder_part(const holder_part& part);

  /// The holder's current state: this node's own while it holds the lease, or
  /// the last one received.
  std::optional<holder_state> current_holder_state() const;

  /// Fills in the parts of a relay's message that do not come from the store.
  void fill_update(store_update& out) const;

  /// Nodes that could take over the lease, in order of preference.
  std::vector<std::string> lease_candidates() const {
    return this->remote.lease_candidates(this->node.now());
  }

  /// Returns the state that this node publishes as the lease holder; nullopt if
  /// it is not the holder.
  std::function<std::optional<holder_state>()> own_holder_state;
  /// Returns the name of the lease holder; empty if unknown.
  std::function<std::string()> holder;
  /// Called with the lease as received from its holder.
  std::function<void(const lease_snapshot&)> on_lease;
  /// Called for each suspected server if this node holds the lease.
  std::function<void(const std::string&)> on_suspect;

 private:
  /// Sends gossip to the nodes of this data hall if it is due.
  void send_local_gossip(gossip message, absl::Time now);
  /// Sends the suspected servers to the lease holder.
  void send_suspicions(absl::Time now);
  gossip make_gossip() const;
  /// Counts the live nodes, records them for the upper bound, and sets the
  /// timeouts that follow from the size of the hall.
  void update_hall_size(absl::Time now);
  /// Logs each endpoint that has become slow or is fast again.
  void log_speeds(absl::Time now);

  node_context& node;
  peer_link& link;
  holder_assembler received_holder;
  remote_gossip remote;
  /// The last message sent to this data hall.
  gossip last_local_gossip;
  absl::Time local_gossip_sent_at = absl::InfinitePast();
  gossip_pacer local_pace;
  absl::Time demand_sent = absl::InfinitePast();
  /// When suspicions were last sent.
  absl::Time suspicions_sent_at = absl::InfinitePast();
};

}  // namespace spokesail
