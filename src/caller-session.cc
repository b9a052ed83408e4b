// Reads callers' requests and closes their connections.
#include "caller-session.h"

#include <absl/strings/match.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>

#include "detail/socket.h"
#include "exchange.h"
#include "request-handler.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using detail::use_tuple;
using net::ip::tcp;

/// How long a connection stays open after its last response, so that the caller
/// can read it even if the request was refused unread.
constexpr absl::Duration linger_time = absl::Milliseconds(500);

/// Callers usually send the first request as soon as they have connected.
constexpr absl::Duration first_request_time = absl::Seconds(1);

/// The time limit for a whole request, as a multiple of that for its head.
constexpr int body_timeout_factor = 10;

/// The HTTP status for an error while reading a request; 0 if the connection
/// was closed.
unsigned status_of(const boost::system::error_code& error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  if (error == http::error::end_of_stream ||
      error == http::error::partial_message) {
    return 0;
  }
  return error.category() ==
                 http::make_error_code(http::error::bad_method).category()
             ? 400
             : 0;
}

/// Whether the length of the request's body is unambiguous. Otherwise another
/// HTTP implementation could see a different request (request smuggling).
bool has_unambiguous_length(
    const http::request_parser<http::string_body>& parser) {
  const auto& head = parser.get();
  const auto coding = head.find(http::field::transfer_encoding);
  if (coding != head.end()) {
    return parser.chunked() &&
           head.count(http::field::transfer_encoding) == 1 &&
           absl::EqualsIgnoreCase(absl::string_view(coding->value().data(),
                                                    coding->value().size()),
                                  "chunked") &&
           head.find(http::field::content_length) == head.end();
  }
  return head.count(http::field::content_length) <= 1;
}

}  // namespace

caller_session::caller_session(node_context& state, tcp::socket connection)
    : node(state), socket(std::move(connection)) {
  this->node.sessions.insert(this);
  this->set_in_progress(true);
  this->first_request_by = state.now() + first_request_time;
}

caller_session::~caller_session() {
  this->set_in_progress(false);
  this->node.sessions.erase(this);
}

void caller_session::set_in_progress(bool value) {
  if (this->in_progress == value) return;
  this->in_progress = value;
  this->node.requests_in_progress += value ? 1 : -1;
}

void caller_session::check_deadlines(absl::Time now) {
  if (now >= this->write_deadline) this->drop_slow_caller();
  if (this->phase == session_phase::serving) return;
  if (!this->used && now >= this->first_request_by)
    this->set_in_progress(false);
  const bool leave = this->phase == session_phase::idle && this->node.closing();
  if (now >= this->phase_deadline || leave)
    detail::close_ignoring_errors(this->socket);
}

void caller_session::set_reset_on_close(bool enabled) {
  boost::system::error_code ignored;
  this->socket.set_option(net::socket_base::linger(enabled, 0), ignored);
}

void caller_session::abort_connection() {
  this->set_reset_on_close(true);
  detail::close_ignoring_errors(this->socket);
}

void caller_session::watch_caller() {
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (error || self->phase != session_phase::serving) return;
        boost::system::error_code failed;
        // Available bytes belong to the next request: the caller is still
        // connected.
        if (self->socket.available(failed) > 0 && !failed) return;
        self->disconnected = true;
        if (self->current_exchange != nullptr) {
          self->current_exchange->abort(abort_cause::caller_gone);
        }
      });
}

bool caller_session::check_disconnected() {
  char byte = 0;
  // Data is not consumed: it belongs to the next request.
  const ssize_t size =
      ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool closed = size == 0 || (size < 0 && errno == ECONNRESET);
  if (closed) this->disconnected = true;
  return this->disconnected;
}

void caller_session::restart_write_deadline() {
  const caller_limits limits =
      this->node.routes ? this->node.routes->config().limits : caller_limits{};
  this->write_deadline = this->node.now() + limits.idle_timeout;
}

void caller_session::drop_slow_caller() {
  this->write_deadline = absl::InfiniteFuture();
  this->disconnected = true;
  this->node.log.write(log_category::request, "caller_given_up",
                       {{"why", "does not read"},
                        {"held_bytes", std::to_string(this->node.held.held())}},
                       this->node.now());
  if (this->current_exchange != nullptr) {
    this->current_exchange->abort(abort_cause::caller_gone);
  }
  this->abort_connection();
}

net::awaitable<bool> caller_session::write(http_response& response) {
  response.prepare_payload();
  http::response_serializer<http::string_body> rest(response);
  boost::system::error_code failed;
  while (!rest.is_done() && !failed) {
    this->restart_write_deadline();
    auto [error, size] =
        co_await http::async_write_some(this->socket, rest, use_tuple);
    this->node.bytes_out += size;
    failed = error;
  }
  co_return this->finish_write(failed);
}

net::awaitable<bool> caller_session::write(const std::string& bytes) {
  net::const_buffer rest = net::buffer(bytes);
  boost::system::error_code failed;
  while (rest.size() > 0 && !failed) {
    this->restart_write_deadline();
    auto [error, size] =
        co_await this->socket.async_write_some(rest, use_tuple);
    this->node.bytes_out += size;
    rest += size;
    failed = error;
  }
  co_return this->finish_write(failed);
}

bool caller_session::finish_write(const boost::system::error_code& error) {
  this->write_deadline = absl::InfiniteFuture();
  if (error) this->disconnected = true;
  return !error;
}

net::awaitable<void> caller_session::close_gracefully() {
  this->set_in_progress(false);
  this->phase = session_phase::closing;
  this->phase_deadline = this->node.now() + linger_time;
  boost::system::error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  // Read until the caller closes. Closing with unread data would send a reset,
  // which can discard the response before the caller has read it.
  std::array<char, 4096> sink;
  for (;;) {
    auto [error, size] =
        co_await this->socket.async_read_some(net::buffer(sink), use_tuple);
    if (error) co_return;
  }
}

net::awaitable<void> caller_session::refuse(unsigned status,
                                            const char* reason) {
  http_response response(static_cast<http::status>(status), http_11);
  response.set(http::field::content_type, "text/plain");
  response.keep_alive(false);
  response.body() = reason;
  this->node.metrics.count_request("refused", reason);
  this->node.log.write(log_category::request, "request_unreadable",
                       {{"status", std::to_string(status)}, {"why", reason}},
                       this->node.now());
  if (co_await this->write(response)) co_await this->close_gracefully();
}

net::awaitable<bool> caller_session::wait_for_request() {
  if (this->buffer.size() != 0) co_return true;
  auto [error] =
      co_await this->socket.async_wait(tcp::socket::wait_read, use_tuple);
  co_return !error;
}

bool caller_session::should_leave_unread() {
  if (this->buffer.size() != 0) return false;
  if (!this->node.intake.overloaded(this->node.requests_in_progress))
    return false;
  this->node.metrics.count_connection("left unread");
  return true;
}

net::awaitable<bool> caller_session::read_head(request_parser& parser) {
  auto [error, size] = co_await http::async_read_header(
      this->socket, this->buffer, parser, use_tuple);
  this->node.bytes_in += size;
  if (error) {
    const unsigned status = status_of(error);
    if (status != 0) co_await this->refuse(status, "request head not accepted");
    co_return false;
  }
  if (!has_unambiguous_length(parser)) {
    co_await this->refuse(400, "ambiguous request length");
    co_return false;
  }
  co_return true;
}

net::awaitable<bool> caller_session::read_body(request_parser& parser,
                                               byte_charge& held) {
  if (parser.is_done()) co_return true;
  if (!this->node.held.accepts_requests()) {
    co_await this->refuse(503, "node holds too much");
    co_return false;
  }
  const auto declared =
      static_cast<size_t>(parser.content_length().value_or(0));
  held.set(declared);
  if (absl::EqualsIgnoreCase(std::string(parser.get()[http::field::expect]),
                             "100-continue")) {
    http_response continue_response(http::status::continue_, http_11);
    auto [failed, sent] =
        co_await http::async_write(this->socket, continue_response, use_tuple);
    if (failed) co_return false;
  }
  boost::system::error_code failed;
  while (!parser.is_done() && !failed) {
    auto [error, size] = co_await http::async_read_some(
        this->socket, this->buffer, parser, use_tuple);
    this->node.bytes_in += size;
    failed = error;
    held.set(std::max(declared, parser.get().body().size()));
  }
  if (!failed) co_return true;
  const unsigned status = status_of(failed);
  if (status != 0) co_await this->refuse(status, "request body not accepted");
  co_return false;
}

net::awaitable<bool> caller_session::serve_one() {
  const caller_limits limits =
      this->node.routes ? this->node.routes->config().limits : caller_limits{};
  request_parser parser;
  parser.header_limit(limits.head_bytes);
  parser.body_limit(limits.body_bytes);
  parser.eager(true);
  this->phase = session_phase::idle;
  this->phase_deadline = this->node.now() + limits.idle_timeout;
  if (this->used) this->set_in_progress(false);
  const bool has_request = co_await this->wait_for_request();
  if (!has_request || this->should_leave_unread()) co_return false;
  this->used = true;
  this->set_in_progress(true);
  this->phase = session_phase::reading;
  const absl::Time arrived = this->node.now();
  this->phase_deadline = arrived + limits.head_timeout;
  const bool head_read = co_await this->read_head(parser);
  if (!head_read) co_return false;
  this->phase_deadline = arrived + body_timeout_factor * limits.head_timeout;
  byte_charge held(this->node.held);
  const bool body_read = co_await this->read_body(parser, held);
  if (!body_read) co_return false;
  const bool keep_alive = parser.keep_alive();
  held.set(parser.get().body().size());
  this->phase = session_phase::serving;
  if (this->buffer.size() == 0) this->watch_caller();
  request_handler run(this->node, *this, parser.release(), arrived, keep_alive);
  const bool reusable = co_await run.run();
  boost::system::error_code ignored;
  this->socket.cancel(ignored);
  co_return reusable && !this->disconnected;
}

net::awaitable<void> caller_session::run() {
  const auto self = this->shared_from_this();
  while (co_await this->serve_one()) {
  }
  if (!this->disconnected && this->phase == session_phase::serving &&
      this->socket.is_open()) {
    co_await this->close_gracefully();
  }
  detail::close_ignoring_errors(this->socket);
}

}  // namespace spokesail
