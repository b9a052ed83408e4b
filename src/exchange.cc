// The steps of an attempt: connecting, sending, reading the response.
#include "exchange.h"

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "detail/socket.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using detail::use_tuple;

/// A kept connection is not used in this last part of the server's keep-alive
/// time, since the server may be closing it already.
constexpr absl::Duration keep_alive_margin = absl::Milliseconds(700);

/// How long a connection is kept if the server gives no keep-alive time.
constexpr absl::Duration default_keep_alive = absl::Seconds(2);

}  // namespace

const char* abort_cause_name(abort_cause cause) {
  switch (cause) {
    case abort_cause::none:
      return "none";
    case abort_cause::caller_gone:
      return "caller_gone";
    case abort_cause::time_up:
      return "time_up";
    case abort_cause::stalled:
      return "stalled";
    case abort_cause::server_gone:
      return "server_gone";
    case abort_cause::slow:
      return "slow";
    case abort_cause::path_lost:
      return "path_lost";
    case abort_cause::suspected:
      return "suspected";
  }
  return "none";
}

exchange::exchange(node_context& state, endpoint_target target, double prompt)
    : node(state),
      endpoint(std::move(target)),
      prompt_tokens(prompt),
      held(state.incoming),
      socket(state.loop) {
  this->node.exchanges.insert(this);
  this->node.loads.begin(this->endpoint.load_key(), prompt);
}

exchange::~exchange() {
  this->node.exchanges.erase(this);
  if (!this->events_started) {
    this->node.loads.finish_prefill(this->endpoint.load_key(),
                                    this->prompt_tokens);
  }
  this->node.loads.end(this->endpoint.load_key());
}

void exchange::abort(abort_cause cause) {
  if (this->aborted != abort_cause::none) return;
  this->aborted = cause;
  detail::close_ignoring_errors(this->socket);
}

void exchange::record_event() {
  this->last_event = this->node.now();
  if (!this->endpoint.group.empty())
    this->node.prober.note_event(this->endpoint.group, this->last_event);
  if (this->events_started) return;
  this->events_started = true;
  this->node.loads.finish_prefill(this->endpoint.load_key(),
                                  this->prompt_tokens);
}

net::awaitable<std::string> exchange::connect(bool reuse) {
  const std::string& address = this->endpoint.address;
  const absl::Time now = this->node.now();
  if (this->aborted != abort_cause::none)
    co_return abort_cause_name(this->aborted);
  if (reuse && this->node.reachability.may_reuse(address, now)) {
    auto kept = this->node.pool.take(this->endpoint.server, now);
    if (kept) {
      this->socket = std::move(*kept);
      this->reused = true;
      co_return "";
    }
  }
  const connect_outcome outcome = co_await this->node.connector.connect(
      this->socket, address, this->deadline - now);
  this->proxy = outcome.proxy;
  this->end_marks = end_mark_filter(outcome.end_mark);
  this->server_failed = outcome.server_failed;
  if (outcome.error) co_return outcome.error.message();
  if (this->aborted == abort_cause::none) co_return "";
  detail::close_ignoring_errors(this->socket);
  co_return abort_cause_name(this->aborted);
}

void exchange::record_bytes(size_t size) {
  this->node.bytes_in += size;
  this->bytes_received += size;
  if (size == 0) return;
  this->last_heard = this->node.now();
  if (this->proxy.empty())
    this->node.reachability.on_heard(this->endpoint.address, this->last_heard);
}

net::awaitable<std::string> exchange::send(http_request& request) {
  this->sent_at = this->node.now();
  this->last_heard = this->sent_at;
  auto [error, size] =
      co_await http::async_write(this->socket, request, use_tuple);
  this->node.bytes_out += size;
  co_return error ? error.message() : std::string();
}

net::awaitable<std::string> exchange::read_head(bool no_body) {
  this->parser.emplace();
  this->parser->body_limit(boost::none);
  this->parser->skip(no_body);
  this->parser->get().body().data = nullptr;
  this->parser->get().body().size = 0;
  this->parser->get().body().more = true;
  const auto [error, size] = co_await read_response_head(
      this->socket, this->buffer, *this->parser, this->held);
  this->record_bytes(size);
  if (is_malformed(error)) this->malformed = true;
  if (error) co_return error.message();
  this->response_head = this->parser->get().base();
  this->record_framing();
  co_return "";
}

void exchange::record_framing() {
  if (this->parser->chunked()) {
    this->body.framing = body_framing::chunked;
  } else if (this->parser->need_eof()) {
    this->body.framing = body_framing::until_close;
  } else if (this->parser->content_length()) {
    this->body.framing = body_framing::length;
  }
  this->record_body_end({});
}

void exchange::record_body_end(const boost::system::error_code& error) {
  if (error) {
    this->body.end = body_end::failed;
  } else if (this->parser->is_done()) {
    this->body.close_confirmed =
        this->proxy.empty() || this->end_marks.marked();
    this->body.end = this->body.framing == body_framing::until_close
                         ? body_end::closed
                         : body_end::framed;
  }
}

net::awaitable<std::string> exchange::read_some(std::string& out) {
  auto& body = this->parser->get().body();
  body.data = this->chunk.data();
  body.size = this->chunk.size();
  body.more = true;
  const auto [error, size] =
      co_await this->body_reader.read(this->socket, this->buffer, *this->parser,
                                      this->held, this->held_by_caller);
  this->record_bytes(size);
  if (is_malformed(error)) this->malformed = true;
  const std::string_view bytes(this->chunk.data(),
                               this->chunk.size() - body.size);
  // A framed body ends before the mark.
  if (this->body.framing == body_framing::until_close) {
    this->end_marks.feed(bytes, out);
  } else {
    out.append(bytes);
  }
  this->record_body_end(error);
  co_return error ? error.message() : std::string();
}

void exchange::keep_connection(const answer_head& answer) {
  if (answer.leaving || !this->proxy.empty()) return;
  // Surplus bytes belong to no request.
  if (!this->parser->is_done() || !this->parser->keep_alive() ||
      this->buffer.size() != 0 || this->aborted != abort_cause::none) {
    return;
  }
  const absl::Duration time = answer.keep_alive
                                  ? *answer.keep_alive - keep_alive_margin
                                  : default_keep_alive;
  if (time <= absl::ZeroDuration()) return;
  this->node.pool.put(this->endpoint.server, std::move(this->socket),
                      this->node.now() + std::min(time, default_keep_alive));
}

}  // namespace spokesail
