// A holder on a small host before a large fleet.
#include "spokesail/step-pacer.h"

#include <gtest/gtest.h>

namespace spokesail {
namespace {

const absl::Time began = absl::FromUnixSeconds(1000);
constexpr absl::Duration check_period = absl::Milliseconds(10);

/// Share of its time that a holder leaves to its callers and messages at the
/// least.
constexpr double time_for_callers = 0.75;

/// The outcome of ten seconds.
struct outcome {
  int steps = 0;
  absl::Duration busy;
};

/// Runs a controller whose steps take `cost`, with a change each `change_gap`.
outcome run(absl::Duration cost, absl::Duration change_gap) {
  step_pacer pacer;
  outcome out;
  step_pacer::inputs inputs;
  absl::Time next_change = began;
  for (absl::Time now = began; now < began + absl::Seconds(10);) {
    if (now >= next_change) {
      ++inputs.events;
      next_change += change_gap;
    }
    if (pacer.due(inputs, now)) {
      pacer.on_step(inputs, now, now + cost);
      now += cost;
      ++out.steps;
      out.busy += cost;
    }
    now += check_period;
  }
  return out;
}

/// A step took 16 ms of a core before 2,800 servers; on an eighth of a core it
/// takes eight times as long, and twice that before 5,600.
TEST(step_pacer, leaves_a_small_host_time_for_its_callers) {
  for (const int step_ms : {2, 16, 128, 256}) {
    const outcome result =
        run(absl::Milliseconds(step_ms), absl::Milliseconds(20));
    EXPECT_LE(result.busy, (1 - time_for_callers) * absl::Seconds(10.5))
        << step_ms;
    EXPECT_GE(result.steps, 9) << step_ms;
  }
}

TEST(step_pacer, follows_changes_at_once_where_steps_are_cheap) {
  const outcome result = run(absl::Milliseconds(1), absl::Milliseconds(40));
  EXPECT_GE(result.steps, 200);
}

TEST(step_pacer, idles_while_nothing_changes) {
  const outcome result = run(absl::Milliseconds(16), absl::Hours(1));
  EXPECT_LE(result.steps, 101);
  EXPECT_GE(result.steps, 80);
}

}  // namespace
}  // namespace spokesail
