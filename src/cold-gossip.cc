#include "cold-gossip.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace spokesail {
namespace {

std::string millis(absl::Duration time) {
  return absl::StrCat(absl::ToInt64Milliseconds(time));
}

/// Servers with their requests, for logs.
std::string to_text(const std::vector<server_count>& counts) {
  return absl::StrJoin(counts, ",", [](std::string* out, const auto& c) {
    absl::StrAppend(out, c.server, ":", c.count);
  });
}

int sum(const std::vector<server_count>& counts) {
  int out = 0;
  for (const auto& c : counts) out += c.count;
  return out;
}

}  // namespace

double cold_gossip::rate_of(const std::string& server) const {
  const server_entry* entry = this->node.directory.find(server);
  if (entry == nullptr || !this->node.routes) return 0;
  const backend_service* service =
      this->node.routes->find_service(entry->service);
  return service == nullptr ? 0 : service->cold_requests_per_s;
}

cold_bucket cold_gossip::bucket_of(const server_count& wanted,
                                   absl::Time now) const {
  const double rate = this->rate_of(wanted.server);
  const cold_bucket cold =
      rate > 0 ? bucket_for(rate, this->node.cold.times().grant_time)
               : cold_bucket();
  const std::optional<double> limit =
      this->node.limits.find({wanted.server, wanted.incarnation});
  if (!limit) return cold;
  const auto& servers = this->node.directory.servers();
  const auto found = servers.find(wanted.server);
  const bool is_cold =
      rate > 0 && found != servers.end() && found->second.cold_until > now;
  const cold_bucket limited = bucket_for_limit(*limit);
  return is_cold ? smaller_bucket(cold, limited) : limited;
}

std::vector<limit_report> cold_gossip::merge_limits(
    const std::vector<limit_report>& said, absl::Time now) {
  std::vector<limit_report> out;
  for (const limit_report& report : said) {
    this->node.limits.take(report, now);
    const auto known = this->node.limits.report(report.server, now);
    if (known && known->per_s != report.per_s) out.push_back(*known);
  }
  return out;
}

void cold_gossip::follow_lease(absl::Time now) {
  // A lease that lapsed and was taken again has another fence.
  const std::optional<int64_t> held =
      this->keeper.holds() ? std::optional(this->keeper.fence()) : std::nullopt;
  if (held == this->term) return;
  this->term = held;
  if (held) {
    this->ledger.begin_term(now);
  } else {
    this->ledger.end_term();
  }
  this->node.log.belief(held ? "cold_term_begun" : "cold_term_ended",
                        {{"fence", absl::StrCat(this->keeper.fence())}}, now);
}

cold_grant cold_gossip::grant(const std::string& peer,
                              const cold_request& asked, absl::Time now) {
  this->follow_lease(now);
  std::vector<limit_report> limits = this->merge_limits(asked.limits, now);
  cold_grant out = this->ledger.answer(
      asked, [&](const auto& wanted) { return this->bucket_of(wanted, now); },
      now);
  out.limits = std::move(limits);
  this->node.metrics.count_cold("granted", sum(out.granted));
  this->node.log.belief(
      "cold_granted",
      {{"peer", peer},
       {"asked", to_text(asked.wanted)},
       {"granted", to_text(out.granted)},
       {"term_ms", this->term ? millis(this->ledger.term_age(now)) : "none"},
       {"servers_rev", absl::StrCat(this->node.directory.revision())},
       {"servers_age_ms", millis(this->node.age().servers)}},
      now);
  return out;
}

void cold_gossip::ask(absl::Time now) {
  cold_request asked = this->node.cold.ask(this->node.random.engine(), now);
  for (const server_count& wanted : asked.wanted) {
    const auto known =
        this->node.limits.report({wanted.server, wanted.incarnation}, now);
    if (known) asked.limits.push_back(*known);
  }
  const std::string holder = this->keeper.holder();
  this->node.metrics.count_cold("asked", sum(asked.wanted));
  this->node.log.belief(
      "cold_asked",
      {{"holder", holder},
       {"wanted", to_text(asked.wanted)},
       {"held", absl::StrCat(this->node.cold.held(now))},
       {"servers_rev", absl::StrCat(this->node.directory.revision())},
       {"servers_age_ms", millis(this->node.age().servers)}},
      now);
  if (holder == this->node.settings.node) {
    this->take(holder, this->grant(holder, asked, now));
  } else if (!holder.empty()) {
    this->link.send(holder, std::move(asked));
  }
}

void cold_gossip::answer(const std::string& peer, const cold_request& asked) {
  if (!this->keeper.holds()) return;
  cold_grant out = this->grant(peer, asked, this->node.now());
  // Who hears nothing asks again.
  const bool has_content = !out.granted.empty() || !out.limits.empty();
  if (has_content) this->link.send(peer, std::move(out));
}

void cold_gossip::take(const std::string& peer, const cold_grant& said) {
  const absl::Time now = this->node.now();
  for (const auto& report : said.limits) this->node.limits.take(report, now);
  if (said.granted.empty()) return;
  const int taken = this->node.cold.take(said, now);
  if (taken > 0) {
    this->node.metrics.count_cold("taken", taken);
    return;
  }
  this->node.metrics.count_cold("late", sum(said.granted));
  this->node.log.belief("cold_grant_late",
                        {{"peer", peer}, {"granted", to_text(said.granted)}},
                        now);
}

void cold_gossip::step() {
  const absl::Time now = this->node.now();
  this->follow_lease(now);
  this->node.metrics.count_cold("unused", this->node.cold.expire(now));
  if (this->node.cold.due(now)) this->ask(now);
}

int cold_gossip::count_cold() const {
  const absl::Time now = this->node.now();
  const auto& servers = this->node.directory.servers();
  return static_cast<int>(
      std::count_if(servers.begin(), servers.end(), [&](const auto& item) {
        return item.second.cold_until > now && this->rate_of(item.first) > 0;
      }));
}

void cold_gossip::set_gauges() const {
  this->node.metrics.set_gauge("cold_servers", this->count_cold());
  this->node.metrics.set_gauge("cold_grants_held",
                               this->node.cold.held(this->node.now()));
  this->node.metrics.set_gauge("cold_ledger_servers",
                               static_cast<double>(this->ledger.size()));
}

}  // namespace spokesail
