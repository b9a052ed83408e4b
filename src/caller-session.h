// One connection of a caller.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>

#include "node-context.h"

namespace spokesail {

/// What a connection waits for.
enum class session_phase { idle, reading, serving, closing };

/// Reads a caller's requests and has each of them served, one after the other.
class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  caller_session(node_context& node, boost::asio::ip::tcp::socket socket);
  ~caller_session();
  caller_session(const caller_session&) = delete;
  caller_session& operator=(const caller_session&) = delete;

  /// Serves the connection until it ends.
  boost::asio::awaitable<void> run();

  /// Closes the connection if what it waits for is overdue.
  void check_limit(absl::Time now);

  /// Sends a whole answer. False if the caller is gone.
  boost::asio::awaitable<bool> write(http_response& response);
  /// Sends a part of an answer. False if the caller is gone.
  boost::asio::awaitable<bool> write(const std::string& bytes);

  /// Ends the connection such that an answer on its way cannot look whole.
  void break_off();

  node_context& node;
  boost::asio::ip::tcp::socket socket;
  /// The exchange that serves the current request; null while there is none.
  exchange* current = nullptr;
  /// Whether the caller has closed the connection.
  bool gone = false;
  session_phase phase = session_phase::idle;

 private:
  using request_parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Reads and serves one request. Returns whether the connection may be used
  /// on.
  boost::asio::awaitable<bool> serve_one();
  /// Waits for the first byte of a request. False if the caller is gone.
  boost::asio::awaitable<bool> wait_for_request();
  /// Reads a head, or answers why not. False if there is none.
  boost::asio::awaitable<bool> read_head(request_parser& parser);
  /// Reads a body, or answers why not. False if it is not whole.
  boost::asio::awaitable<bool> read_body(request_parser& parser,
                                         byte_charge& held);
  /// Answers that the request was not accepted, and ends the connection.
  boost::asio::awaitable<void> refuse(unsigned status, const char* reason);
  /// Lets the caller read what was sent before the connection is closed.
  boost::asio::awaitable<void> close_after_answer();
  /// Notices a caller that goes while its request is served.
  void watch_caller();
  /// Begins the time within which a caller has to read on.
  void expect_reading();
  /// Takes note of how a write ended. False if the caller is gone.
  bool end_write(const boost::system::error_code& error);
  /// Ends the connection of a caller that does not read its answer.
  void give_up_caller();

  /// Bytes that were read beyond the last request.
  boost::beast::flat_buffer buffer;
  /// When what the connection waits for is overdue.
  absl::Time limit = absl::InfiniteFuture();
  /// When the caller has to have read some of what is being sent to it.
  absl::Time unread_limit = absl::InfiniteFuture();
};

}  // namespace spokesail
