#include "crash-gossip.h"

#include <absl/strings/str_cat.h>

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Period of the rounds in which news is passed on: eleven of them, which a
/// fleet of 295 nodes needs, stay below half of the three seconds that
/// platforms give nodes to know.
constexpr absl::Duration round_period = absl::Milliseconds(100);

/// How often a node asks another whether it knows the same. Three questions fit
/// into the three seconds that a node has once it is no longer cut off, and
/// each costs some hundred bytes.
constexpr absl::Duration ask_period = absl::Seconds(1);

}  // namespace

void crash_gossip::send_updates(const std::vector<std::string>& peers,
                                absl::Time now) {
  for (auto& m : this->spread.next_round(this->node.crashes, peers,
                                         this->node.random, now)) {
    this->link.send(m.peer, crash_report{std::move(m.news),
                                         this->node.crashes.digest(), false});
  }
}

void crash_gossip::send_digest(const std::vector<std::string>& peers,
                               absl::Time now) {
  const absl::Duration period = this->has_synced ? ask_period : round_period;
  if (peers.empty() || now - this->digest_sent_at < period) return;
  this->digest_sent_at = now;
  const std::string& peer = peers[this->node.random.below(peers.size())];
  this->link.send(peer, crash_report{{}, this->node.crashes.digest(), true});
}

void crash_gossip::send_evidence(const std::string& peer, absl::Time now) {
  crash_report out;
  out.digest = this->node.crashes.digest();
  for (const auto& request : this->node.crashes.requests_over_threshold()) {
    const auto said = this->node.crashes.update_for(request, now);
    if (said) out.evidence.push_back(*said);
    if (out.evidence.size() < crash_spread::max_updates) continue;
    this->link.send(peer, out);
    out.evidence.clear();
  }
  this->link.send(peer, std::move(out));
}

void crash_gossip::handle_report(const std::string& peer,
                                 const crash_report& said) {
  const absl::Time now = this->node.now();
  if (said.wants_reply) {
    const bool same = said.digest == this->node.crashes.digest();
    if (same) {
      this->link.send(peer, crash_report{{}, said.digest, false});
    } else {
      this->send_evidence(peer, now);
    }
    return;
  }
  this->has_synced = true;
  for (const auto& news : said.evidence)
    this->node.crashes.merge_update(news, now);
}

void crash_gossip::log_quarantine_changes(absl::Time now) {
  const crash_tracker& ledger = this->node.crashes;
  std::set<request_identity> next;
  for (const auto& request : ledger.requests_over_threshold()) {
    if (ledger.quarantined(request)) next.insert(request);
  }
  const auto log = [&](const char* event, const request_identity& request) {
    this->node.log.state_change(
        event,
        {{"identity", to_text(request)},
         {"servers", absl::StrCat(ledger.crash_count(request))},
         {"remaining_s",
          absl::StrCat(absl::ToInt64Seconds(ledger.remaining(request, now)))}},
        now);
  };
  for (const auto& request : next) {
    if (this->quarantined.count(request) == 0) {
      log("request_quarantined", request);
    }
  }
  for (const auto& request : this->quarantined) {
    if (next.count(request) == 0) log("request_released", request);
  }
  this->quarantined = std::move(next);
  this->node.metrics.set_gauge("quarantined_requests",
                               static_cast<double>(this->quarantined.size()));
}

net::awaitable<void> crash_gossip::run() {
  for (;;) {
    const absl::Time now = this->node.now();
    const std::vector<std::string> peers = this->link.reachable_peers();
    this->node.crashes.expire(now);
    this->send_updates(peers, now);
    this->send_digest(peers, now);
    this->log_quarantine_changes(now);
    co_await this->node.sleep(round_period);
  }
}

}  // namespace spokesail
