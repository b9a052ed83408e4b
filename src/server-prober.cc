#include "server-prober.h"

#include <algorithm>

#include "node-context.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// A live server answers within a few milliseconds.
constexpr absl::Duration probe_timeout = absl::Milliseconds(90);

/// A node whose loop is delayed sends and reads late, so the timeout grows by
/// this multiple of the worst recent delay.
constexpr double delay_allowance = 2;

/// Status of a server that has the address of the one that was meant.
constexpr auto other_server_status =
    boost::beast::http::status::misdirected_request;

/// How long an answer counts.
constexpr absl::Duration answer_lifetime = absl::Milliseconds(100);

}  // namespace

net::awaitable<probe_result> server_prober::probe(std::string server) {
  const server_entry* entry = this->node.directory.find(server);
  if (entry == nullptr) co_return probe_result::unknown;
  const bool leaving = entry->draining;
  const int64_t incarnation = entry->incarnation;
  const std::string address = entry->address;
  const http_request request = this->node.adapter.write_report_request(server);
  const fetch_result result = co_await this->node.call_server(
      address, request,
      probe_timeout + delay_allowance * this->node.loop_delay);
  const absl::Time now = this->node.now();
  if (result.status == fetch_status::ok) {
    const auto report = this->node.adapter.read_report(result.response);
    const bool replaced =
        result.response.result() == other_server_status ||
        (report && incarnation != 0 && report->incarnation > incarnation);
    if (replaced) co_return probe_result::gone;
    if (report) this->answered_at[server] = now;
    co_return report ? probe_result::answered : probe_result::unreachable;
  }
  // Without a path to the servers, or on time, nothing shows who has failed.
  if (this->node.reachability.in_doubt(now) ||
      this->node.loop_delay >= probe_timeout) {
    co_return probe_result::unknown;
  }
  if (result.silent) co_return probe_result::silent;
  // A server that leaves stops listening before its last answers end.
  const bool gone = result.refused && !leaving;
  co_return gone ? probe_result::gone : probe_result::unreachable;
}

bool server_prober::answered_recently(const std::string& server) const {
  const auto found = this->answered_at.find(server);
  return found != this->answered_at.end() &&
         this->node.now() - found->second < answer_lifetime;
}

net::awaitable<bool> server_prober::all_answer(
    std::vector<std::string> servers) {
  std::erase_if(this->answered_at, [this](const auto& item) {
    return this->node.now() - item.second >= answer_lifetime;
  });
  for (const auto& server : servers) {
    if (this->answered_recently(server)) continue;
    const probe_result result = co_await this->probe(server);
    if (result != probe_result::answered) co_return false;
  }
  co_return true;
}

}  // namespace spokesail
