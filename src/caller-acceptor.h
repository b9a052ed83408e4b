// Accepts callers' connections, as many as the node can serve.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "host-meter.h"
#include "node-context.h"

namespace spokesail {

/// The listener for callers. It is closed while the node cannot serve another
/// request: the kernel then refuses connections at once and resets those that
/// wait to be accepted, at no cost to this process however many there are.
/// Nothing of them has been read, so that their callers can send any request to
/// another node.
class caller_acceptor {
 public:
  explicit caller_acceptor(node_context& node)
      : node(node), listener(node.loop) {}

  /// Binds the address and listens. Logs and returns false if that fails.
  bool listen(const std::string& address);

  /// Accepts connections until `close` is called.
  boost::asio::awaitable<void> run();

  /// Accepts no more connections.
  void close();
  bool is_closed() const { return this->closed; }

  /// Number of connections that wait to be accepted.
  int queue_length();
  /// Number of times that the listener was closed for lack of capacity.
  uint64_t pauses() const { return this->pause_count; }

 private:
  /// Whether the sockets of another request can be opened.
  bool has_sockets() const;
  /// Why no connection may be accepted; null if one may.
  const char* reason_to_pause() const;
  /// Closes the listener until another request can be served.
  boost::asio::awaitable<void> pause(const char* reason);
  /// Accepts the connections that wait, as far as they can be served.
  /// Returns false if that failed.
  bool accept_waiting();
  void start_session(boost::asio::ip::tcp::socket socket);

  node_context& node;
  std::string address;
  boost::asio::ip::tcp::acceptor listener;
  bool closed = false;
  uint64_t pause_count = 0;
};

}  // namespace spokesail
