// Exponential backoff with jitter.
#include "spokesail/backoff.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Smallest factor on a delay, and the width of the random part added to it.
constexpr double least_share = 0.75;
constexpr double drawn_share = 0.5;

}  // namespace

absl::Duration backoff::next(random_stream& random) {
  const absl::Duration pause =
      this->current * (least_share + drawn_share * random.unit());
  this->current = std::min(this->longest, 2 * this->current);
  return pause;
}

void backoff::set_bounds(absl::Duration new_first, absl::Duration new_longest) {
  this->first = new_first;
  this->longest = new_longest;
  this->current = std::clamp(this->current, new_first, new_longest);
}

}  // namespace spokesail
