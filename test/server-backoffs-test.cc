// Tests for the tracking of backoffs that servers ask for.
#include "spokesail/server-backoffs.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spokesail {
namespace {

const server_instance server{"s", 1};

absl::Time at(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

random_stream seeded(uint64_t seed = 1) {
  return random_stream{std::mt19937_64(seed)};
}

TEST(server_backoffs, last_at_least_as_long_as_asked_for) {
  server_backoffs backoffs;
  random_stream random = seeded();
  EXPECT_FALSE(backoffs.find(server, at(0)));
  backoffs.note(server, absl::Seconds(3), at(1), random);
  EXPECT_TRUE(backoffs.find(server, at(1)));
  EXPECT_TRUE(backoffs.find(server, at(3.999)));
  EXPECT_FALSE(backoffs.find(server, at(4.301)));
}

// Guards against a shorter backoff that ends a longer one.
TEST(server_backoffs, are_extended_but_not_shortened) {
  server_backoffs backoffs;
  random_stream random = seeded();
  backoffs.note(server, absl::Seconds(3), at(1), random);
  const absl::Time until = backoffs.find(server, at(1))->until;
  backoffs.note(server, absl::Seconds(1), at(2), random);
  backoffs.note(server, absl::ZeroDuration(), at(2.5), random);
  EXPECT_EQ(backoffs.find(server, at(3)), (server_backoff{at(1), until}));
  backoffs.note(server, absl::Seconds(3), at(3), random);
  EXPECT_EQ(backoffs.find(server, at(3))->since, at(1));
  EXPECT_GE(backoffs.find(server, at(3))->until, at(6));
}

TEST(server_backoffs, begin_anew_after_their_end) {
  server_backoffs backoffs;
  random_stream random = seeded();
  backoffs.note(server, absl::Seconds(1), at(0), random);
  backoffs.note(server, absl::Seconds(1), at(5), random);
  EXPECT_EQ(backoffs.find(server, at(5))->since, at(5));
}

TEST(server_backoffs, do_not_apply_to_a_new_incarnation) {
  server_backoffs backoffs;
  random_stream random = seeded();
  backoffs.note(server, absl::Seconds(3), at(0), random);
  EXPECT_FALSE(backoffs.find({"s", 2}, at(1)));
}

// Guards against servers that are lost for good because of one answer.
TEST(server_backoffs, have_a_maximum) {
  server_backoffs backoffs;
  random_stream random = seeded();
  backoffs.note(server, absl::InfiniteDuration(), at(0), random);
  EXPECT_LE(backoffs.find(server, at(1))->until,
            at(0) + 1.1 * server_backoffs::max_backoff);
}

TEST(server_backoffs, are_removed_after_their_end) {
  server_backoffs backoffs;
  random_stream random = seeded();
  backoffs.note(server, absl::Seconds(3), at(0), random);
  backoffs.note({"t", 1}, absl::Seconds(5), at(0), random);
  backoffs.note({"u", 1}, absl::ZeroDuration(), at(0), random);
  EXPECT_EQ(backoffs.size(), 2U);
  backoffs.expire(at(3.5));
  EXPECT_EQ(backoffs.size(), 1U);
  backoffs.expire(at(6));
  EXPECT_TRUE(backoffs.empty());
}

// Guards against a use within any of the backoffs that a server asked for.
RC_GTEST_PROP(server_backoffs, cover_each_backoff_that_was_asked_for,
              (uint64_t seed)) {
  server_backoffs backoffs;
  random_stream random = seeded(seed);
  std::vector<server_backoff> asked;
  absl::Time now = at(0);
  for (int i = 0; i < 50; ++i) {
    now += absl::Seconds(random.unit());
    if (random.below(3) == 0) {
      const absl::Duration length = absl::Seconds(4 * random.unit());
      backoffs.note(server, length, now, random);
      asked.push_back({now, now + length});
    }
    if (random.below(4) == 0) backoffs.expire(now);
    const bool covered =
        std::any_of(asked.begin(), asked.end(),
                    [now](const auto& backoff) { return now < backoff.until; });
    if (covered) RC_ASSERT(backoffs.find(server, now).has_value());
    const bool over =
        std::all_of(asked.begin(), asked.end(), [now](const auto& backoff) {
          return now >= backoff.since + 1.1 * (backoff.until - backoff.since);
        });
    if (over) RC_ASSERT(!backoffs.find(server, now).has_value());
  }
}

// Guards against callers that return together when a backoff ends.
TEST(backoff_retry_delay, brings_callers_back_in_order_after_the_backoff) {
  const server_backoff backoff{at(10), at(14)};
  absl::Time previous = backoff.until;
  for (double refused = 10.1; refused < 14; refused += 0.1) {
    const absl::Time back =
        at(refused) + backoff_retry_delay(backoff, at(refused));
    EXPECT_GT(back, previous);
    previous = back;
  }
  EXPECT_LE(previous, at(15));
  EXPECT_EQ(backoff_retry_delay(backoff, at(10)), absl::Seconds(4));
}

}  // namespace
}  // namespace spokesail
