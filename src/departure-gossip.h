// Gossips which servers have announced their end to other nodes.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "peer-link.h"
#include "spokesail/push-rounds.h"

namespace spokesail {

/// Sends and receives announcements that servers make in their answers. The
/// lease holder, which replaces the groups of such servers, may not send them
/// requests, and nodes that cannot read the store have no other source.
/// Delivery is best effort: a node that misses an announcement learns of it
/// from the store or from the next answer of the server.
class departure_gossip {
 public:
  /// Maximum number of servers in a message.
  static constexpr size_t max_servers = 100;

  departure_gossip(node_context& node, peer_link& link)
      : node(node), link(link) {}

  /// Sends gossip until the process ends.
  boost::asio::awaitable<void> run();

  /// Merges the announcements that a peer knows.
  void handle_update(const std::string& peer, const departure_update& update);

 private:
  /// Sends the messages of one round.
  void send_round();

  node_context& node;
  peer_link& link;
  push_rounds<server_instance> rounds;
};

}  // namespace spokesail
