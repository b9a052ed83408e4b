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
  struct kept {
    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
    absl::Time since;
  };
  std::shared_ptr<boost::asio::ip::tcp::socket> take(
      const std::string& address);

  boost::asio::any_io_executor executor;
  std::string agent;
  std::map<std::string, std::vector<kept>> idle;
};

}  // namespace spokesail
