// Transfers the configuration from node to node.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "node-context.h"

namespace spokesail {

/// Listens for peers' HTTP requests.
///
/// Serves this node's configuration to its peers and reads theirs. A node reads
/// a changed configuration from the relay that announced it. A change then
/// costs the store a few reads instead of one per node, and also reaches nodes
/// whose calls the store rejects. Without this, when the store rejected a third
/// of 295 nodes for nine seconds, those nodes refused every request with a key
/// after a change: a fifth of all requests.
class peer_config_service {
 public:
  explicit peer_config_service(node_context& node) : node(node) {}

  /// Binds the peer address. Logs and returns false if it cannot be bound.
  bool listen();

  /// Answers peers' requests until the process ends.
  boost::asio::awaitable<void> serve();

  /// Reads the configuration of the peer at `address`. The status is
  /// `unavailable` if the peer does not answer or has no configuration.
  boost::asio::awaitable<object_listing> fetch_from(std::string address);

  /// Serves a peer's request for a tunnel to a server.
  std::function<boost::asio::awaitable<void>(
      std::shared_ptr<boost::asio::ip::tcp::socket>, http_request)>
      on_tunnel;

 private:
  boost::asio::awaitable<void> answer(
      std::shared_ptr<boost::asio::ip::tcp::socket> socket);
  boost::asio::awaitable<void> send_config(boost::asio::ip::tcp::socket& socket,
                                           const http_request& request);

  node_context& node;
  boost::asio::ip::tcp::acceptor acceptor{node.loop};
};

}  // namespace spokesail
