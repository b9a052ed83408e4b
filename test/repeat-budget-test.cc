// The budget of repeats, at one node and summed over a fleet.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "spokesail/fleet-size.h"
#include "spokesail/retry-budget.h"

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
/// When processes began that have run for long.
const absl::Time long_ago = absl::UnixEpoch();

/// Reserves a repeat and sends it.
bool take(retry_budget& budget, const std::string& service,
          std::optional<int> nodes, absl::Time now) {
  auto repeat = budget.reserve(service, nodes, now);
  if (repeat) repeat->spend(now);
  return repeat.has_value();
}

TEST(retry_budget, all_nodes_together_keep_the_limit) {
  const retry_limits limits{0.2, absl::Seconds(10), 90};
  constexpr int nodes = 9;
  int retries = 0;
  for (int n = 0; n < nodes; ++n) {
    retry_budget budget(limits, long_ago);
    for (int i = 0; i < 100; ++i) budget.count_request("lm", start);
    for (int i = 0; i < 1000; ++i) retries += take(budget, "lm", nodes, start);
  }
  EXPECT_LE(retries, 0.2 * nodes * 100 + 90);
  EXPECT_GT(retries, 0.6 * (0.2 * nodes * 100 + 90));
}

TEST(retry_budget, comes_back_with_time_and_is_kept_by_service) {
  retry_budget budget({0.2, absl::Seconds(10), 2}, long_ago);
  EXPECT_TRUE(take(budget, "lm", 1, start));
  EXPECT_FALSE(take(budget, "lm", 1, start));
  EXPECT_TRUE(take(budget, "other", 1, start));
  EXPECT_TRUE(take(budget, "lm", 1, start + absl::Seconds(11)));
}

// Guards against streams that pass the budget together and are sent later.
TEST(retry_budget, a_reservation_counts_until_it_is_given_back) {
  retry_budget budget({0, absl::Seconds(10), 2}, long_ago);
  {
    const auto held = budget.reserve("lm", 1, start);
    ASSERT_TRUE(held);
    EXPECT_FALSE(budget.reserve("lm", 1, start));
    EXPECT_EQ(budget.account("lm", 1, start).reserved, 1);
  }
  EXPECT_TRUE(budget.reserve("lm", 1, start));
}

TEST(retry_budget, a_repeat_counts_from_its_sending) {
  retry_budget budget({0, absl::Seconds(10), 2}, long_ago);
  auto repeat = budget.reserve("lm", 1, start);
  ASSERT_TRUE(repeat);
  repeat->spend(start + absl::Seconds(2));
  EXPECT_EQ(budget.account("lm", 1, start + absl::Seconds(11)).retries, 1);
  EXPECT_FALSE(budget.reserve("lm", 1, start + absl::Seconds(11)));
  EXPECT_TRUE(budget.reserve("lm", 1, start + absl::Seconds(13)));
}

// Guards against a process that spends again what the one before it spent.
TEST(retry_budget, a_process_that_starts_leaves_room_for_what_was_spent) {
  const retry_limits limits{0.2, absl::Seconds(10), 100};
  constexpr int requests = 1000;
  int retries = 0;
  for (const absl::Time started : {long_ago, start}) {
    retry_budget budget(limits, started);
    for (int i = 0; i < requests; ++i) budget.count_request("lm", start);
    for (int i = 0; i < requests; ++i) retries += take(budget, "lm", 1, start);
  }
  EXPECT_LE(retries, limits.ratio * requests + limits.slack);
  EXPECT_GT(retries, 0.9 * (limits.ratio * requests + limits.slack));
}

TEST(retry_budget, a_process_has_its_whole_part_after_a_window) {
  const retry_limits limits{0, absl::Seconds(10), 2};
  retry_budget budget(limits, start);
  EXPECT_FALSE(take(budget, "lm", 1, start + absl::Seconds(9)));
  EXPECT_TRUE(take(budget, "lm", 1, start + absl::Seconds(10)));
}

// Guards against a slack that is divided by too few nodes beside a cut.
TEST(retry_budget, spends_no_slack_among_nobody_knows_how_many) {
  const retry_limits limits{0.2, absl::Seconds(10), 100};
  retry_budget budget(limits, long_ago);
  EXPECT_FALSE(take(budget, "lm", std::nullopt, start));
  for (int i = 0; i < 10; ++i) budget.count_request("lm", start);
  EXPECT_TRUE(take(budget, "lm", std::nullopt, start));
  EXPECT_FALSE(take(budget, "lm", std::nullopt, start));
}

TEST(peak_fleet_size, is_not_known_before_the_first_count) {
  peak_fleet_size fleet;
  EXPECT_EQ(fleet.peak(start), std::nullopt);
}

// Guards against a slack that is divided by too few nodes beside a cut.
TEST(peak_fleet_size, does_not_fall_while_nodes_may_be_cut_off) {
  peak_fleet_size fleet;
  fleet.record(89, start);
  for (int s = 1; s <= 3600; ++s) fleet.record(30, start + absl::Seconds(s));
  EXPECT_EQ(fleet.peak(start + absl::Hours(1)), 89);
  fleet.record(120, start + absl::Hours(1));
  EXPECT_EQ(fleet.peak(start + absl::Hours(1)), 120);
}

TEST(peak_fleet_size, falls_to_what_lived_within_its_memory) {
  peak_fleet_size fleet;
  fleet.record(89, start);
  fleet.record(60, start + absl::Hours(1));
  fleet.record(30, start + absl::Hours(2));
  EXPECT_EQ(fleet.peak(start + absl::Hours(2.5)), 60);
  EXPECT_EQ(fleet.peak(start + absl::Hours(3.5)), 30);
  EXPECT_EQ(fleet.peak(start + absl::Hours(9)), 30);
}

}  // namespace
}  // namespace spokesail
