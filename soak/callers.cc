// Requests of the soak test's callers, and checks of the responses.
#include "callers.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "clock.h"
#include "detail/socket.h"
#include "fleet-loop.h"
#include "http-fetch.h"

namespace spokesail::soak {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using detail::use_tuple;
using net::ip::tcp;
using standin::sleep_for;

constexpr uint64_t request_kinds = 3;
/// Number of events in each stream of the emulated engines.
constexpr int stream_events = 12;
/// A caller closes its connection this long after the deadline of a request.
constexpr absl::Duration response_grace = absl::Seconds(2);
/// Longest pause between two requests of one caller.
constexpr absl::Duration max_pause = absl::Milliseconds(40);
constexpr absl::Duration reconnect_delay = absl::Milliseconds(50);

std::string path_of(request_kind kind, const std::string& id) {
  switch (kind) {
    case request_kind::stream:
      return "/draft/" + id;
    case request_kind::repeatable:
      return "/look/" + id;
    case request_kind::once:
      return "/file/" + id;
  }
  return "";
}

}  // namespace

caller::caller(net::io_context& io, std::vector<std::string> addresses,
               std::string caller_name, uint64_t seed)
    : loop(io),
      nodes(std::move(addresses)),
      name(std::move(caller_name)),
      random{std::mt19937_64(seed)},
      socket(io) {}

void caller::add_breach(const std::string& id, const std::string& what) {
  this->breach_list.push_back(absl::StrCat(id, ": ", what));
}

net::awaitable<bool> caller::connect() {
  this->buffer.clear();
  this->node = this->random.below(this->nodes.size());
  this->socket = tcp::socket(this->loop);
  const auto error = co_await connect_to(this->socket, this->nodes[this->node]);
  co_return !error;
}

caller::request caller::compose(const std::string& id,
                                const sent_request& info) const {
  request out(http::verb::post, path_of(info.kind, id), http_11);
  out.set(http::field::host, "callers.example");
  out.set(http::field::authorization, "Bearer " + info.key);
  out.set("X-Request-Id", id);
  out.set("X-Deadline-Ms",
          absl::StrCat(absl::ToInt64Milliseconds(request_deadline)));
  if (info.kind == request_kind::stream) {
    out.set("X-Model", "large");
    out.set("X-Token-Usage", "100,60");
  }
  out.body() = "body of " + id;
  out.prepare_payload();
  return out;
}

net::awaitable<bool> caller::read_response(response& in) {
  net::steady_timer timer(this->loop);
  timer.expires_after(
      absl::ToChronoNanoseconds(request_deadline + response_grace));
  timer.async_wait([this](boost::system::error_code error) {
    if (!error) detail::close_ignoring_errors(this->socket);
  });
  http::response_parser<http::string_body> parser;
  auto [error, size] =
      co_await http::async_read(this->socket, this->buffer, parser, use_tuple);
  const bool head = parser.is_header_done();
  in = parser.release();
  // Without its head, a part of a response cannot be checked.
  if (!head) in.result(http::status::unknown);
  co_return !error;
}

void caller::check_events(const std::string& id, const std::string& body,
                          bool complete) {
  int next = 0;
  for (absl::string_view line : absl::StrSplit(body, '\n')) {
    int at = 0;
    if (!absl::ConsumePrefix(&line, "id: ")) continue;
    if (!absl::SimpleAtoi(line, &at)) continue;
    // The last line of an incomplete response may be cut off.
    if (at != next && complete) this->add_breach(id, "events are not in order");
    if (at < next) this->add_breach(id, "an event was sent twice");
    if (at > next && !complete) this->add_breach(id, "an event is missing");
    next = at + 1;
  }
  if (complete && next != stream_events) {
    this->add_breach(
        id, absl::StrCat("stream marked as complete after ", next, " events"));
  }
}

request_outcome caller::classify(const std::string& id,
                                 const sent_request& info, const response& in) {
  const unsigned status = in.result_int();
  if (in["X-Request-Id"] != id)
    this->add_breach(id, "response carries another request's id");
  if (status == 429 || status == 503) return request_outcome::refused;
  if (status == 401) return request_outcome::key_refused;
  if (status != 200) return request_outcome::failed;
  if (in.find("X-Response-Stamp") == in.end()) {
    this->add_breach(id, "response without X-Response-Stamp");
  }
  if (info.kind == request_kind::stream) {
    this->check_events(id, in.body(), true);
  } else if (in.body() != "path " + path_of(info.kind, id)) {
    this->add_breach(id, "response has a wrong body");
  }
  return request_outcome::answered;
}

sent_request caller::draw_request() {
  sent_request out;
  out.kind = static_cast<request_kind>(this->random.below(request_kinds));
  // A quarter of the requests use the key that a fault revokes.
  out.key = this->random.below(4) == 0 ? "key-2" : "key-1";
  out.node = this->node;
  out.sent = boot_now();
  return out;
}

void caller::keep_until_closed() {
  auto kept = std::make_shared<tcp::socket>(std::move(this->socket));
  auto wait = [](std::shared_ptr<tcp::socket> open) -> net::awaitable<void> {
    co_await open->async_wait(tcp::socket::wait_read, use_tuple);
  };
  net::co_spawn(this->loop, wait(std::move(kept)), net::detached);
}

net::awaitable<void> caller::send_one() {
  const bool connected = this->socket.is_open() || co_await this->connect();
  if (!connected) {
    detail::close_ignoring_errors(this->socket);
    co_await sleep_for(reconnect_delay);
    co_return;
  }
  const std::string id = absl::StrCat(this->name, "-", this->count++);
  const sent_request info = this->draw_request();
  this->sent_requests[id] = info;
  const request out = this->compose(id, info);
  auto [error, size] = co_await http::async_write(this->socket, out, use_tuple);
  response in;
  const bool complete = !error && co_await this->read_response(in);
  sent_request& record = this->sent_requests[id];
  record.ended = boot_now();
  if (complete) {
    record.outcome = this->classify(id, info, in);
    record.status = in.result_int();
  } else if (info.kind == request_kind::stream && in.result_int() == 200) {
    this->check_events(id, in.body(), false);
  }
  if (!complete) detail::close_ignoring_errors(this->socket);
  if (complete && !in.keep_alive()) this->keep_until_closed();
}

net::awaitable<void> caller::run() {
  while (!this->stopping) {
    co_await this->send_one();
    co_await sleep_for(this->random.unit() * max_pause);
  }
  this->ended = true;
}

}  // namespace spokesail::soak
