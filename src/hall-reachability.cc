#include "spokesail/hall-reachability.h"

#include <algorithm>

namespace spokesail {

void hall_reachability::set_period(absl::Duration time, absl::Time now) {
  const bool listened = this->listening();
  this->period = time;
  if (this->listening() && !listened) this->listening_since = now;
}

void hall_reachability::on_heard(const std::string& hall, absl::Time now) {
  this->last_heard[hall] = now;
  this->probes.erase(hall);
}

void hall_reachability::on_relayed(const silent_halls& found) {
  if (found.as_of >= this->relayed.as_of) this->relayed = found;
}

silent_halls hall_reachability::silent(absl::Time now) const {
  if (!this->listening()) {
    const bool current = now - this->relayed.as_of <= relayed_lifetime;
    return current ? this->relayed : silent_halls{};
  }
  silent_halls out{{}, now};
  for (const auto& [hall, heard] : this->last_heard) {
    const bool out_of_reach =
        this->nodes_silent(hall, max_missed_periods, now) &&
        !this->servers_answer(hall, now);
    if (out_of_reach) out.halls.insert(hall);
  }
  return out;
}

bool hall_reachability::nodes_silent(const std::string& hall,
                                     double missed_periods,
                                     absl::Time now) const {
  const absl::Time heard = this->last_heard.at(hall);
  return now - std::max(heard, this->listening_since) >
         missed_periods * this->period;
}

bool hall_reachability::servers_answer(const std::string& hall,
                                       absl::Time now) const {
  const auto found = this->probes.find(hall);
  if (found == this->probes.end()) return false;
  return std::any_of(found->second.last.begin(), found->second.last.end(),
                     [now](const probe& p) {
                       return p.answered && now - p.at < probe_lifetime;
                     });
}

std::vector<std::string> hall_reachability::take_halls_to_probe(
    absl::Time now) {
  std::vector<std::string> out;
  if (!this->listening()) return out;
  for (const auto& [hall, heard] : this->last_heard) {
    if (!this->nodes_silent(hall, missed_periods_to_probe, now)) continue;
    hall_probes& state = this->probes[hall];
    if (now - state.begun_at < probe_period) continue;
    state.begun_at = now;
    out.push_back(hall);
  }
  return out;
}

void hall_reachability::on_probe(const std::string& hall, bool answered,
                                 absl::Time now) {
  const auto found = this->probes.find(hall);
  // The nodes of the hall were heard meanwhile.
  if (found == this->probes.end()) return;
  found->second.last.push_back({answered, now});
  if (found->second.last.size() > max_probes) found->second.last.pop_front();
}

}  // namespace spokesail
