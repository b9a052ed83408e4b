// HTTP calls on the event loop, to the store and to backend servers.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "server-dialer.h"
#include "spokesail/byte-budget.h"
#include "spokesail/platform-adapter.h"

namespace spokesail {

/// Parses "A.B.C.D:PORT". Sets `error` if it is malformed.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address,
                                              boost::system::error_code& error);

/// Connects an unused socket to "A.B.C.D:PORT". Returns the error, if any.
boost::asio::awaitable<boost::system::error_code> connect_to(
    boost::asio::ip::tcp::socket& socket, const std::string& address);

/// How far a call got.
enum class fetch_status {
  ok,
  /// No connection was made, so nothing was sent.
  not_sent,
  /// Sent at least in part, but no complete response was received.
  no_response
};

/// The result of a call.
struct fetch_result {
  fetch_status status = fetch_status::not_sent;
  http_response response;
  /// Why there is no complete response, for the log.
  std::string error;
  /// Whether the other end had accepted the connection and then sent nothing
  /// until the timeout.
  bool silent = false;
  /// Whether the other end refused the connection.
  bool refused = false;
  /// Whether the bytes received are no response, or more than is read.
  bool malformed = false;
  /// Whether the response exceeds the size that is read.
  bool too_large = false;
};

/// How a call gets its connection.
struct fetch_options {
  /// Largest body of a page of the store's lists, with a margin, in bytes.
  static constexpr uint64_t max_page_bytes = 16 << 20;

  /// Opens new connections; they are opened directly if it is null.
  server_dialer* dialer = nullptr;
  /// Whether an idle connection may be used.
  bool reuse = true;
  /// Largest body that is read, in bytes.
  uint64_t max_body = max_page_bytes;
};

/// Makes HTTP calls over connections that are kept for reuse. A connection on
/// which a response was lost is closed. A call that fails on a reused
/// connection is not retried.
class http_fetcher {
 public:
  /// `agent` is sent as the `User-Agent` header. Responses that are being read
  /// hold `max_bytes` together, apart from the oldest and from small parts of
  /// the others; 0 for no limit.
  http_fetcher(boost::asio::any_io_executor executor, std::string agent,
               size_t max_bytes = 0)
      : executor(std::move(executor)),
        agent(std::move(agent)),
        incoming(max_bytes) {}

  /// Sends one request and reads the complete response. `timeout` covers the
  /// whole call, including connecting.
  boost::asio::awaitable<fetch_result> fetch(std::string address,
                                             http_request request,
                                             absl::Duration timeout,
                                             fetch_options options);
  boost::asio::awaitable<fetch_result> fetch(std::string address,
                                             http_request request,
                                             absl::Duration timeout) {
    return this->fetch(std::move(address), std::move(request), timeout,
                       fetch_options());
  }

  /// Closes connections that have been idle for longer than `age`.
  void close_idle(absl::Duration age, absl::Time now);

 private:
  using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;
  struct idle_connection {
    socket_ptr socket;
    absl::Time since;
  };
  /// Takes an idle connection that is still usable; null if there is none.
  socket_ptr take_idle(const std::string& address);
  /// Sends a request over a connection and reads the complete response.
  boost::asio::awaitable<void> call(const std::string& address,
                                    const socket_ptr& socket,
                                    http_request& request,
                                    const fetch_options& options,
                                    fetch_result& out);

  boost::asio::any_io_executor executor;
  std::string agent;
  /// Memory for all responses that are being read.
  byte_budget incoming;
  /// Idle connections by address.
  std::map<std::string, std::vector<idle_connection>> idle;
};

}  // namespace spokesail
