// The configuration's content, as nodes hand it on to each other.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "node-context.h"

namespace spokesail {

/// Serves this node's configuration to its peers and reads theirs. A node
/// reads a change from the relay that told of it, so that a change costs the
/// store a few reads instead of one for each node, and reaches nodes that the
/// store turns away. Where it turned away a third of 295 nodes for nine
/// seconds, these refused every request with a key after a change, a fifth of
/// all requests.
class peer_config_service {
 public:
  explicit peer_config_service(node_context& node) : node(node) {}

  /// Binds the peers' address. False, with a log line, if it cannot be had.
  bool listen();

  /// Answers peers until the process ends.
  boost::asio::awaitable<void> serve();

  /// Reads the configuration of the peer at `address`. Unavailable if the peer
  /// does not answer or has none.
  boost::asio::awaitable<object_listing> fetch_from(std::string address);

 private:
  boost::asio::awaitable<void> answer(
      std::shared_ptr<boost::asio::ip::tcp::socket> socket);

  node_context& node;
  boost::asio::ip::tcp::acceptor acceptor{node.loop};
};

}  // namespace spokesail
