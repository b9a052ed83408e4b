// A TCP relay on loopback that harms the connections that pass through it.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <string>

namespace spokesail::soak {

/// What a relay does to bytes until it is changed.
struct relay_faults {
  /// Added to each piece of bytes, either way.
  absl::Duration delay = absl::ZeroDuration();
  /// Bytes from the side that connected, or to it, are not passed on until
  /// this ends.
  bool hold_forth = false;
  bool hold_back = false;
  bool operator==(const relay_faults&) const = default;
};

/// Relays connections from one address to another.
class faulty_relay {
 public:
  faulty_relay(boost::asio::io_context& loop, const std::string& from,
               const std::string& to);

  /// Begins to accept.
  void start();
  /// Resets all connections that are open.
  void reset_all();

  relay_faults faults;

 private:
  using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(socket_ptr near);
  boost::asio::awaitable<void> pass(socket_ptr from, socket_ptr to,
                                    bool relay_faults::*held);

  boost::asio::io_context& loop;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint target;
  std::set<socket_ptr> open;
};

}  // namespace spokesail::soak
