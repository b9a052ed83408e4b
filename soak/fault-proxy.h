// A TCP proxy on loopback that injects faults into its connections.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <string>

namespace spokesail::soak {

/// Faults of a proxy. Each stays in effect until it is changed.
struct proxy_faults {
  /// Delay of each chunk of bytes, in both directions.
  absl::Duration delay = absl::ZeroDuration();
  /// Whether bytes to the target, or to the client, are held back until this
  /// is false again.
  bool hold_to_target = false;
  bool hold_to_client = false;
  bool operator==(const proxy_faults&) const = default;
};

/// Forwards the connections accepted at one address to another address.
class fault_proxy {
 public:
  fault_proxy(boost::asio::io_context& loop, const std::string& from,
              const std::string& to);

  /// Starts accepting connections.
  void start();
  /// Resets all open connections.
  void reset_all();

  proxy_faults faults;

 private:
  using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(socket_ptr client);
  boost::asio::awaitable<void> forward(socket_ptr from, socket_ptr to,
                                       bool proxy_faults::*hold);

  boost::asio::io_context& loop;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint target;
  std::set<socket_ptr> open;
};

}  // namespace spokesail::soak
