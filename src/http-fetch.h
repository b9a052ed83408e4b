// HTTP calls with one whole answer on the event loop: store, orders, reports.
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

#include "spokesail/platform-adapter.h"

namespace spokesail {

/// Reads "A.B.C.D:PORT"; fails with an error code.
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address,
                                              boost::system::error_code& error);

/// Connects an unused socket to "A.B.C.D:PORT". Gives the error, if any.
boost::asio::awaitable<boost::system::error_code> connect_to(
    boost::asio::ip::tcp::socket& socket, const std::string& address);

/// How far a call came.
enum class fetch_status {
  ok,
  /// No connection, so that no byte was sent.
  not_sent,
  /// Sent at least in part; no whole answer came.
  no_answer
};

/// A call's end.
struct fetch_result {
  fetch_status status = fetch_status::not_sent;
  http_response response;
  /// Why there is no whole answer, for the log.
  std::string error;
};

/// Calls with kept connections. A connection on which an answer was lost is
/// closed. A call that fails on a kept connection is not sent again.
class http_fetcher {
 public:
  /// `agent` names this process to those it calls.
  http_fetcher(boost::asio::any_io_executor executor, std::string agent)
      : executor(std::move(executor)), agent(std::move(agent)) {}

  /// Sends one request and reads the whole answer, in `limit` all told.
  boost::asio::awaitable<fetch_result> fetch(std::string address,
                                             http_request request,
                                             absl::Duration limit);

  /// Closes kept connections that have rested for `age`.
  void close_idle(absl::Duration age, absl::Time now);

 private:
  using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;
  struct kept {
    socket_ptr socket;
    absl::Time since;
  };
  /// A kept connection that may be used; null if there is none.
  socket_ptr take(const std::string& address);
  /// Sends a request over a connection and reads the whole answer.
  boost::asio::awaitable<void> call(const std::string& address,
                                    const socket_ptr& socket,
                                    http_request& request, fetch_result& out);

  boost::asio::any_io_executor executor;
  std::string agent;
  /// Kept connections by address.
  std::map<std::string, std::vector<kept>> idle;
};

}  // namespace spokesail
