// Gossips changes of servers' rate limits to other nodes.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "peer-link.h"
#include "spokesail/limit-spread.h"

namespace spokesail {

/// Sends and receives limit changes. Delivery is best effort: a node that
/// misses a change learns of the limit from the next answer that carries it.
class limit_gossip {
 public:
  limit_gossip(node_context& node, peer_link& link) : node(node), link(link) {}

  /// Sends gossip until the process ends.
  boost::asio::awaitable<void> run();

  /// Merges the reports of a peer.
  void handle_reports(const std::string& peer, const limit_update& update);

 private:
  node_context& node;
  peer_link& link;
  limit_spread spread;
};

}  // namespace spokesail
