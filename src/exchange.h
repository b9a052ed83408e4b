// One attempt of a request at one backend server.
#pragma once

#include <absl/time/time.h>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "end-mark.h"
#include "node-context.h"
#include "response-reader.h"
#include "spokesail/response-body.h"

namespace spokesail {

/// Lowest status that reports a fault of the server rather than of the caller.
constexpr unsigned first_server_error = 500;

/// An endpoint that a request can be sent to.
struct endpoint_target {
  /// Id of the server that receives it: a group's head or a plain server.
  std::string server;
  std::string address;
  /// Name of the group; empty for plain services.
  std::string group;
  int64_t epoch = 0;
  /// Members of the group, which are probed when its streams stall.
  std::vector<std::string> members;
  /// Identifies the start of the server, from its entry; 0 if unknown.
  int64_t incarnation = 0;
  /// Until when a request may be sent; finite if it needs a grant or a slot of
  /// the server's limit.
  absl::Time send_by = absl::InfiniteFuture();

  /// Key under which its load is counted.
  const std::string& load_key() const {
    return this->group.empty() ? this->server : this->group;
  }
};

/// Why this node aborted an exchange, or is in doubt about it.
enum class abort_cause {
  none,
  caller_gone,
  time_up,
  /// The server, or a member of its group, is silent for longer than expected.
  stalled,
  /// The server, or a member of its group, has ended.
  server_gone,
  /// The response takes much longer than the route's goal.
  slow,
  /// This node has lost its link to the server.
  path_lost,
  /// Servers crashed under requests with one of its traits, and its answer has
  /// not begun.
  suspected
};

/// Name of a cause, for logs.
const char* abort_cause_name(abort_cause cause);

/// A connection to a backend server while it serves one request. Other parts of
/// the node may abort it; pending operations then end with an error.
class exchange {
 public:
  /// Maximum size of one read: a few events of a stream.
  static constexpr size_t read_size = 16 << 10;
  /// Bytes that one read appends at most: those held back for a mark too.
  static constexpr size_t max_read_bytes =
      read_size + end_mark_filter::max_mark_bytes;

  exchange(node_context& node, endpoint_target endpoint, double prompt_tokens);
  ~exchange();
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  /// Connects, or uses a kept connection if `reuse` is set and the path to the
  /// server is known to work. Returns an empty string on success, otherwise the
  /// error.
  boost::asio::awaitable<std::string> connect(bool reuse);

  /// Sends the request. Returns an empty string on success, otherwise the
  /// error.
  boost::asio::awaitable<std::string> send(http_request& request);

  /// Reads the response head. Returns an empty string on success, otherwise the
  /// error.
  boost::asio::awaitable<std::string> read_head(bool no_body);

  /// Appends a part of the body to `out`. Returns an empty string on success,
  /// otherwise the error.
  boost::asio::awaitable<std::string> read_some(std::string& out);

  /// The response head, once it was read.
  const boost::beast::http::response_header<>& head() const {
    return this->response_head;
  }
  /// Counts the bytes received that were not passed on: those that are not
  /// parsed yet and `more`. Returns false if this node has no memory for them.
  bool try_hold(size_t more) {
    this->held_by_caller = more;
    return this->held.try_hold(this->buffer.size() + more);
  }
  /// Whether there is nothing more of the body to read.
  bool body_ended() const { return this->body.end != body_end::open; }

  /// Returns the connection to the pool if it can serve another request.
  void keep_connection(const answer_head& answer);

  /// Aborts the exchange; the first cause is kept.
  void abort(abort_cause cause);

  /// Records an event of a stream.
  void record_event();

  /// Whether the request was sent and this node has not aborted it.
  bool running() const {
    return this->sent_at != absl::InfiniteFuture() &&
           this->aborted == abort_cause::none;
  }

  /// Whether the server can be at fault if it ended prematurely.
  bool server_at_fault() const {
    return this->aborted != abort_cause::path_lost &&
           this->aborted != abort_cause::suspected;
  }

  /// Whether it failed because of this node's links.
  bool path_failed() const {
    const bool not_sent = this->last_heard == absl::InfiniteFuture();
    return this->aborted == abort_cause::path_lost ||
           (not_sent && !this->server_failed);
  }

  node_context& node;
  const endpoint_target endpoint;
  const double prompt_tokens;
  /// Whether it uses a connection that has served another request.
  bool reused = false;
  /// Why it was aborted; none if it was not.
  abort_cause aborted = abort_cause::none;
  /// Name of the node that the connection goes through; empty if it is direct.
  std::string proxy;
  /// Whether no connection was made because the server seems to be down, rather
  /// than this node's links.
  bool server_failed = false;
  /// Whether the request may be sent again if this attempt breaks.
  bool repeatable = false;
  /// Parts of the request's prompt.
  std::vector<request_trait> parts;
  /// Whether it may be aborted so that the request waits for a trial.
  bool may_wait_for_trial = false;
  /// When bytes were last received, or the request was sent.
  absl::Time last_heard = absl::InfiniteFuture();
  /// Bytes of the response that were read, its framing included.
  size_t bytes_received = 0;
  /// Whether it connected, but the request was then not sent.
  bool withheld = false;
  /// Whether a response head was received.
  bool head_received = false;
  /// Whether the server sent bytes that are no response, or more than is read.
  bool malformed = false;
  /// Whether its server ended it prematurely, by a break or by silence.
  bool server_lost = false;
  /// A member of its group that did not respond; empty if none was found.
  std::string unresponsive_member;
  /// When it is aborted regardless of its state.
  absl::Time deadline = absl::InfiniteFuture();
  /// Whether it waits for the caller rather than for the server.
  bool waiting_for_caller = false;
  /// Whether the caller has just read nothing for a while.
  bool caller_not_reading = false;
  /// Whether the first event of a stream has come.
  bool events_started = false;
  /// When sending the request began.
  absl::Time sent_at = absl::InfiniteFuture();
  /// When the last event of a stream came.
  absl::Time last_event = absl::InfinitePast();
  /// The response's body, as far as it was read.
  body_evidence body;
  /// Expected time of a response (of a stream: its first event), in ms; 0 if
  /// unknown.
  double expected_ms = 0;
  /// When the first event is overdue.
  absl::Time first_event_deadline = absl::InfiniteFuture();
  /// From when the response counts as slow.
  absl::Time slow_at = absl::InfiniteFuture();
  /// Called at every tick while it is in doubt whether the server will answer,
  /// with the cause of the doubt. May abort the exchange.
  std::function<void(abort_cause)> on_doubt;

 private:
  /// Records that bytes were received.
  void record_bytes(size_t size);
  /// Records how the body is framed, once the head was read.
  void record_framing();
  /// Records how a read of the body ended.
  void record_body_end(const boost::system::error_code& error);

  /// Memory for the bytes that are not passed on yet.
  answer_charge held;
  size_t held_by_caller = 0;
  response_body_reader body_reader;
  /// Finds the end of a body that ends with a connection through a proxy.
  end_mark_filter end_marks;

  boost::asio::ip::tcp::socket socket;
  /// Maximum number of bytes read that are not parsed yet. A head, a chunk's
  /// header and trailers are parsed as a whole.
  static constexpr size_t max_unparsed_bytes = 128 << 10;
  boost::beast::flat_buffer buffer{max_unparsed_bytes};
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::buffer_body>>
      parser;
  /// The head as it was before the body: the parser adds trailer fields to its
  /// own, which must not be taken for those of the head.
  boost::beast::http::response_header<> response_head;
  /// Buffer for reads of the body.
  std::array<char, read_size> chunk;
};

}  // namespace spokesail
