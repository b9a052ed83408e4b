#include "spokesail/fleet-size.h"

namespace spokesail {

void peak_fleet_size::record(int nodes, absl::Time now) {
  while (!this->counts.empty() && this->counts.back().nodes <= nodes) {
    this->counts.pop_back();
  }
  this->counts.push_back({nodes, now});
}

std::optional<int> peak_fleet_size::peak(absl::Time now) {
  while (this->counts.size() > 1 && now - this->counts.front().at > retention) {
    this->counts.pop_front();
  }
  if (this->counts.empty()) return std::nullopt;
  return this->counts.front().nodes;
}

}  // namespace spokesail
