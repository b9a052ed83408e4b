// Delays between retries.
#include "spokesail/backoff.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace spokesail {
namespace {

TEST(backoff, doubles_up_to_its_longest_and_starts_anew) {
  random_stream random{std::mt19937_64(1)};
  const absl::Duration first = absl::Milliseconds(100);
  backoff pauses(first, absl::Milliseconds(800));
  absl::Duration middle = first;
  for (int i = 0; i < 6; ++i) {
    const absl::Duration pause = pauses.next(random);
    EXPECT_GE(pause, 0.75 * middle);
    EXPECT_LE(pause, 1.25 * middle);
    middle = std::min(absl::Milliseconds(800), 2 * middle);
  }
  pauses.reset();
  EXPECT_LE(pauses.next(random), 1.25 * first);
}

TEST(backoff, new_bounds_keep_what_was_reached_between_them) {
  random_stream random{std::mt19937_64(1)};
  backoff pauses(absl::Milliseconds(100), absl::Milliseconds(200));
  pauses.next(random);
  pauses.set_bounds(absl::Milliseconds(600), absl::Milliseconds(2400));
  EXPECT_GE(pauses.next(random), 0.75 * absl::Milliseconds(600));
}

}  // namespace
}  // namespace spokesail
