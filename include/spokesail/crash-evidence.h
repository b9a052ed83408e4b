// What speaks for and against a request that it crashes the servers that run
// it, as values that nodes can tell each other.
#pragma once

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <limits>
#include <map>

#include "spokesail/request-identity.h"

namespace spokesail {

/// How far a run of a request came: the last event that it passed on, or one of
/// these.
namespace run_progress {
/// Before its first event.
constexpr int64_t start = -1;
/// It was answered whole.
constexpr int64_t completed = std::numeric_limits<int64_t>::max();
}  // namespace run_progress

/// The end of a server under a request.
struct server_crash {
  /// How far the request had come.
  int64_t point = run_progress::start;
  /// Whether the server had begun to answer. If not, the request may just have
  /// waited there.
  bool begun = false;
  /// Whether the request was sent there after a server had ended under it.
  /// Servers that fail at the same moment have a cause in common, which need
  /// not be the request that many callers send to all of them.
  bool repeated = false;
  auto operator<=>(const server_crash&) const = default;
};

/// All that is known of one request. Several nodes' knowledge is merged in any
/// order and any number of times, with the same result.
struct crash_evidence {
  /// Ends of servers that are kept of one request: enough for it to stand out
  /// among those that ran beside it.
  static constexpr size_t max_crashes = 16;

  /// Starts of servers that ended under the request. One server counts once,
  /// however many runs it had.
  std::map<uint64_t, server_crash> crashes;
  /// How far any run came. Servers that ended earlier in the request did not
  /// end because of it: this run got past that point.
  int64_t passed = run_progress::start;
  bool operator==(const crash_evidence&) const = default;
};

/// Drops the ends of servers that the request has since run past.
void normalize(crash_evidence& evidence);

/// What two nodes know together.
crash_evidence merge(const crash_evidence& a, const crash_evidence& b);

/// What a node tells others of one request.
struct crash_update {
  request_identity identity;
  crash_evidence evidence;
  /// Time since a server last ended under it.
  absl::Duration age = absl::ZeroDuration();
  bool operator==(const crash_update&) const = default;
};

}  // namespace spokesail
