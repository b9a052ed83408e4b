// Pauses between retries that grow while the retries fail.
#pragma once

#include <absl/time/time.h>

#include "spokesail/hash.h"

namespace spokesail {

/// Doubles a pause from `first` up to `longest`, each time with a quarter more
/// or less at random, so that many nodes do not retry at the same moment.
class backoff {
 public:
  backoff(absl::Duration first, absl::Duration longest)
      : first(first), longest(longest), current(first) {}

  /// The pause after a failed try.
  absl::Duration next(random_stream& random);
  /// Starts anew, after a try that succeeded.
  void reset() { this->current = this->first; }
  /// Changes the bounds without starting anew.
  void set_bounds(absl::Duration new_first, absl::Duration new_longest);

 private:
  absl::Duration first;
  absl::Duration longest;
  absl::Duration current;
};

}  // namespace spokesail
