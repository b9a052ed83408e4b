#include "crash-check.h"

#include <absl/strings/str_cat.h>

namespace spokesail {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

/// A server that has no answer after this long is taken to have ended: it
/// answers in a few milliseconds.
constexpr absl::Duration answer_limit = absl::Milliseconds(90);

/// What a server says to a request that expects another in its place.
constexpr auto another_server = http::status::misdirected_request;

enum class server_state { lives, ended, unknown };

server_state judge(node_context& node, const endpoint_target& endpoint,
                   const http_response& answer) {
  if (answer.result() == another_server) return server_state::ended;
  const auto report = node.adapter.read_report(answer);
  const bool other_start = report && report->incarnation != 0 &&
                           endpoint.incarnation != 0 &&
                           report->incarnation != endpoint.incarnation;
  return other_start ? server_state::ended : server_state::lives;
}

net::awaitable<server_state> ask(node_context& node,
                                 const endpoint_target& endpoint) {
  const http_request request =
      node.adapter.write_report_request(endpoint.server);
  fetch_result result =
      co_await node.fetcher.fetch(endpoint.address, request, answer_limit);
  // A kept connection may just have been closed by its server.
  if (result.status == fetch_status::no_answer) {
    result =
        co_await node.fetcher.fetch(endpoint.address, request, answer_limit);
  }
  if (result.status == fetch_status::ok) {
    co_return judge(node, endpoint, result.response);
  }
  // The answer may have waited for this node's own loop.
  co_return node.loop_delay >= answer_limit ? server_state::unknown
                                            : server_state::ended;
}

}  // namespace

net::awaitable<void> check_crash(node_context& node, lost_run run) {
  std::string ended = run.unresponsive_member;
  if (ended.empty()) {
    const server_state state = co_await ask(node, run.endpoint);
    if (state != server_state::ended) co_return;
    ended = run.endpoint.server;
  }
  const absl::Time now = node.now();
  const uint64_t start = incarnation_hash(ended, run.endpoint.incarnation);
  node.crashes.add_crash(run.request, start, run.end, now);
  node.log.write(
      log_category::request, "server_ended_under_request",
      {{"identity", to_text(run.request)},
       {"server", ended},
       {"group", run.endpoint.group},
       {"last_event", absl::StrCat(run.end.point)},
       {"begun", run.end.begun ? "1" : "0"},
       {"repeated", run.end.repeated ? "1" : "0"},
       {"servers", absl::StrCat(node.crashes.crash_count(run.request))}},
      now);
}

}  // namespace spokesail
