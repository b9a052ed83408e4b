// Requests of the soak's callers, and what they hold of the answers.
#include "callers.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

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
/// Events of each stream that the stand-in's engines write.
constexpr int stream_events = 12;
constexpr absl::Duration patience = absl::Seconds(4);
/// A caller gives its connection up this long after its patience has ended.
constexpr absl::Duration last_wait = absl::Seconds(2);
/// Longest pause between two requests of one caller.
constexpr absl::Duration longest_rest = absl::Milliseconds(40);
constexpr absl::Duration reconnect_rest = absl::Milliseconds(50);

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
               std::string called, uint64_t seed)
    : loop(io),
      nodes(std::move(addresses)),
      name(std::move(called)),
      random{std::mt19937_64(seed)},
      socket(io) {}

void caller::breach(const std::string& id, const std::string& what) {
  this->broken.push_back(absl::StrCat(id, ": ", what));
}

net::awaitable<bool> caller::connect() {
  this->buffer.clear();
  this->node = this->random.below(this->nodes.size());
  this->socket = tcp::socket(this->loop);
  const auto error = co_await connect_to(this->socket, this->nodes[this->node]);
  co_return !error;
}

caller::request caller::compose(const std::string& id,
                                const sent_request& what) const {
  request out(http::verb::post, path_of(what.kind, id), http_11);
  out.set(http::field::host, "callers.example");
  out.set(http::field::authorization, "Bearer " + what.key);
  out.set("X-Request-Id", id);
  out.set("X-Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(patience)));
  if (what.kind == request_kind::stream) {
    out.set("X-Model", "large");
    out.set("X-Token-Usage", "100,60");
  }
  out.body() = "body of " + id;
  out.prepare_payload();
  return out;
}

net::awaitable<bool> caller::read_answer(response& in) {
  net::steady_timer timer(this->loop);
  timer.expires_after(absl::ToChronoNanoseconds(patience + last_wait));
  timer.async_wait([this](boost::system::error_code error) {
    if (!error) detail::close_ignoring_errors(this->socket);
  });
  http::response_parser<http::string_body> parser;
  auto [error, size] =
      co_await http::async_read(this->socket, this->buffer, parser, use_tuple);
  const bool head = parser.is_header_done();
  in = parser.release();
  // Without a head there is nothing to judge of a part of an answer.
  if (!head) in.result(http::status::unknown);
  co_return !error;
}

void caller::check_events(const std::string& id, const std::string& body,
                          bool whole) {
  int next = 0;
  for (absl::string_view line : absl::StrSplit(body, '\n')) {
    int at = 0;
    if (!absl::ConsumePrefix(&line, "id: ")) continue;
    if (!absl::SimpleAtoi(line, &at)) continue;
    // The last line of a part of an answer may have been cut.
    if (at != next && whole) this->breach(id, "events are not in order");
    if (at < next) this->breach(id, "an event stands twice");
    if (at > next && !whole) this->breach(id, "an event is missing");
    next = at + 1;
  }
  if (whole && next != stream_events) {
    this->breach(id, absl::StrCat("ended as whole after ", next, " events"));
  }
}

request_end caller::judge(const std::string& id, const sent_request& what,
                          const response& in) {
  const unsigned status = in.result_int();
  if (in["X-Request-Id"] != id) this->breach(id, "answer of another request");
  if (status == 429 || status == 503) return request_end::refused;
  if (status == 401) return request_end::key_refused;
  if (status != 200) return request_end::failed;
  if (in.find("X-Response-Stamp") == in.end()) {
    this->breach(id, "no server's stamp");
  }
  if (what.kind == request_kind::stream) {
    this->check_events(id, in.body(), true);
  } else if (in.body() != "path " + path_of(what.kind, id)) {
    this->breach(id, "wrong body");
  }
  return request_end::answered;
}

sent_request caller::draw() {
  sent_request out;
  out.kind = static_cast<request_kind>(this->random.below(request_kinds));
  // A quarter of the requests use the key that a fault takes away.
  out.key = this->random.below(4) == 0 ? "key-2" : "key-1";
  out.node = this->node;
  out.sent = boot_now();
  return out;
}

net::awaitable<void> caller::send_one() {
  const bool connected = this->socket.is_open() || co_await this->connect();
  if (!connected) {
    detail::close_ignoring_errors(this->socket);
    co_await sleep_for(reconnect_rest);
    co_return;
  }
  const std::string id = absl::StrCat(this->name, "-", this->count++);
  const sent_request what = this->draw();
  this->sent[id] = what;
  const request out = this->compose(id, what);
  auto [error, size] = co_await http::async_write(this->socket, out, use_tuple);
  response in;
  const bool whole = !error && co_await this->read_answer(in);
  sent_request& kept = this->sent[id];
  kept.ended = boot_now();
  if (whole) {
    kept.end = this->judge(id, what, in);
  } else if (what.kind == request_kind::stream && in.result_int() == 200) {
    this->check_events(id, in.body(), false);
  }
  if (!whole || !in.keep_alive()) detail::close_ignoring_errors(this->socket);
}

net::awaitable<void> caller::run() {
  while (!this->stopping) {
    co_await this->send_one();
    co_await sleep_for(this->random.unit() * longest_rest);
  }
  this->ended = true;
}

}  // namespace spokesail::soak
