// Times of the grants for cold and rate-limited servers.
#pragma once

#include <absl/time/time.h>

namespace spokesail {

/// Must be the same on the lease holder and on the nodes that request grants.
struct grant_timing {
  /// Lifetime of a grant, from the time at which it was requested.
  absl::Duration grant_lifetime = absl::Milliseconds(500);
  /// A new lease holder issues no grants for this long, so that the grants of
  /// the previous holder have expired. Longer than the lifetime of a grant, to
  /// allow for clock drift.
  absl::Duration new_term_delay = absl::Milliseconds(600);
  /// Shortest interval between the grant requests of a node.
  absl::Duration min_request_interval = absl::Milliseconds(100);
  /// Longest interval. The interval doubles after each grant request that
  /// yielded no grant, so that many nodes with little demand do not overload
  /// the lease holder.
  absl::Duration max_request_interval = absl::Milliseconds(800);
  bool operator==(const grant_timing&) const = default;
};

}  // namespace spokesail
