// Evidence on whether requests with one trait crash the servers that run them,
// as values that nodes exchange and merge.
#pragma once

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <limits>
#include <map>

#include "spokesail/request-trait.h"

namespace spokesail {

/// The progress of an attempt to run a request: the index of the last event
/// that was forwarded to the caller, or one of these values.
namespace run_progress {
/// No event was forwarded.
constexpr int64_t start = -1;
/// The answer was complete.
constexpr int64_t completed = std::numeric_limits<int64_t>::max();
}  // namespace run_progress

/// A server that crashed while it had a request with the trait.
struct server_crash {
  /// Progress of the attempt at the time of the crash.
  int64_t point = run_progress::start;
  /// Whether the server had begun to answer. If not, the request may only have
  /// been queued there.
  bool begun = false;
  /// Whether the request was sent to the server after another server had
  /// crashed under a request with the trait, and, for a prompt part, in a
  /// trial. Servers that fail at the same time have a common cause, which need
  /// not be the trait even if requests with it were sent to all of them.
  bool repeated = false;
  /// Whether a request with the trait has got past this point since, so that
  /// the crash had another cause.
  bool refuted = false;
  auto operator<=>(const server_crash&) const = default;
};

/// The evidence on one trait. Merging is commutative, associative and
/// idempotent, so nodes can merge in any order and any number of times.
struct crash_evidence {
  /// Maximum number of crashes that are kept: enough to tell the trait apart
  /// from those of requests that ran on the same servers.
  static constexpr size_t max_crashes = 16;

  /// Crashes by hash of the server instance. An instance counts once, however
  /// many attempts it received. Refuted crashes are kept, so that a late
  /// message of another node does not bring them back.
  std::map<uint64_t, server_crash> crashes;
  /// Of a content: furthest progress of any attempt. Its attempts are alike, so
  /// that crashes at an earlier event have another cause, whenever they happen.
  /// Not used for parts: a part that did no harm may begin to crash servers
  /// when their software or weights change.
  int64_t passed = run_progress::start;
  bool operator==(const crash_evidence&) const = default;
};

/// Number of crashes that are not refuted.
size_t count_crashes(const crash_evidence& evidence);

/// Marks the crashes as refuted that happened at `from` or later, but before
/// `to`.
void refute(crash_evidence& evidence, int64_t from, int64_t to);

/// Refutes the crashes at events that an attempt has got past, and removes
/// those above the maximum, refuted ones first.
void normalize(crash_evidence& evidence);

/// Combines the evidence of two nodes.
crash_evidence merge(const crash_evidence& a, const crash_evidence& b);

/// Evidence on one trait as sent to other nodes.
struct crash_update {
  request_trait trait;
  crash_evidence evidence;
  /// Time since the last crash or refutation.
  absl::Duration age = absl::ZeroDuration();
  bool operator==(const crash_update&) const = default;
};

}  // namespace spokesail
