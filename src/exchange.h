// One sending of a request to one backend server.
#pragma once

#include <absl/time/time.h>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <string>

#include "node-context.h"

namespace spokesail {

/// From this status on the server, not the caller, is at fault.
constexpr unsigned first_server_error = 500;

/// Where a request can be sent.
struct endpoint_target {
  /// The server that takes it: a group's head or a plain service's server.
  std::string server;
  std::string address;
  /// The group; empty for plain services.
  std::string group;
  int64_t epoch = 0;
  /// Members of the group, to ask when it falls silent.
  std::vector<std::string> members;
  /// Start of the server, by its entry; 0 if it is not known.
  int64_t incarnation = 0;
  /// Until when a request may be sent to it; finite if it needs a grant or a
  /// slot of the server's limit.
  absl::Time send_by = absl::InfiniteFuture();

  /// What its load is counted under.
  const std::string& load_key() const {
    return this->group.empty() ? this->server : this->group;
  }
};

/// Why an exchange was broken off from this side.
enum class abort_cause { none, caller_gone, time_up, stalled };

/// A cause's name, for logs.
const char* abort_cause_name(abort_cause cause);

/// A connection to a backend server while it serves one request. Another part
/// of the node may break it off; what waits on it then ends with an error.
class exchange {
 public:
  exchange(node_context& node, endpoint_target endpoint, double prompt_tokens);
  ~exchange();
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  /// Connects, or takes a kept connection if `reuse` is set. Empty on success,
  /// otherwise the error.
  boost::asio::awaitable<std::string> connect(bool reuse);

  /// Sends the request. Empty on success, otherwise the error.
  boost::asio::awaitable<std::string> send(http_request& request);

  /// Reads the answer's head. Empty on success, otherwise the error.
  boost::asio::awaitable<std::string> read_head(bool no_body);

  /// Reads some of the body into `out`. Empty on success, otherwise the error.
  boost::asio::awaitable<std::string> read_some(std::string& out);

  /// The answer's head, once it is read.
  const boost::beast::http::response_header<>& head() const {
    return this->parser->get().base();
  }
  /// Whether the whole body has been read.
  bool body_done() const { return this->parser->is_done(); }

  /// Keeps the connection for another request, if it may serve one.
  void keep(const answer_head& answer);

  /// Breaks the exchange off.
  void abort(abort_cause cause);

  /// Takes note of an event of a stream.
  void record_event();

  node_context& node;
  const endpoint_target endpoint;
  const double prompt_tokens;
  /// Whether it uses a connection that has served another request.
  bool reused = false;
  /// Why it was broken off; none if it was not.
  abort_cause aborted = abort_cause::none;
  /// Whether servers had ended under the request before it was sent here.
  bool after_server_loss = false;
  /// Whether the head of an answer came.
  bool head_received = false;
  /// Whether its server ended it before its time, by a break or by silence.
  bool lost = false;
  /// A member of its group that did not answer; empty if none was found.
  std::string unresponsive_member;
  /// When it is broken off, whatever it waits for.
  absl::Time limit = absl::InfiniteFuture();
  /// Whether it is the caller that is waited for.
  bool waiting_for_caller = false;
  /// Whether the caller took none of the answer for a while just before.
  bool caller_not_reading = false;
  /// Whether a stream's events are coming.
  bool events_started = false;
  /// When it began to send the request.
  absl::Time sent_at = absl::InfiniteFuture();
  /// When the last event of a stream came.
  absl::Time last_event = absl::InfinitePast();
  /// What an answer (of a stream: its first event) should take, in ms; 0 if
  /// nothing tells.
  double expected_ms = 0;
  /// When the first event is overdue.
  absl::Time first_event_deadline = absl::InfiniteFuture();

 private:
  /// Bytes that one read takes at most: some events of a stream.
  static constexpr size_t read_size = 16 << 10;

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::buffer_body>>
      parser;
  /// Where a read of the body puts its bytes.
  std::array<char, read_size> chunk;
};

}  // namespace spokesail
