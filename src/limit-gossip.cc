#include "limit-gossip.h"

#include <absl/strings/str_cat.h>

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Period of the gossip rounds.
constexpr absl::Duration round_period = absl::Milliseconds(50);

}  // namespace

void limit_gossip::handle_reports(const std::string& peer,
                                  const limit_update& update) {
  const absl::Time now = this->node.now();
  for (const limit_report& report : update.reports) {
    const std::optional<double> previous =
        this->node.limits.find(report.server);
    if (!this->node.limits.merge_report(report, now)) continue;
    if (previous == report.per_s) continue;
    this->node.log.state_change(
        "server_limit_heard",
        {{"server", report.server.server},
         {"peer", peer},
         {"before_per_s", previous ? absl::StrCat(*previous) : "none"},
         {"per_s", report.per_s ? absl::StrCat(*report.per_s) : "none"},
         {"age_ms", absl::StrCat(absl::ToInt64Milliseconds(report.age))}},
        now);
  }
}

net::awaitable<void> limit_gossip::run() {
  for (;;) {
    if (!this->node.limits.empty()) {
      for (auto& m : this->spread.next_round(
               this->node.limits, this->link.reachable_peers(),
               this->node.random, this->node.now())) {
        this->link.send(m.peer, limit_update{std::move(m.reports)});
      }
    }
    co_await this->node.sleep(round_period);
  }
}

}  // namespace spokesail
