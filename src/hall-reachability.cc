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
    const absl::Duration silence = now - std::max(heard, this->listening_since);
    if (silence > max_missed_periods * this->period) {
      out.halls.insert(hall);
    }
  }
  return out;
}

}  // namespace spokesail
