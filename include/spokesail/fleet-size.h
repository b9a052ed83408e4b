// How many nodes share what the fleet may do in all.
#pragma once

#include <absl/time/time.h>

#include <deque>
#include <optional>

namespace spokesail {

/// Remembers the most nodes that lived at one time. A node that falls silent
/// may be cut off and still act, so that nobody's part of a common limit may
/// grow as soon as others are not heard.
class peak_fleet_size {
 public:
  /// Counts are kept for this long: regions may lose each other for an hour.
  static constexpr absl::Duration retention = absl::Hours(2);

  /// Takes note of the nodes that live, this one included.
  void record(int nodes, absl::Time now);

  /// The most nodes that lived within the memory, or at the last count if that
  /// is older; nothing before the first.
  std::optional<int> peak(absl::Time now);

 private:
  struct count {
    int nodes = 0;
    absl::Time at;
  };
  /// Falling counts, each with the last time at which as many lived.
  std::deque<count> counts;
};

}  // namespace spokesail
