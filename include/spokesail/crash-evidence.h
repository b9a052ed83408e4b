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
namespace run_point {
/// Before its first event.
constexpr int64_t start = -1;
/// It was answered whole.
constexpr int64_t whole = std::numeric_limits<int64_t>::max();
}  // namespace run_point

/// The end of a server under a request.
struct crash_end {
  /// How far the request had come.
  int64_t point = run_point::start;
  /// Whether the server had begun to answer. If not, the request may just have
  /// waited there.
  bool begun = false;
  /// Whether the request was sent there after a server had ended under it.
  /// Servers that fail at the same moment have a cause in common, which need
  /// not be the request that many callers send to all of them.
  bool repeated = false;
  auto operator<=>(const crash_end&) const = default;
};

/// All that is known of one request. Several nodes' knowledge is merged in any
/// order and any number of times, with the same result.
struct crash_evidence {
  /// Ends of servers that are kept of one request: enough for it to stand out
  /// among those that ran beside it.
  static constexpr size_t most_crashes = 16;

  /// Starts of servers that ended under the request. One server counts once,
  /// however many runs it had.
  std::map<uint64_t, crash_end> crashes;
  /// How far any run came. Servers that ended earlier in the request did not
  /// end because of it: this run got past that point.
  int64_t passed = run_point::start;
  bool operator==(const crash_evidence&) const = default;
};

/// Drops the ends of servers that the request has since run past.
void normalize(crash_evidence& evidence);

/// What two nodes know together.
crash_evidence merge(const crash_evidence& a, const crash_evidence& b);

/// What a node tells others of one request.
struct crash_news {
  request_identity identity;
  crash_evidence evidence;
  /// Time since a server last ended under it.
  absl::Duration age = absl::ZeroDuration();
  bool operator==(const crash_news&) const = default;
};

}  // namespace spokesail
