#include "crash-check.h"

#include <absl/strings/str_cat.h>

namespace spokesail {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

/// A server that has not answered a probe after this time counts as crashed. A
/// live server answers within a few milliseconds.
constexpr absl::Duration probe_timeout = absl::Milliseconds(90);

/// How long a check waits while it is in doubt whether this node reaches the
/// servers, and how often it looks.
constexpr absl::Duration max_doubt = absl::Milliseconds(150);
constexpr absl::Duration doubt_poll_interval = absl::Milliseconds(5);

/// Status with which a server answers a request that expects another server at
/// its address.
constexpr auto other_server_status = http::status::misdirected_request;

/// Why a server does not count as crashed; null if it does.
using reason_not_crashed = const char*;

reason_not_crashed classify_answer(node_context& node,
                                   const endpoint_target& endpoint,
                                   const http_response& answer) {
  if (answer.result() == other_server_status) return nullptr;
  const auto report = node.adapter.read_report(answer);
  const bool restarted = report && report->incarnation != 0 &&
                         endpoint.incarnation != 0 &&
                         report->incarnation != endpoint.incarnation;
  return restarted ? nullptr : "it answers";
}

net::awaitable<reason_not_crashed> probe(node_context& node,
                                         const endpoint_target& endpoint) {
  const http_request request =
      node.adapter.write_report_request(endpoint.server);
  fetch_result result =
      co_await node.call_server(endpoint.address, request, probe_timeout);
  // Retries once, since the server may just have closed a kept connection.
  if (result.status == fetch_status::no_response) {
    result =
        co_await node.call_server(endpoint.address, request, probe_timeout);
  }
  if (result.status == fetch_status::ok) {
    co_return classify_answer(node, endpoint, result.response);
  }
  // A server that has crashed sends nothing.
  if (result.malformed) co_return "it answers, but without a report";
  // Other servers are being probed, which shows whether this node's links have
  // failed.
  const absl::Time until = node.now() + max_doubt;
  while (node.reachability.in_doubt(node.now()) && node.now() < until) {
    co_await node.sleep(doubt_poll_interval);
  }
  // If this node's event loop was blocked for as long, the answer may have
  // arrived in time without being read.
  if (node.loop_delay >= probe_timeout) co_return "this node was late";
  // A server that accepts connections may only pause.
  if (result.silent) co_return "it accepts connections";
  // Without a path to it nothing is known.
  if (node.reachability.in_doubt(node.now()))
    co_return "this node may have lost its links";
  co_return nullptr;
}

}  // namespace

net::awaitable<void> check_crash(node_context& node, lost_run run) {
  std::string crashed_server = run.unresponsive_member;
  if (crashed_server.empty()) {
    const reason_not_crashed reason = co_await probe(node, run.endpoint);
    if (reason != nullptr) {
      node.log.write(log_category::request, "crash_not_counted",
                     {{"server", run.endpoint.server},
                      {"group", run.endpoint.group},
                      {"why", reason}},
                     node.now());
      co_return;
    }
    crashed_server = run.endpoint.server;
  }
  const absl::Time now = node.now();
  const uint64_t instance =
      incarnation_hash(crashed_server, run.endpoint.incarnation);
  for (const auto& [trait, crash] : run.traits) {
    node.crashes.add_crash(trait, instance, crash, now);
    node.log.write(log_category::request, "server_ended_under_request",
                   {{"identity", to_text(trait)},
                    {"server", crashed_server},
                    {"group", run.endpoint.group},
                    {"last_event", absl::StrCat(crash.point)},
                    {"begun", crash.begun ? "1" : "0"},
                    {"repeated", crash.repeated ? "1" : "0"},
                    {"servers", absl::StrCat(node.crashes.crash_count(trait))}},
                   now);
  }
}

}  // namespace spokesail
