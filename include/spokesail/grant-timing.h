// How long grants of requests to cold servers hold.
#pragma once

#include <absl/time/time.h>

namespace spokesail {

/// Times that the holder of the lease and the nodes that ask it agree on.
struct grant_timing {
  /// A grant may be used for this long after it was asked for.
  absl::Duration grant_lifetime = absl::Milliseconds(500);
  /// A new holder grants nothing for this long: grants of the one before have
  /// ended, and clocks may run apart a little.
  absl::Duration new_term_delay = absl::Milliseconds(600);
  /// Shortest time between a node's questions.
  absl::Duration min_request_interval = absl::Milliseconds(100);
  /// Longest time between them: it doubles with each question that granted
  /// nothing, so that many nodes that ask for little do not drown the holder.
  absl::Duration max_request_interval = absl::Milliseconds(800);
  bool operator==(const grant_timing&) const = default;
};

}  // namespace spokesail
