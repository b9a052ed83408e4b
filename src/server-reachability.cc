#include "spokesail/server-reachability.h"

#include <algorithm>
#include <utility>

namespace spokesail {
namespace {

/// Removes and returns a random element.
std::string take_random(std::vector<std::string>& names,
                        random_stream& random) {
  const size_t at = random.below(names.size());
  std::swap(names[at], names.back());
  std::string out = std::move(names.back());
  names.pop_back();
  return out;
}

}  // namespace

void server_reachability::on_heard(const std::string& server, absl::Time now) {
  this->heard[server] = now;
  this->heard_at = now;
}

void server_reachability::on_attempt(const std::string& server,
                                     const direct_attempt& attempt) {
  if (attempt.result != direct_result::connected) {
    this->failures[server] = attempt;
    this->reached_at.erase(server);
    return;
  }
  this->failures.erase(server);
  this->reached_at[server] = attempt.ended;
  this->on_heard(server, attempt.ended);
}

server_reachability::evidence server_reachability::recent(
    absl::Time now) const {
  evidence out;
  for (const auto& [server, attempt] : this->failures) {
    if (now - attempt.ended >= evidence_lifetime) continue;
    ++out.unreached;
    out.first_failure = std::min(out.first_failure, attempt.ended);
    if (attempt.result != direct_result::bypassed) continue;
    ++out.bypassed;
    if (attempt.silent)
      out.silent_since = std::max(out.silent_since, attempt.begun);
  }
  if (out.unreached == 0) return out;
  for (const auto& [server, at] : this->reached_at) {
    if (at >= out.first_failure) ++out.reached;
  }
  return out;
}

bool server_reachability::in_doubt(absl::Time now) const {
  const evidence found = this->recent(now);
  return found.unreached >= min_unreached_servers &&
         found.unreached > found.reached;
}

bool server_reachability::partitioned(absl::Time now) const {
  const evidence found = this->recent(now);
  return found.bypassed >= min_unreached_servers &&
         found.unreached > found.reached;
}

const direct_attempt* server_reachability::recent_failure(
    const std::string& server, absl::Time now) const {
  const auto found = this->failures.find(server);
  const bool recent = found != this->failures.end() &&
                      now - found->second.ended < evidence_lifetime;
  return recent ? &found->second : nullptr;
}

absl::Time server_reachability::recently_reached(const std::string& server,
                                                 absl::Time now) const {
  const auto found = this->reached_at.find(server);
  const bool recent = found != this->reached_at.end() &&
                      now - found->second < evidence_lifetime;
  return recent ? found->second : absl::InfinitePast();
}

bool server_reachability::prefers_proxies(const std::string& server,
                                          absl::Time now) const {
  const direct_attempt* failure = this->recent_failure(server, now);
  if (failure != nullptr && failure->result == direct_result::bypassed)
    return true;
  return this->partitioned(now) &&
         this->recently_reached(server, now) < this->recent(now).first_failure;
}

bool server_reachability::may_proxy(const std::string& server,
                                    absl::Time now) const {
  if (this->recent_failure(server, now) != nullptr) return false;
  const bool reached =
      this->recently_reached(server, now) != absl::InfinitePast();
  return reached || !this->in_doubt(now);
}

bool server_reachability::may_reuse(const std::string& server,
                                    absl::Time now) const {
  const auto found = this->heard.find(server);
  const absl::Time itself =
      found == this->heard.end() ? absl::InfinitePast() : found->second;
  const bool heard_itself = now - itself < heard_lifetime;
  const direct_attempt* failure = this->recent_failure(server, now);
  if (failure != nullptr && failure->result == direct_result::bypassed)
    return heard_itself && (!failure->silent || itself > failure->begun);
  if (this->in_doubt(now))
    return heard_itself && itself > this->recent(now).silent_since;
  return now - this->heard_at < heard_lifetime;
}

bool server_reachability::connection_lost(const std::string& server,
                                          absl::Time last_heard,
                                          absl::Time now) const {
  const direct_attempt* failure = this->recent_failure(server, now);
  if (failure != nullptr && failure->result == direct_result::bypassed)
    return failure->silent && last_heard < failure->begun;
  if (this->recently_reached(server, now) > last_heard) return false;
  if (now - last_heard < heard_lifetime || !this->partitioned(now))
    return false;
  return last_heard < this->recent(now).silent_since;
}

bool server_reachability::probe_due(absl::Time now) const {
  return now - this->probed_at >= probe_period && this->in_doubt(now);
}

void server_reachability::demote_proxy(const std::string& name,
                                       absl::Time now) {
  this->demoted_until[name] = now + proxy_exclusion;
}

std::vector<std::string> server_reachability::choose_proxies(
    const std::vector<proxy_candidate>& candidates, size_t count,
    absl::Time now, random_stream& random) const {
  std::vector<std::string> local;
  std::vector<std::string> remote;
  std::vector<std::string> demoted;
  for (const auto& candidate : candidates) {
    const auto found = this->demoted_until.find(candidate.name);
    const bool is_demoted =
        found != this->demoted_until.end() && now < found->second;
    (is_demoted        ? demoted
     : candidate.local ? local
                       : remote)
        .push_back(candidate.name);
  }
  std::vector<std::string> out;
  while (out.size() < std::min(count, candidates.size())) {
    const bool remote_first = local.empty() || out.size() == 1;
    auto& from = remote_first && !remote.empty() ? remote
                 : !local.empty()                ? local
                                                 : demoted;
    out.push_back(take_random(from, random));
  }
  return out;
}

void server_reachability::expire(absl::Time now) {
  std::erase_if(this->failures, [&](const auto& item) {
    return now - item.second.ended >= evidence_lifetime;
  });
  std::erase_if(this->reached_at, [&](const auto& item) {
    return now - item.second >= evidence_lifetime;
  });
  std::erase_if(this->heard, [&](const auto& item) {
    return now - item.second >= heard_lifetime;
  });
  std::erase_if(this->demoted_until,
                [&](const auto& item) { return now >= item.second; });
}

}  // namespace spokesail
