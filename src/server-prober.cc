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

/// How long an answer or an event shows that a server is not silent.
constexpr absl::Duration heard_lifetime = absl::Milliseconds(100);

}  // namespace

net::awaitable<fetch_result> server_prober::fetch_report(std::string server,
                                                         std::string address) {
  const http_request request = this->node.adapter.write_report_request(server);
  const absl::Duration timeout =
      probe_timeout + delay_allowance * this->node.loop_delay;
  fetch_result result =
      co_await this->node.call_server(address, request, timeout);
  // The server may just have closed a kept connection.
  if (result.status == fetch_status::no_response && !result.silent)
    result = co_await this->node.call_server(address, request, timeout);
  co_return result;
}

net::awaitable<probe_result> server_prober::probe(std::string server) {
  const server_entry* entry = this->node.directory.find(server);
  if (entry == nullptr) co_return probe_result::unknown;
  const int64_t incarnation = entry->incarnation;
  const fetch_result result =
      co_await this->fetch_report(server, entry->address);
  const absl::Time now = this->node.now();
  if (result.status == fetch_status::ok) {
    const auto report = this->node.adapter.read_report(result.response);
    const bool replaced =
        result.response.result() == other_server_status ||
        (report && incarnation != 0 && report->incarnation > incarnation);
    if (replaced) co_return probe_result::gone;
    if (report) this->heard_at[server] = now;
    co_return report ? probe_result::answered : probe_result::unreachable;
  }
  // Without a path to the servers, or on time, nothing shows who has failed.
  if (this->node.reachability.in_doubt(now) ||
      this->node.loop_delay >= probe_timeout) {
    co_return probe_result::unknown;
  }
  if (result.silent) co_return probe_result::silent;
  // A server that leaves stops listening before its last answers end.
  entry = this->node.directory.find(server);
  const bool leaving = entry == nullptr || entry->draining;
  co_return result.refused && !leaving ? probe_result::gone
                                       : probe_result::unreachable;
}

bool server_prober::heard_recently(const std::string& name) const {
  const auto found = this->heard_at.find(name);
  return found != this->heard_at.end() &&
         this->node.now() - found->second < heard_lifetime;
}

void server_prober::expire(absl::Time now) {
  std::erase_if(this->heard_at, [&](const auto& item) {
    return now - item.second >= heard_lifetime;
  });
}

net::awaitable<probe_result> server_prober::probe_group(
    std::string group, std::vector<std::string> members) {
  if (this->heard_recently(group)) co_return probe_result::answered;
  for (const auto& server : members) {
    if (this->heard_recently(server)) continue;
    const probe_result result = co_await this->probe(server);
    if (result != probe_result::answered) co_return result;
  }
  co_return probe_result::answered;
}

}  // namespace spokesail
