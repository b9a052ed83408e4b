// Decides when a running attempt is given up for another one.
#pragma once

#include <absl/time/time.h>

namespace spokesail {

/// What another attempt of a request could win while the first one runs. Each
/// step is taken only if all before it have succeeded.
struct failover_chance {
  /// Why the request may not be sent again; null if it may.
  const char* obstacle = nullptr;
  /// Whether the budget has a retry left. It is reserved last.
  bool granted = false;
  /// Whether an endpoint was chosen, at which the attempt is counted.
  bool placed = false;
  /// Whether all servers of that endpoint answer.
  bool confirmed = false;
  /// Whether the first attempt has received something since the search began.
  bool recovered = false;
  bool operator==(const failover_chance&) const = default;
};

/// Why a running attempt is kept; null if it is given up for the other one. A
/// server that is silent may be sound, so that its answer is given up only for
/// one that can be had.
const char* reason_to_keep(const failover_chance& chance);

/// Paces the searches for other endpoints at one node. When the servers of many
/// attempts fall silent at once, each attempt would have other servers probed;
/// if these do not answer either, more probes win nothing, and all nodes
/// together would load the servers with them. Searches that fail reduce the
/// number that run at once and delay the next one.
class failover_pacer {
 public:
  /// Searches that run at once while they succeed.
  static constexpr int max_searches = 8;
  /// Delay after a failed search: the first, and the upper bound to which it
  /// doubles. Callers leave a stream that is silent for two seconds.
  static constexpr absl::Duration min_delay = absl::Milliseconds(40);
  static constexpr absl::Duration max_delay = absl::Milliseconds(320);

  /// Begins a search if one may run now.
  bool try_begin(absl::Time now);

  /// Ends a search. `confirmed` says whether the servers that were probed
  /// answered; nothing is learned from a search that probed none.
  void end(bool confirmed, absl::Time now);
  void end_without_probe() { --this->running; }

 private:
  int running = 0;
  int limit = max_searches;
  absl::Duration delay = min_delay;
  absl::Time next_begin = absl::InfinitePast();
};

}  // namespace spokesail
