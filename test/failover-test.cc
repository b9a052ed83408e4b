// When a running attempt is kept, and how the searches for others are paced.
#include "spokesail/failover.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch();
constexpr int most_searches = failover_pacer::max_searches;

/// Enough failed searches for the pacer to be at its slowest.
constexpr int many_failures = 16;

/// A chance in which all steps have succeeded.
failover_chance full_chance() { return {nullptr, true, true, true, false}; }

std::string reason(const failover_chance& chance) {
  const char* out = reason_to_keep(chance);
  return out == nullptr ? "" : out;
}

/// The first time from `now` at which a search may begin, which is begun;
/// infinite future if there is none within a pause.
absl::Time begin_search(failover_pacer& pacer, absl::Time now) {
  constexpr absl::Duration poll_interval = absl::Milliseconds(1);
  const int polls =
      static_cast<int>(2 * failover_pacer::max_delay / poll_interval);
  for (int i = 0; i <= polls; ++i) {
    if (pacer.try_begin(now)) return now;
    now += poll_interval;
  }
  return absl::InfiniteFuture();
}

/// Fails `count` searches one after the other, each as soon as it may begin.
/// Returns the time at which the last one failed; infinite future if one could
/// not begin.
absl::Time fail_searches(failover_pacer& pacer, int count, absl::Time now) {
  for (int i = 0; i < count; ++i) {
    now = begin_search(pacer, now);
    if (now == absl::InfiniteFuture()) return now;
    pacer.end(false, now);
  }
  return now;
}

/// How many searches may begin at once.
int count_begun(failover_pacer& pacer, absl::Time now) {
  int out = 0;
  while (out <= most_searches && pacer.try_begin(now)) ++out;
  return out;
}

// Guards against attempts that are kept although another one can be had.
TEST(reason_to_keep, is_none_if_the_other_attempt_can_be_had) {
  EXPECT_EQ(reason_to_keep(full_chance()), nullptr);
}

// Guards against attempts that are ended with a step missing.
TEST(reason_to_keep, each_missing_step_keeps_the_attempt) {
  failover_chance chance = full_chance();
  chance.obstacle = "route is not repeatable";
  EXPECT_EQ(reason(chance), "route is not repeatable");
  chance = full_chance();
  chance.granted = false;
  EXPECT_EQ(reason(chance), "no retry left in the budget");
  chance = full_chance();
  chance.placed = false;
  EXPECT_EQ(reason(chance), "no other server can take it");
  chance = full_chance();
  chance.confirmed = false;
  EXPECT_EQ(reason(chance), "the other server does not answer");
  chance = full_chance();
  chance.recovered = true;
  EXPECT_EQ(reason(chance), "its server has gone on");
}

// Guards against a log that names a later step than the one that failed.
TEST(reason_to_keep, names_the_first_missing_step) {
  failover_chance chance{"caller has left", false, false, false, true};
  EXPECT_EQ(reason(chance), "caller has left");
  chance.obstacle = nullptr;
  EXPECT_EQ(reason(chance), "no retry left in the budget");
  chance.granted = true;
  EXPECT_EQ(reason(chance), "no other server can take it");
  chance.placed = true;
  EXPECT_EQ(reason(chance), "the other server does not answer");
  chance.confirmed = true;
  EXPECT_EQ(reason(chance), "its server has gone on");
  chance.recovered = false;
  EXPECT_EQ(reason(chance), "");
}

// Guards against any combination of steps that ends an attempt too early.
TEST(reason_to_keep, only_a_full_chance_ends_an_attempt) {
  constexpr unsigned combinations = 1U << 5U;
  for (unsigned bits = 0; bits < combinations; ++bits) {
    const auto step = [bits](unsigned at) { return (bits >> at & 1U) != 0; };
    const failover_chance chance{step(0) ? "time is up" : nullptr, step(1),
                                 step(2), step(3), step(4)};
    EXPECT_EQ(reason_to_keep(chance) == nullptr, chance == full_chance())
        << bits;
  }
}

// Guards against searches that together load the servers with probes.
RC_GTEST_PROP(failover_pacer, bounds_the_searches_in_any_order, ()) {
  failover_pacer pacer;
  int running = 0;
  absl::Time now = start;
  absl::Time last_failure = absl::InfinitePast();
  const int steps = *rc::gen::inRange(1, 300);
  for (int i = 0; i < steps; ++i) {
    now += absl::Milliseconds(*rc::gen::inRange(0, 60));
    const int action = *rc::gen::inRange(0, 8);
    if (action < 4 || running == 0) {
      const bool too_early = now < last_failure + failover_pacer::min_delay;
      if (!pacer.try_begin(now)) continue;
      RC_ASSERT(!too_early);
      RC_ASSERT(++running <= most_searches);
      continue;
    }
    --running;
    if (action == 4) {
      pacer.end_without_probe();
    } else if (action == 5) {
      pacer.end(true, now);
      last_failure = absl::InfinitePast();
    } else {
      pacer.end(false, now);
      last_failure = now;
    }
  }
}

// Guards against a search that never runs again after others have failed.
RC_GTEST_PROP(failover_pacer, lets_one_begin_after_the_longest_delay, ()) {
  failover_pacer pacer;
  const int failures = *rc::gen::inRange(0, many_failures);
  const absl::Time failed = fail_searches(pacer, failures, start);
  RC_ASSERT(pacer.try_begin(failed + failover_pacer::max_delay));
}

TEST(failover_pacer, runs_some_searches_at_once_while_none_fails) {
  failover_pacer pacer;
  EXPECT_EQ(count_begun(pacer, start), most_searches);
  for (int i = 0; i < most_searches; ++i) pacer.end(true, start);
  EXPECT_EQ(count_begun(pacer, start), most_searches);
}

// Guards against many searches at once while no server answers.
TEST(failover_pacer, runs_one_search_at_a_time_after_failures) {
  failover_pacer pacer;
  const absl::Time failed = fail_searches(pacer, many_failures, start);
  EXPECT_EQ(count_begun(pacer, failed + failover_pacer::max_delay), 1);
}

// Guards against a constant load of probes by all nodes.
TEST(failover_pacer, pauses_grow_up_to_the_longest_delay) {
  failover_pacer pacer;
  absl::Time now = start;
  absl::Duration before = absl::ZeroDuration();
  for (int i = 0; i < many_failures; ++i) {
    const absl::Time failed = fail_searches(pacer, 1, now);
    const absl::Duration pause = failed - now;
    EXPECT_GE(pause, before);
    EXPECT_LE(pause, failover_pacer::max_delay);
    before = pause;
    now = failed;
  }
  EXPECT_EQ(before, failover_pacer::max_delay);
}

// Guards against a node that searches slowly after its servers have gone on.
TEST(failover_pacer, one_success_restores_the_pace) {
  failover_pacer pacer;
  absl::Time now = fail_searches(pacer, many_failures, start);
  now += failover_pacer::max_delay;
  ASSERT_TRUE(pacer.try_begin(now));
  pacer.end(true, now);
  EXPECT_EQ(count_begun(pacer, now), most_searches);
  for (int i = 0; i < most_searches; ++i) pacer.end_without_probe();
  const absl::Time failed = fail_searches(pacer, 1, now);
  EXPECT_TRUE(pacer.try_begin(failed + failover_pacer::min_delay));
}

// Guards against a pause that outlasts the success of a search beside it.
TEST(failover_pacer, one_success_ends_a_pause) {
  failover_pacer pacer;
  ASSERT_TRUE(pacer.try_begin(start));
  ASSERT_TRUE(pacer.try_begin(start));
  pacer.end(false, start);
  EXPECT_FALSE(pacer.try_begin(start));
  pacer.end(true, start);
  EXPECT_TRUE(pacer.try_begin(start));
}

// Guards against a pace that a search without a probe slows or restores.
TEST(failover_pacer, learns_nothing_from_a_search_without_a_probe) {
  failover_pacer pacer;
  ASSERT_TRUE(pacer.try_begin(start));
  pacer.end_without_probe();
  EXPECT_EQ(count_begun(pacer, start), most_searches);
  for (int i = 0; i < most_searches; ++i) pacer.end_without_probe();
  absl::Time now = fail_searches(pacer, many_failures, start);
  now += failover_pacer::max_delay;
  ASSERT_TRUE(pacer.try_begin(now));
  pacer.end_without_probe();
  EXPECT_EQ(count_begun(pacer, now), 1);
}

}  // namespace
}  // namespace spokesail
