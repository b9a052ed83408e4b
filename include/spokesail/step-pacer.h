// When the group controller takes its next step.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>

namespace spokesail {

/// Paces steps whose cost grows with the number of servers. Answers the load of
/// a holder that is a small host, as when all large hosts have failed: it also
/// serves callers and reads messages, for which a step of a large fleet must
/// leave it time.
class step_pacer {
 public:
  /// Time between two steps after a change.
  static constexpr absl::Duration min_period = absl::Milliseconds(40);
  /// Time between two steps while nothing has changed; their timers have this
  /// precision.
  static constexpr absl::Duration idle_period = absl::Milliseconds(100);
  /// Share of the time that steps take at most.
  static constexpr double max_load = 0.25;

  /// What a step works on.
  struct inputs {
    int64_t servers_revision = 0;
    int64_t config_revision = 0;
    /// Counts answers to orders and report requests, suspicions and the like.
    uint64_t events = 0;
    bool operator==(const inputs&) const = default;
  };

  /// Whether a step is due.
  bool due(const inputs& current, absl::Time now) const {
    if (now < this->earliest) return false;
    return !(current == this->last) || now >= this->last_begun + idle_period;
  }

  /// Records a step that began at `begun` and ended at `ended`.
  void on_step(const inputs& worked_on, absl::Time begun, absl::Time ended) {
    this->last = worked_on;
    this->last_begun = begun;
    this->earliest = begun + std::max(min_period, (ended - begun) / max_load);
  }

 private:
  inputs last;
  absl::Time last_begun = absl::InfinitePast();
  absl::Time earliest = absl::InfinitePast();
};

}  // namespace spokesail
