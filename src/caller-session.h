// A connection from a caller.
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

/// Phase of a connection: waiting for a request, reading one, serving it, or
/// waiting for the caller to close.
enum class session_phase { idle, reading, serving, closing };

/// Reads the requests of one connection and serves them one after the other.
class caller_session : public std::enable_shared_from_this<caller_session> {
 public:
  caller_session(node_context& node, boost::asio::ip::tcp::socket socket);
  ~caller_session();
  caller_session(const caller_session&) = delete;
  caller_session& operator=(const caller_session&) = delete;

  /// Serves the connection until it ends.
  boost::asio::awaitable<void> run();

  /// Closes the connection if its phase or a write is overdue.
  void check_deadlines(absl::Time now);

  /// Sends a complete response. False if the caller has disconnected.
  boost::asio::awaitable<bool> write(http_response& response);
  /// Sends a part of a response. False if the caller has disconnected.
  boost::asio::awaitable<bool> write(const std::string& bytes);

  /// Whether the caller has closed the connection, also if that has not been
  /// handled yet, as on a node that is late.
  bool check_disconnected();

  /// Sets whether any close resets the connection, also one by the end of this
  /// process. A response that ends with its connection needs it until its end.
  void set_reset_on_close(bool enabled);

  /// Resets the connection, so that the caller cannot take a truncated response
  /// for a complete one.
  void abort_connection();

  node_context& node;
  boost::asio::ip::tcp::socket socket;
  /// The exchange that serves the current request; null while there is none.
  exchange* current_exchange = nullptr;
  /// Whether the caller has closed the connection.
  bool disconnected = false;
  session_phase phase = session_phase::idle;

 private:
  using request_parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Reads and serves one request. Returns whether the connection can be
  /// reused.
  boost::asio::awaitable<bool> serve_one();
  /// Waits for the first byte of a request. False if the caller disconnected.
  boost::asio::awaitable<bool> wait_for_request();
  /// Whether the request that has come must not be read, since the node has
  /// more in progress than it can serve. Its caller can send it elsewhere.
  bool should_leave_unread();
  /// Reads a request's head. False if it failed; an invalid head is refused.
  boost::asio::awaitable<bool> read_head(request_parser& parser);
  /// Reads a request's body. False if it failed; an invalid body is refused.
  boost::asio::awaitable<bool> read_body(request_parser& parser,
                                         byte_charge& held);
  /// Sends a refusal and closes the connection.
  boost::asio::awaitable<void> refuse(unsigned status, const char* reason);
  /// Gives the caller time to read the response, then closes the connection.
  boost::asio::awaitable<void> close_gracefully();
  /// Aborts the current exchange if the caller disconnects while its request is
  /// being served.
  void watch_caller();
  /// Restarts the time within which the caller has to read more.
  void restart_write_deadline();
  /// Sets whether the connection counts as a request in progress.
  void set_in_progress(bool value);
  /// Records how a write ended. False if the caller has disconnected.
  bool finish_write(const boost::system::error_code& error);
  /// Resets the connection of a caller that does not read the response.
  void drop_slow_caller();

  /// Whether it counts as a request in progress.
  bool in_progress = false;
  /// Until when a new connection whose request has not come counts as one in
  /// progress.
  absl::Time first_request_by;
  /// Whether a request has come on this connection.
  bool used = false;
  /// Maximum number of bytes read that are not parsed yet. A chunk's header and
  /// trailers are parsed as a whole.
  static constexpr size_t max_unparsed_bytes = 1 << 20;
  /// Bytes that were read past the end of the last request.
  boost::beast::flat_buffer buffer{max_unparsed_bytes};
  /// When the current phase is overdue.
  absl::Time phase_deadline = absl::InfiniteFuture();
  /// Until when the caller has to read some of the data being sent.
  absl::Time write_deadline = absl::InfiniteFuture();
};

}  // namespace spokesail
