// Configurations that follow each other faster than a node reads them.
#include "spokesail/config-announcements.h"

#include <gtest/gtest.h>

namespace spokesail {
namespace {

const absl::Time began = absl::FromUnixSeconds(1000);
constexpr absl::Duration step = absl::Milliseconds(10);

/// The largest age that a node's configuration reaches while its relay has a
/// new one each `gap` and the node reads one in `read_time`.
absl::Duration largest_age(absl::Duration gap, absl::Duration read_time) {
  constexpr absl::Duration request_period = absl::Milliseconds(180);
  constexpr absl::Duration relay_age = absl::Milliseconds(300);
  config_announcements announced;
  absl::Time verified_at = began;
  absl::Duration largest;
  int64_t in_force = 0;
  int64_t reading = 0;
  absl::Time read_at = absl::InfiniteFuture();
  for (absl::Time now = began; now < began + absl::Seconds(20); now += step) {
    const auto relays = static_cast<int64_t>((now - began) / gap);
    if ((now - began) % request_period == absl::ZeroDuration()) {
      announced.add(relays, now - relay_age);
      if (relays > in_force && read_at == absl::InfiniteFuture()) {
        reading = relays;
        read_at = now + read_time;
      }
    }
    if (now >= read_at) {
      in_force = reading;
      read_at = absl::InfiniteFuture();
    }
    verified_at = std::max(verified_at, announced.take_verified_at(in_force));
    largest = std::max(largest, now - verified_at);
  }
  return largest;
}

/// Two configurations of the largest rate at which the platform accepts them
/// are read within the time that a key is trusted.
TEST(config_announcements, keep_a_node_current_in_a_storm) {
  constexpr absl::Duration trusted = absl::Seconds(2);
  EXPECT_LT(largest_age(absl::Seconds(60), absl::Milliseconds(400)), trusted);
  EXPECT_LT(largest_age(absl::Milliseconds(330), absl::Milliseconds(400)),
            trusted);
  EXPECT_LT(largest_age(absl::Milliseconds(50), absl::Milliseconds(700)),
            trusted);
}

TEST(config_announcements, prove_nothing_of_a_revision_that_was_not_read) {
  config_announcements announced;
  announced.add(7, began);
  announced.add(9, began + absl::Seconds(2));
  EXPECT_EQ(announced.take_verified_at(6), absl::InfinitePast());
  EXPECT_EQ(announced.take_verified_at(8), began);
  EXPECT_EQ(announced.take_verified_at(8), absl::InfinitePast());
  EXPECT_EQ(announced.take_verified_at(9), began + absl::Seconds(2));
}

TEST(config_announcements, keep_the_latest_time_of_a_revision) {
  config_announcements announced;
  announced.add(7, began + absl::Seconds(1));
  announced.add(7, began);
  EXPECT_EQ(announced.take_verified_at(7), began + absl::Seconds(1));
}

}  // namespace
}  // namespace spokesail
