// Data halls whose servers are to get no requests.
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
  /// Age of the proof that this still holds.
  absl::Duration age = absl::InfiniteDuration();
  std::set<std::string> halls;
  bool operator==(const evacuation_snapshot&) const = default;
};

}  // namespace spokesail
