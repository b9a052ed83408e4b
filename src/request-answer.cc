// Relays a backend server's response to the caller.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

#include "body-buffer.h"
#include "caller-session.h"
#include "detail/socket.h"
#include "end-to-end.h"
#include "request-handler.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

/// Largest plain response that is held in memory, in bytes.
constexpr size_t max_buffered_response = 16 << 20;

/// Interval at which a response that lacks memory checks for it again.
constexpr absl::Duration memory_poll_interval = absl::Milliseconds(20);

/// Retry delay if one server turned a request away and others can take it.
constexpr absl::Duration other_server_retry_delay = absl::Milliseconds(20);

/// A server may break off a response that was not read for some seconds.
constexpr absl::Duration slow_read_threshold = absl::Seconds(1);

/// Appends buffers, such as a chunk with its framing, to `out`.
template <typename Buffers>
void append_buffers(std::string& out, const Buffers& buffers) {
  for (const net::const_buffer part :
       boost::beast::buffers_range_ref(buffers)) {
    out.append(static_cast<const char*>(part.data()), part.size());
  }
}

/// Records what the events of a body that was read at once show of its end.
void record_events(const body_buffer& body, body_evidence& evidence) {
  event_splitter splitter;
  for (const std::string& part : body.parts()) {
    const auto events = splitter.feed(part);
    if (events && events->events > 0) evidence.events_seen = true;
  }
  evidence.unfinished_bytes = splitter.unfinished_bytes();
}

}  // namespace

net::awaitable<attempt_result> request_handler::relay_response(
    exchange& ex, const answer_head& head) {
  ex.body.event_stream = is_event_stream(ex.head());
  ex.body.resumes = this->last_event >= 0;
  const bool stream = this->route->streaming && ex.head().result_int() == 200 &&
                      ex.body.event_stream;
  if (stream) co_return co_await this->relay_stream(ex, head);
  co_return co_await this->relay_buffered(ex, head);
}

void request_handler::blame_for_malformed(exchange& ex) {
  ex.malformed = true;
  ex.server_lost = ex.server_at_fault();
  this->node.avoid_endpoint(ex.endpoint.load_key());
}

bool request_handler::retry_instead(const exchange& ex) {
  if (ex.head().result_int() < first_server_error) return false;
  const bool wants_retry = this->service->engine.has_value() ||
                           this->node.settings.policy.repeat_failed_calls;
  if (!wants_retry || !this->may_retry(attempt_result::broken)) return false;
  this->placed = this->place_attempt(ex, abort_cause::none);
  if (this->placed != nullptr) return true;
  this->reserved.reset();
  this->no_retry_reason = "no server can take it";
  return false;
}

net::awaitable<void> request_handler::wait_for_memory(
    exchange& ex, size_t size, const answer_charge& charge) {
  ex.waiting_for_caller = true;
  while (!charge.may_hold(size) && ex.aborted == abort_cause::none) {
    co_await this->node.sleep(memory_poll_interval);
  }
  ex.waiting_for_caller = false;
}

void request_handler::replace_retry_after(http_response& out) const {
  const auto backoff = this->common_backoff();
  const absl::Duration delay = backoff
                                   ? this->backoff_refusal(*backoff).retry_after
                                   : other_server_retry_delay;
  this->node.adapter.write_refusal(this->info.id, delay, out);
}

net::awaitable<attempt_result> request_handler::relay_buffered(
    exchange& ex, const answer_head& head) {
  body_buffer body;
  answer_charge charge(this->node.held);
  std::string error;
  // Chunk headers count too: a response in tiny chunks takes as much time.
  const auto too_large = [&ex] {
    return ex.bytes_received > max_buffered_response;
  };
  while (!ex.body_ended() && !too_large()) {
    co_await this->wait_for_memory(ex, body.capacity() + body_buffer::part_size,
                                   charge);
    error = co_await ex.read_some(body.space(exchange::max_read_bytes));
    charge.set(body.capacity());
  }
  if (ex.malformed || too_large()) this->blame_for_malformed(ex);
  if (too_large()) {
    this->log_attempt(ex, "broken", "response is too large");
    co_return attempt_result::broken;
  }
  if (ex.body.event_stream) record_events(body, ex.body);
  if (const char* reason = reason_incomplete(ex.body)) {
    ex.server_lost = ex.server_at_fault();
    this->log_attempt(ex, "broken", error.empty() ? reason : error);
    co_return attempt_result::broken;
  }
  const unsigned status = ex.head().result_int();
  const std::string status_text = absl::StrCat("status ", status);
  if (this->head_sent) {
    // Another server was to resume a stream, but sent a plain response.
    this->log_attempt(ex, "broken", status_text);
    co_return attempt_result::broken;
  }
  if (this->retry_instead(ex)) {
    this->log_attempt(ex, "broken", status_text);
    ex.keep_connection(head);
    co_return attempt_result::broken;
  }
  http_response out;
  out.result(status);
  out.version(http_11);
  copy_end_to_end_headers(ex.head(), out);
  if (head.backoff || head.backoff_invalid) this->replace_retry_after(out);
  out.keep_alive(this->keep_alive && this->node.keeps_connections());
  this->record_response(ex);
  this->log_attempt(ex, "whole", "");
  ex.keep_connection(head);
  ex.waiting_for_caller = true;
  co_await this->write_whole(out, body);
  this->log_end("answered", "", status);
  co_return attempt_result::done;
}

net::awaitable<void> request_handler::write_whole(http_response& head,
                                                  const body_buffer& body) {
  const bool no_body = this->request.method() == http::verb::head;
  if (no_body || body.size() == 0) {
    co_await this->session.write(head);
    co_return;
  }
  head.content_length(body.size());
  std::ostringstream text;
  text << head.base();
  // Most responses are sent by one write.
  bool written =
      co_await this->session.write(text.str() + body.parts().front());
  for (size_t i = 1; written && i < body.parts().size(); ++i)
    written = co_await this->session.write(body.parts()[i]);
}

net::awaitable<bool> request_handler::write_stream(const std::string& bytes,
                                                   bool last) {
  std::string out;
  if (!this->head_sent) out = std::move(this->stream_head);
  if (!this->head_sent && !this->chunked)
    this->session.set_reset_on_close(true);
  this->head_sent = true;
  if (!this->chunked) {
    out += bytes;
  } else {
    if (!bytes.empty())
      append_buffers(out, http::make_chunk(net::buffer(bytes)));
    if (last) append_buffers(out, http::make_chunk_last());
  }
  const bool written = co_await this->session.write(out);
  if (last && written && !this->chunked)
    this->session.set_reset_on_close(false);
  co_return written;
}

void request_handler::record_prediction_error(const exchange& ex,
                                              absl::Time now) {
  if (!this->last_decision || this->attempts_made != 1) return;
  this->node.admission.record_first_event(
      this->admission_pool(), this->chosen.predicted_ms,
      absl::ToDoubleMilliseconds(now - ex.sent_at), now);
}

net::awaitable<bool> request_handler::relay_events(exchange& ex,
                                                   const event_batch& events) {
  if (!ex.events_started) this->record_answer_begin();
  ex.record_event();
  const absl::Time now = ex.last_event;
  if (this->first_event_at == absl::InfiniteFuture()) {
    this->record_latency(ex);
    this->first_event_at = now;
    this->node.metrics.observe_first_event(
        absl::ToDoubleSeconds(now - this->arrived));
    this->record_prediction_error(ex, now);
  } else {
    this->max_event_gap =
        std::max(this->max_event_gap, now - this->last_event_at);
  }
  this->last_event_at = now;
  if (events.last_id >= 0) this->last_event = events.last_id;
  ex.waiting_for_caller = true;
  const bool written = co_await this->write_stream(events.bytes, false);
  ex.waiting_for_caller = false;
  ex.caller_not_reading = this->node.now() - now >= slow_read_threshold;
  co_return written;
}

void request_handler::begin_stream(const exchange& ex) {
  http_response out;
  out.result(ex.head().result_int());
  out.version(http_11);
  copy_end_to_end_headers(ex.head(), out);
  this->keep_alive =
      this->keep_alive && this->chunked && this->node.keeps_connections();
  out.keep_alive(this->keep_alive);
  out.chunked(this->chunked);
  std::ostringstream text;
  text << out.base();
  this->stream_head = text.str();
}

net::awaitable<attempt_result> request_handler::relay_stream(
    exchange& ex, const answer_head& head) {
  if (!this->head_sent) this->begin_stream(ex);
  event_splitter splitter;
  std::string bytes;
  std::string error;
  while (!ex.body_ended() && error.empty()) {
    bytes.clear();
    error = co_await ex.read_some(bytes);
    const auto events = splitter.feed(bytes);
    if (!events) error = "event is too large";
    if (!events || ex.malformed) this->blame_for_malformed(ex);
    if (error.empty() && !ex.try_hold(splitter.remainder().capacity()))
      error = "no memory for an event";
    // What was received is passed on even if the exchange was aborted since.
    const bool has_events =
        events && events->events > 0 && ex.aborted != abort_cause::caller_gone;
    if (!has_events) continue;
    ex.body.events_seen = true;
    const bool written = co_await this->relay_events(ex, *events);
    if (!written) {
      ex.body.unfinished_bytes = splitter.unfinished_bytes();
      ex.abort(abort_cause::caller_gone);
      this->log_attempt(ex, "caller_gone", "");
      co_return attempt_result::broken;
    }
  }
  ex.body.unfinished_bytes = splitter.unfinished_bytes();
  const char* reason = reason_incomplete(ex.body);
  if (error.empty() && reason != nullptr) error = reason;
  if (!error.empty() || ex.aborted == abort_cause::caller_gone) {
    // A server is not at fault for what its caller left unread.
    ex.server_lost = !ex.caller_not_reading && ex.server_at_fault();
    this->log_attempt(ex, ex.caller_not_reading ? "unread" : "broken", error);
    co_return attempt_result::broken;
  }
  const std::string remainder = splitter.remainder();
  ex.waiting_for_caller = true;
  co_await this->write_stream(remainder, true);
  ex.keep_connection(head);
  this->log_attempt(ex, "whole", "");
  this->log_end("answered", "", ex.head().result_int());
  co_return attempt_result::done;
}

}  // namespace spokesail
