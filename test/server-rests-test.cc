// Tests for the tracking of rests that servers ask for.
#include "spokesail/server-rests.h"

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

TEST(server_rests, last_at_least_as_long_as_asked_for) {
  server_rests rests;
  random_stream random = seeded();
  EXPECT_FALSE(rests.find(server, at(0)));
  rests.note(server, absl::Seconds(3), at(1), random);
  EXPECT_TRUE(rests.find(server, at(1)));
  EXPECT_TRUE(rests.find(server, at(3.999)));
  EXPECT_FALSE(rests.find(server, at(4.301)));
}

// Guards against a shorter rest that ends a longer one.
TEST(server_rests, are_extended_but_not_shortened) {
  server_rests rests;
  random_stream random = seeded();
  rests.note(server, absl::Seconds(3), at(1), random);
  const absl::Time until = rests.find(server, at(1))->until;
  rests.note(server, absl::Seconds(1), at(2), random);
  rests.note(server, absl::ZeroDuration(), at(2.5), random);
  EXPECT_EQ(rests.find(server, at(3)), (server_rest{at(1), until}));
  rests.note(server, absl::Seconds(3), at(3), random);
  EXPECT_EQ(rests.find(server, at(3))->since, at(1));
  EXPECT_GE(rests.find(server, at(3))->until, at(6));
}

TEST(server_rests, begin_anew_after_their_end) {
  server_rests rests;
  random_stream random = seeded();
  rests.note(server, absl::Seconds(1), at(0), random);
  rests.note(server, absl::Seconds(1), at(5), random);
  EXPECT_EQ(rests.find(server, at(5))->since, at(5));
}

TEST(server_rests, do_not_apply_to_a_new_incarnation) {
  server_rests rests;
  random_stream random = seeded();
  rests.note(server, absl::Seconds(3), at(0), random);
  EXPECT_FALSE(rests.find({"s", 2}, at(1)));
}

// Guards against servers that are lost for good because of one answer.
TEST(server_rests, have_a_maximum) {
  server_rests rests;
  random_stream random = seeded();
  rests.note(server, absl::InfiniteDuration(), at(0), random);
  EXPECT_LE(rests.find(server, at(1))->until,
            at(0) + 1.1 * server_rests::max_rest);
}

TEST(server_rests, are_removed_after_their_end) {
  server_rests rests;
  random_stream random = seeded();
  rests.note(server, absl::Seconds(3), at(0), random);
  rests.note({"t", 1}, absl::Seconds(5), at(0), random);
  rests.note({"u", 1}, absl::ZeroDuration(), at(0), random);
  EXPECT_EQ(rests.size(), 2U);
  rests.expire(at(3.5));
  EXPECT_EQ(rests.size(), 1U);
  rests.expire(at(6));
  EXPECT_TRUE(rests.empty());
}

// Guards against a use within any of the rests that a server asked for.
RC_GTEST_PROP(server_rests, cover_each_rest_that_was_asked_for,
              (uint64_t seed)) {
  server_rests rests;
  random_stream random = seeded(seed);
  std::vector<server_rest> asked;
  absl::Time now = at(0);
  for (int i = 0; i < 50; ++i) {
    now += absl::Seconds(random.unit());
    if (random.below(3) == 0) {
      const absl::Duration length = absl::Seconds(4 * random.unit());
      rests.note(server, length, now, random);
      asked.push_back({now, now + length});
    }
    if (random.below(4) == 0) rests.expire(now);
    const bool covered =
        std::any_of(asked.begin(), asked.end(),
                    [now](const auto& rest) { return now < rest.until; });
    if (covered) RC_ASSERT(rests.find(server, now).has_value());
    const bool over =
        std::all_of(asked.begin(), asked.end(), [now](const auto& rest) {
          return now >= rest.since + 1.1 * (rest.until - rest.since);
        });
    if (over) RC_ASSERT(!rests.find(server, now).has_value());
  }
}

// Guards against callers that return together when a rest ends.
TEST(rest_retry_delay, brings_callers_back_in_order_after_the_rest) {
  const server_rest rest{at(10), at(14)};
  absl::Time previous = rest.until;
  for (double refused = 10.1; refused < 14; refused += 0.1) {
    const absl::Time back = at(refused) + rest_retry_delay(rest, at(refused));
    EXPECT_GT(back, previous);
    previous = back;
  }
  EXPECT_LE(previous, at(15));
  EXPECT_EQ(rest_retry_delay(rest, at(10)), absl::Seconds(4));
}

}  // namespace
}  // namespace spokesail
