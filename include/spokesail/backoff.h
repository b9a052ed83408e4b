// Exponential backoff with jitter.
#pragma once

#include <absl/time/time.h>

#include "spokesail/hash.h"

namespace spokesail {

/// Doubles the delay from `first` up to `longest`. Each delay varies at random
/// by up to a quarter either way, so that many nodes do not retry at the same
/// moment.
class backoff {
 public:
  backoff(absl::Duration first, absl::Duration longest)
      : first(first), longest(longest), current(first) {}

  /// The delay after a failed attempt.
  absl::Duration next(random_stream& random);
  /// Returns to the first delay, after an attempt that succeeded.
  void reset() { this->current = this->first; }
  /// Changes the bounds; the delay reached so far is kept between them.
  void set_bounds(absl::Duration new_first, absl::Duration new_longest);

 private:
  absl::Duration first;
  absl::Duration longest;
  absl::Duration current;
};

}  // namespace spokesail
