#include "crash-gossip.h"

#include <absl/strings/str_cat.h>

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Period of the gossip rounds. A fleet of 295 nodes needs eleven rounds, which
/// take about as long as a server needs to read a prompt: until then, other
/// nodes send requests with the same part.
constexpr absl::Duration round_period = absl::Milliseconds(25);

/// Period of the digests that a node sends until a peer has answered one.
constexpr absl::Duration first_digest_period = absl::Milliseconds(100);

/// Period of the digest comparisons. Three of them fit into the three seconds
/// that a node has to catch up after a network partition; each costs about a
/// hundred bytes.
constexpr absl::Duration digest_period = absl::Seconds(1);

/// Interval at which old evidence is removed.
constexpr absl::Duration expiry_period = absl::Seconds(1);

}  // namespace

void crash_gossip::send_updates(const std::vector<std::string>& peers,
                                absl::Time now) {
  for (auto& m : this->spread.next_round(this->node.crashes, peers,
                                         this->node.random, now)) {
    this->link.send(m.peer, crash_report{std::move(m.updates),
                                         this->node.crashes.digest(), false});
  }
}

void crash_gossip::send_digest(const std::vector<std::string>& peers,
                               absl::Time now) {
  const absl::Duration period =
      this->has_synced ? digest_period : first_digest_period;
  if (peers.empty() || now - this->digest_sent_at < period) return;
  this->digest_sent_at = now;
  const std::string& peer = peers[this->node.random.below(peers.size())];
  this->link.send(peer, crash_report{{}, this->node.crashes.digest(), true});
}

void crash_gossip::send_evidence(const std::string& peer, absl::Time now) {
  crash_report out;
  out.digest = this->node.crashes.digest();
  for (const auto& trait : this->node.crashes.traits_over_threshold()) {
    const auto update = this->node.crashes.update_for(trait, now);
    if (update) out.evidence.push_back(*update);
    if (out.evidence.size() < crash_spread::max_updates) continue;
    this->link.send(peer, out);
    out.evidence.clear();
  }
  this->link.send(peer, std::move(out));
}

void crash_gossip::handle_report(const std::string& peer,
                                 const crash_report& report) {
  const absl::Time now = this->node.now();
  if (report.wants_reply) {
    const bool same = report.digest == this->node.crashes.digest();
    if (same) {
      this->link.send(peer, crash_report{{}, report.digest, false});
    } else {
      this->send_evidence(peer, now);
    }
    return;
  }
  this->has_synced = true;
  for (const auto& update : report.evidence)
    this->node.crashes.merge_update(update, now);
}

void crash_gossip::log_quarantine_changes(absl::Time now) {
  const crash_tracker& tracker = this->node.crashes;
  std::set<request_trait> current;
  size_t parts = 0;
  for (const auto& trait : tracker.traits_over_threshold()) {
    if (!tracker.blamed(trait)) continue;
    current.insert(trait);
    parts += trait.kind == trait_kind::prompt_part ? 1 : 0;
  }
  const auto log = [&](const char* event, const request_trait& trait) {
    const bool part = trait.kind == trait_kind::prompt_part;
    this->node.log.state_change(
        absl::StrCat(part ? "part_" : "request_", event).c_str(),
        {{"identity", to_text(trait)},
         {"servers", absl::StrCat(tracker.crash_count(trait))},
         {"remaining_s",
          absl::StrCat(absl::ToInt64Seconds(tracker.remaining(trait, now)))}},
        now);
  };
  for (const auto& trait : current) {
    if (this->quarantined.count(trait) == 0) log("quarantined", trait);
  }
  for (const auto& trait : this->quarantined) {
    if (current.count(trait) == 0) log("released", trait);
  }
  this->quarantined = std::move(current);
  this->node.metrics.set_gauge(
      "quarantined_requests",
      static_cast<double>(this->quarantined.size() - parts));
  this->node.metrics.set_gauge("quarantined_parts", static_cast<double>(parts));
}

net::awaitable<void> crash_gossip::run() {
  for (;;) {
    const absl::Time now = this->node.now();
    const std::vector<std::string> peers = this->link.reachable_peers();
    if (now - this->expired_at >= expiry_period) {
      this->expired_at = now;
      this->node.crashes.expire(now);
    }
    this->send_updates(peers, now);
    this->send_digest(peers, now);
    this->log_quarantine_changes(now);
    co_await this->node.sleep(round_period);
  }
}

}  // namespace spokesail
