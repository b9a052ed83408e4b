#include "spokesail/server-reachability.h"

#include <algorithm>
#include <deque>
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

/// Takes names at random from several halls in turn.
class hall_rotation {
 public:
  /// Begins with `first`; the other halls are in random order.
  hall_rotation(std::map<std::string, std::vector<std::string>> by_hall,
                const std::string& first, random_stream& random)
      : by_hall(std::move(by_hall)) {
    std::vector<std::string> rest;
    for (const auto& [hall, names] : this->by_hall) {
      if (hall != first) rest.push_back(hall);
    }
    if (this->by_hall.contains(first)) this->order.push_back(first);
    while (!rest.empty()) this->order.push_back(take_random(rest, random));
  }

  bool empty() const { return this->order.empty(); }

  std::string take(random_stream& random) {
    const std::string hall = std::move(this->order.front());
    this->order.pop_front();
    auto& names = this->by_hall[hall];
    std::string out = take_random(names, random);
    if (!names.empty()) this->order.push_back(hall);
    return out;
  }

 private:
  std::map<std::string, std::vector<std::string>> by_hall;
  std::deque<std::string> order;
};

}  // namespace

void server_reachability::on_heard(const std::string& server, absl::Time now) {
  this->heard[server] = now;
  this->heard_at = now;
}

void server_reachability::on_attempt(const std::string& server,
                                     const direct_attempt& attempt) {
  if (attempt.result != direct_result::connected) {
    const direct_attempt* last = this->recent_failure(server, attempt.ended);
    const bool last_says_more = last != nullptr &&
                                last->result == direct_result::bypassed &&
                                attempt.result == direct_result::failed;
    const absl::Time since =
        last == nullptr ? attempt.begun : this->failures.at(server).since;
    if (!last_says_more) this->failures[server] = {attempt, since};
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
  absl::Time failing_since = absl::InfiniteFuture();
  for (const auto& [server, failure] : this->failures) {
    const direct_attempt& attempt = failure.last;
    if (now - attempt.ended >= evidence_lifetime) continue;
    ++out.unreached;
    failing_since = std::min(failing_since, failure.since);
    out.first_failure = std::min(out.first_failure, attempt.ended);
    if (attempt.result != direct_result::bypassed) continue;
    ++out.bypassed;
    if (attempt.silent)
      out.silent_since = std::max(out.silent_since, attempt.begun);
  }
  if (out.unreached == 0) return out;
  for (const auto& [server, at] : this->reached_at) {
    const bool recent = now - at < evidence_lifetime;
    if (recent && at >= failing_since) ++out.reached;
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
                      now - found->second.last.ended < evidence_lifetime;
  return recent ? &found->second.last : nullptr;
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

bool server_reachability::server_failed(const std::string& server,
                                        absl::Time now) const {
  const direct_attempt* failure = this->recent_failure(server, now);
  return failure != nullptr && failure->result == direct_result::failed &&
         this->heard_at > failure->ended && !this->in_doubt(now);
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

void server_reachability::on_proxied(const std::string& name, absl::Time now) {
  this->demoted_until.erase(name);
  this->proxied_at[name] = now;
  this->last_proxied = now;
}

void server_reachability::demote_proxy(const std::string& name,
                                       absl::Time now) {
  this->proxied_at.erase(name);
  this->demoted_until[name] = now + proxy_exclusion;
}

bool server_reachability::demoted(const std::string& name,
                                  absl::Time now) const {
  const auto found = this->demoted_until.find(name);
  return found != this->demoted_until.end() && now < found->second;
}

bool server_reachability::proven(const std::string& name,
                                 absl::Time now) const {
  const auto found = this->proxied_at.find(name);
  return found != this->proxied_at.end() &&
         now - found->second < proxy_lifetime;
}

std::vector<std::string> server_reachability::choose_proxies(
    const std::vector<proxy_candidate>& candidates, const std::string& own_hall,
    size_t count, absl::Time now, random_stream& random) const {
  std::map<std::string, std::vector<std::string>> by_hall;
  std::vector<std::string> proven;
  std::vector<std::string> demoted;
  for (const auto& [name, hall] : candidates) {
    auto& names = this->demoted(name, now)  ? demoted
                  : this->proven(name, now) ? proven
                                            : by_hall[hall];
    names.push_back(name);
  }
  hall_rotation others(std::move(by_hall), own_hall, random);
  std::vector<std::string> out;
  while (out.size() < std::min(count, candidates.size())) {
    const bool proven_due =
        (out.size() >= 2 && out.size() % 2 == 0) || others.empty();
    if (proven_due && !proven.empty()) {
      out.push_back(take_random(proven, random));
    } else if (!others.empty()) {
      out.push_back(others.take(random));
    } else {
      out.push_back(take_random(demoted, random));
    }
  }
  return out;
}

void server_reachability::expire(absl::Time now) {
  std::erase_if(this->failures, [&](const auto& item) {
    return now - item.second.last.ended >= evidence_lifetime;
  });
  std::erase_if(this->reached_at, [&](const auto& item) {
    return now - item.second >= evidence_lifetime;
  });
  std::erase_if(this->heard, [&](const auto& item) {
    return now - item.second >= heard_lifetime;
  });
  std::erase_if(this->demoted_until,
                [&](const auto& item) { return now >= item.second; });
  std::erase_if(this->proxied_at, [&](const auto& item) {
    return now - item.second >= proxy_lifetime;
  });
}

}  // namespace spokesail
