// Exponential backoff with jitter.
#include "spokesail/backoff.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Smallest factor on a delay, and the width of the random part added to it.
constexpr double min_factor = 0.75;
constexpr double jitter_width = 0.5;

}  // namespace

absl::Duration backoff::next(random_stream& random) {
  const absl::Duration delay =
      this->current * (min_factor + jitter_width * random.unit());
  this->current = std::min(this->longest, 2 * this->current);
  return delay;
}

void backoff::set_bounds(absl::Duration new_first, absl::Duration new_longest) {
  this->first = new_first;
  this->longest = new_longest;
  this->current = std::clamp(this->current, new_first, new_longest);
}

}  // namespace spokesail
