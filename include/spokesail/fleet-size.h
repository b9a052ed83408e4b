// Number of nodes among which fleet-wide limits are divided.
#pragma once

#include <absl/time/time.h>

#include <deque>
#include <optional>

namespace spokesail {

/// Sliding-window maximum of the number of live nodes. A node whose
/// messages no longer arrive may be partitioned and still send requests, so the
/// other nodes must not enlarge their shares of a common limit at once.
class peak_fleet_size {
 public:
  /// Length of the window. Regions may be partitioned for an hour.
  static constexpr absl::Duration retention = absl::Hours(2);

  /// Records the number of live nodes, including this one.
  void record(int nodes, absl::Time now);

  /// Returns the maximum within the window, or the last count if it is older
  /// than the window; nothing before the first count.
  std::optional<int> peak(absl::Time now);

 private:
  struct count {
    int nodes = 0;
    absl::Time at;
  };
  /// Monotonic queue: decreasing counts, each with the last time at which at
  /// least as many nodes were alive.
  std::deque<count> counts;
};

}  // namespace spokesail
