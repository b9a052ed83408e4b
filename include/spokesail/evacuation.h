// Data halls whose servers must not receive requests.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <set>
#include <string>

namespace spokesail {

/// The data halls that operators have evacuated, as of one revision of the
/// store.
struct evacuation_snapshot {
  int64_t revision = 0;
  /// Time since this was last known to be current.
  absl::Duration age = absl::InfiniteDuration();
  std::set<std::string> halls;
  bool operator==(const evacuation_snapshot&) const = default;
};

}  // namespace spokesail
