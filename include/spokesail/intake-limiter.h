// Limits the requests that a node accepts to what its host can process.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace spokesail {

/// What a node's host provides per second.
struct node_capacity {
  /// Processor time, in cores.
  double cores = 1;
  /// Bytes in one direction of the network link; 0 if unknown.
  double link_bytes_per_s = 0;
  bool operator==(const node_capacity&) const = default;
};

/// What a node has used since its start.
struct node_usage {
  absl::Duration processor_time;
  uint64_t bytes_in = 0;
  uint64_t bytes_out = 0;
  bool operator==(const node_usage&) const = default;
};

/// Decides whether a node accepts another connection. A request that runs costs
/// processor time until its response ends, so the limit is on the number of
/// requests in progress: the number at which the measured utilization would be
/// the target. An event loop that is late counts as utilized whatever its
/// processor time, part of which may not be measured. The limit depends on
/// nothing but this node's own host, since callers may send most of a fleet's
/// requests to one node. Does no I/O and reads no clock.
class intake_limiter {
 public:
  /// The utilization that the limit aims at. The rest is for control messages
  /// and for the work of the operating system that is not measured.
  static constexpr double target_utilization = 0.7;
  /// Interval of the measurements.
  static constexpr absl::Duration interval = absl::Milliseconds(100);
  /// A connection is accepted after this time even above the limit, since the
  /// balancer takes a node that accepts none for failed.
  static constexpr absl::Duration max_closed_time = absl::Milliseconds(500);

  explicit intake_limiter(node_capacity capacity);

  /// Adds a measurement; called at every tick of the event loop, which was late
  /// by `loop_delay`.
  void update(const node_usage& usage, int in_progress,
              absl::Duration loop_delay, absl::Time now);

  /// Whether another connection may be accepted beside `in_progress` requests.
  bool admits(int in_progress, absl::Time now) const;
  /// Whether connections may be accepted again after a pause. That there is
  /// room for several keeps pauses few, in which callers send no request that
  /// is not read.
  bool may_resume(int in_progress, absl::Time now) const;
  /// Records that a connection was accepted.
  void on_accepted(absl::Time now) { this->accepted_at = now; }

  /// Whether the requests in progress exceed the limit by far, as those on open
  /// connections may.
  bool overloaded(int in_progress) const;

  /// Maximum number of requests in progress.
  double limit() const { return this->max_in_progress; }
  /// Utilization in the last interval: the largest of processor, link and
  /// event loop. May exceed 1.
  double utilization() const { return this->used_fraction; }

 private:
  /// The utilization of processor and link since the interval began.
  double utilization_since_start(const node_usage& usage,
                                 absl::Duration elapsed) const;
  /// Whether no connection was accepted for so long that one must be.
  bool closed_too_long(absl::Time now) const {
    return now - this->accepted_at >= max_closed_time;
  }
  /// Sets the limit from the interval that has ended.
  void end_interval(const node_usage& usage, absl::Time now);

  node_capacity capacity;
  /// Number of requests by which the limit may exceed the current number.
  double growth;
  double max_in_progress;
  double used_fraction = 0;
  absl::Time accepted_at = absl::InfinitePast();
  /// The current interval: its start, and what was counted since.
  absl::Time interval_start = absl::InfinitePast();
  node_usage start_usage;
  absl::Duration loop_delay_sum;
  double in_progress_sum = 0;
  int samples = 0;
};

}  // namespace spokesail
