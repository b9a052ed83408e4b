#include "spokesail/presence.h"

#include <algorithm>
#include <set>

namespace spokesail {
namespace {

/// A failure observed by a prober or by this node counts against a host for
/// this long after it was last confirmed.
constexpr absl::Duration negative_lifetime = absl::Seconds(10);

bool same_observation(const observation& a, const observation& b) {
  return a.reachable == b.reachable && a.report == b.report;
}

}  // namespace

bool presence_table::observe(const std::string& prober, const std::string& host,
                             const observation& seen) {
  auto& entry = this->hosts[host];
  auto [it, fresh] = entry.by_prober.try_emplace(prober);
  observation& known = it->second;
  if (!fresh && seen.at < known.at) return false;
  const bool changed = fresh || !same_observation(known, seen);
  const bool still_lost = !fresh && !known.reachable && !seen.reachable;
  const absl::Time since = still_lost ? known.unreachable_since : seen.at;
  known = seen;
  known.unreachable_since = seen.reachable ? absl::InfinitePast() : since;
  return changed;
}

void presence_table::refresh(const std::string& prober, absl::Time at) {
  auto& last = this->refreshed[prober];
  last = std::max(last, at);
}

void presence_table::remove_observation(const std::string& prober,
                                        const std::string& host) {
  const auto it = this->hosts.find(host);
  if (it != this->hosts.end()) it->second.by_prober.erase(prober);
}

void presence_table::remove_prober(const std::string& prober) {
  for (auto& [host, entry] : this->hosts) entry.by_prober.erase(prober);
  this->refreshed.erase(prober);
}

void presence_table::note_failure(const std::string& host, absl::Time at) {
  auto& entry = this->hosts[host];
  entry.failed_at = std::max(entry.failed_at, at);
}

absl::Time presence_table::seen_at(const std::string& prober,
                                   const observation& o) const {
  const auto it = this->refreshed.find(prober);
  if (it == this->refreshed.end()) return o.at;
  return std::max(o.at, it->second);
}

std::optional<observation> presence_table::latest(
    const std::string& host) const {
  const auto it = this->hosts.find(host);
  if (it == this->hosts.end()) return std::nullopt;
  std::optional<observation> found;
  for (const auto& [prober, seen] : it->second.by_prober) {
    const absl::Time at = this->seen_at(prober, seen);
    if (found && at <= found->at) continue;
    found = seen;
    found->at = at;
  }
  return found;
}

std::optional<observation> presence_table::observation_of(
    const std::string& prober, const std::string& host) const {
  const auto it = this->hosts.find(host);
  if (it == this->hosts.end()) return std::nullopt;
  const auto seen = it->second.by_prober.find(prober);
  if (seen == it->second.by_prober.end()) return std::nullopt;
  return seen->second;
}

void presence_table::set_loads(const std::string& prober,
                               const std::map<std::string, host_load>& loads) {
  for (auto& [name, entry] : this->hosts) {
    const auto seen = entry.by_prober.find(prober);
    if (seen == entry.by_prober.end()) continue;
    const auto load = loads.find(name);
    seen->second.load = load == loads.end() ? host_load{} : load->second;
  }
}

std::optional<host_report> presence_table::present(
    const std::string& host, absl::Time now, absl::Duration window) const {
  const auto it = this->hosts.find(host);
  if (it == this->hosts.end()) return std::nullopt;
  const auto& entry = it->second;
  const observation* newest = nullptr;
  absl::Time newest_at = absl::InfinitePast();
  absl::Time lost_since = absl::InfinitePast();
  if (now - entry.failed_at < negative_lifetime) lost_since = entry.failed_at;
  for (const auto& [prober, seen] : entry.by_prober) {
    const absl::Time at = this->seen_at(prober, seen);
    if (!seen.reachable) {
      if (now - at < negative_lifetime) {
        lost_since = std::max(lost_since, seen.unreachable_since);
      }
    } else if (!newest || at > newest_at) {
      newest = &seen;
      newest_at = at;
    }
  }
  if (!newest || newest_at <= lost_since) return std::nullopt;
  if (now - newest_at > window) return std::nullopt;
  return newest->report;
}

void presence_table::retain_hosts(const std::vector<std::string>& names) {
  const std::set<std::string> wanted(names.begin(), names.end());
  for (auto it = this->hosts.begin(); it != this->hosts.end();) {
    it = wanted.count(it->first) != 0 ? std::next(it) : this->hosts.erase(it);
  }
}

}  // namespace spokesail
