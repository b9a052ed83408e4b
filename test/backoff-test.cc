// Delays between retries.
#include "spokesail/backoff.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace spokesail {
namespace {

TEST(backoff, doubles_up_to_the_longest_delay_and_resets) {
  random_stream random{std::mt19937_64(1)};
  const absl::Duration first = absl::Milliseconds(100);
  backoff delays(first, absl::Milliseconds(800));
  absl::Duration nominal = first;
  for (int i = 0; i < 6; ++i) {
    const absl::Duration delay = delays.next(random);
    EXPECT_GE(delay, 0.75 * nominal);
    EXPECT_LE(delay, 1.25 * nominal);
    nominal = std::min(absl::Milliseconds(800), 2 * nominal);
  }
  delays.reset();
  EXPECT_LE(delays.next(random), 1.25 * first);
}

TEST(backoff, new_bounds_clamp_the_current_delay) {
  random_stream random{std::mt19937_64(1)};
  backoff delays(absl::Milliseconds(100), absl::Milliseconds(200));
  delays.next(random);
  delays.set_bounds(absl::Milliseconds(600), absl::Milliseconds(2400));
  EXPECT_GE(delays.next(random), 0.75 * absl::Milliseconds(600));
}

}  // namespace
}  // namespace spokesail
