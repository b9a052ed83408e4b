#include "grant-coordinator.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace spokesail {
namespace {

std::string millis(absl::Duration time) {
  return absl::StrCat(absl::ToInt64Milliseconds(time));
}

/// Formats servers and their numbers of requests for logs.
std::string to_text(const std::vector<server_request_count>& counts) {
  return absl::StrJoin(counts, ",", [](std::string* out, const auto& c) {
    absl::StrAppend(out, c.server, ":", c.count);
  });
}

int total(const std::vector<server_request_count>& counts) {
  int out = 0;
  for (const auto& c : counts) out += c.count;
  return out;
}

}  // namespace

double grant_coordinator::cold_rate_of(const std::string& server) const {
  const server_entry* entry = this->node.directory.find(server);
  if (entry == nullptr || !this->node.routes) return 0;
  const backend_service* service =
      this->node.routes->find_service(entry->service);
  return service == nullptr ? 0 : service->cold_requests_per_s;
}

token_bucket_params grant_coordinator::bucket_of(
    const server_request_count& wanted, absl::Time now) const {
  const double rate = this->cold_rate_of(wanted.server);
  const token_bucket_params cold =
      rate > 0
          ? bucket_for_cold_rate(rate, this->node.cold.times().grant_lifetime)
          : token_bucket_params();
  const std::optional<double> limit =
      this->node.limits.find({wanted.server, wanted.incarnation});
  if (!limit) return cold;
  const auto& servers = this->node.directory.servers();
  const auto found = servers.find(wanted.server);
  const bool is_cold =
      rate > 0 && found != servers.end() && found->second.cold_until > now;
  const token_bucket_params limited = bucket_for_limit(*limit);
  return is_cold ? smaller_bucket(cold, limited) : limited;
}

std::vector<limit_report> grant_coordinator::merge_limits(
    const std::vector<limit_report>& reports, absl::Time now) {
  std::vector<limit_report> out;
  for (const limit_report& report : reports) {
    this->node.limits.merge_report(report, now);
    const auto own = this->node.limits.report(report.server, now);
    if (own && own->per_s != report.per_s) out.push_back(*own);
  }
  return out;
}

void grant_coordinator::update_term(absl::Time now) {
  // Compares fencing numbers, since the lease may have been lost and acquired
  // again.
  const std::optional<int64_t> fence =
      this->manager.holds() ? std::optional(this->manager.fence())
                            : std::nullopt;
  if (fence == this->term) return;
  this->term = fence;
  if (fence) {
    this->issuer.begin_term(now);
  } else {
    this->issuer.end_term();
  }
  this->node.log.state_change(fence ? "cold_term_begun" : "cold_term_ended",
                              {{"fence", absl::StrCat(this->manager.fence())}},
                              now);
}

grant_response grant_coordinator::grant(const std::string& peer,
                                        const grant_request& request,
                                        absl::Time now) {
  this->update_term(now);
  std::vector<limit_report> limits = this->merge_limits(request.limits, now);
  grant_response out = this->issuer.grant(
      request, [&](const auto& wanted) { return this->bucket_of(wanted, now); },
      now);
  out.limits = std::move(limits);
  this->node.metrics.count_cold("granted", total(out.granted));
  this->node.log.state_change(
      "cold_granted",
      {{"peer", peer},
       {"asked", to_text(request.wanted)},
       {"granted", to_text(out.granted)},
       {"term_ms", this->term ? millis(this->issuer.term_age(now)) : "none"},
       {"servers_rev", absl::StrCat(this->node.directory.revision())},
       {"servers_age_ms", millis(this->node.age().servers)}},
      now);
  return out;
}

void grant_coordinator::send_request(absl::Time now) {
  grant_request request =
      this->node.cold.make_request(this->node.random.engine(), now);
  for (const server_request_count& wanted : request.wanted) {
    const auto own =
        this->node.limits.report({wanted.server, wanted.incarnation}, now);
    if (own) request.limits.push_back(*own);
  }
  const std::string holder = this->manager.holder();
  this->node.metrics.count_cold("asked", total(request.wanted));
  this->node.log.state_change(
      "cold_asked",
      {{"holder", holder},
       {"wanted", to_text(request.wanted)},
       {"held", absl::StrCat(this->node.cold.held(now))},
       {"servers_rev", absl::StrCat(this->node.directory.revision())},
       {"servers_age_ms", millis(this->node.age().servers)}},
      now);
  if (holder == this->node.settings.node) {
    this->handle_response(holder, this->grant(holder, request, now));
  } else if (!holder.empty()) {
    this->link.send(holder, std::move(request));
  }
}

void grant_coordinator::handle_request(const std::string& peer,
                                       const grant_request& request) {
  if (!this->manager.holds()) return;
  grant_response out = this->grant(peer, request, this->node.now());
  // A node that gets no response sends another request.
  const bool has_content = !out.granted.empty() || !out.limits.empty();
  if (has_content) this->link.send(peer, std::move(out));
}

void grant_coordinator::handle_response(const std::string& peer,
                                        const grant_response& response) {
  const absl::Time now = this->node.now();
  for (const auto& report : response.limits)
    this->node.limits.merge_report(report, now);
  if (response.granted.empty()) return;
  const int accepted = this->node.cold.accept_response(response, now);
  if (accepted > 0) {
    this->node.metrics.count_cold("taken", accepted);
    return;
  }
  this->node.metrics.count_cold("late", total(response.granted));
  this->node.log.state_change(
      "cold_grant_late",
      {{"peer", peer}, {"granted", to_text(response.granted)}}, now);
}

void grant_coordinator::step() {
  const absl::Time now = this->node.now();
  this->update_term(now);
  this->node.metrics.count_cold("unused", this->node.cold.expire(now));
  if (this->node.cold.request_due(now)) this->send_request(now);
}

int grant_coordinator::count_cold_servers() const {
  const absl::Time now = this->node.now();
  const auto& servers = this->node.directory.servers();
  return static_cast<int>(
      std::count_if(servers.begin(), servers.end(), [&](const auto& item) {
        return item.second.cold_until > now &&
               this->cold_rate_of(item.first) > 0;
      }));
}

void grant_coordinator::set_gauges() const {
  this->node.metrics.set_gauge("cold_servers", this->count_cold_servers());
  this->node.metrics.set_gauge("cold_grants_held",
                               this->node.cold.held(this->node.now()));
  this->node.metrics.set_gauge("cold_ledger_servers",
                               static_cast<double>(this->issuer.size()));
}

}  // namespace spokesail
