// The retry budget, at one node and summed over a fleet.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "spokesail/fleet-size.h"
#include "spokesail/retry-budget.h"

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
/// Start time of processes that have run for longer than a window.
const absl::Time old_start = absl::UnixEpoch();

/// Reserves a retry and sends it.
bool send_retry(retry_budget& budget, const std::string& service,
                std::optional<int> nodes, absl::Time now) {
  auto retry = budget.reserve(service, nodes, now);
  if (retry) retry->spend(now);
  return retry.has_value();
}

TEST(retry_budget, all_nodes_together_stay_within_the_limit) {
  const retry_limits limits{0.2, absl::Seconds(10), 90};
  constexpr int nodes = 9;
  int retries = 0;
  for (int n = 0; n < nodes; ++n) {
    retry_budget budget(limits, old_start);
    for (int i = 0; i < 100; ++i) budget.count_request("lm", start);
    for (int i = 0; i < 1000; ++i)
      retries += send_retry(budget, "lm", nodes, start);
  }
  EXPECT_LE(retries, 0.2 * nodes * 100 + 90);
  EXPECT_GT(retries, 0.6 * (0.2 * nodes * 100 + 90));
}

TEST(retry_budget, refills_with_time_and_is_separate_by_service) {
  retry_budget budget({0.2, absl::Seconds(10), 2}, old_start);
  EXPECT_TRUE(send_retry(budget, "lm", 1, start));
  EXPECT_FALSE(send_retry(budget, "lm", 1, start));
  EXPECT_TRUE(send_retry(budget, "other", 1, start));
  EXPECT_TRUE(send_retry(budget, "lm", 1, start + absl::Seconds(11)));
}

// Guards against streams that pass the budget together and are retried later.
TEST(retry_budget, a_reservation_counts_until_it_is_released) {
  retry_budget budget({0, absl::Seconds(10), 2}, old_start);
  {
    const auto reservation = budget.reserve("lm", 1, start);
    ASSERT_TRUE(reservation);
    EXPECT_FALSE(budget.reserve("lm", 1, start));
    EXPECT_EQ(budget.usage("lm", 1, start).reserved, 1);
  }
  EXPECT_TRUE(budget.reserve("lm", 1, start));
}

TEST(retry_budget, a_retry_counts_from_when_it_is_sent) {
  retry_budget budget({0, absl::Seconds(10), 2}, old_start);
  auto retry = budget.reserve("lm", 1, start);
  ASSERT_TRUE(retry);
  retry->spend(start + absl::Seconds(2));
  EXPECT_EQ(budget.usage("lm", 1, start + absl::Seconds(11)).retries, 1);
  EXPECT_FALSE(budget.reserve("lm", 1, start + absl::Seconds(11)));
  EXPECT_TRUE(budget.reserve("lm", 1, start + absl::Seconds(13)));
}

// Guards against a process that uses again what its predecessor used.
TEST(retry_budget, a_new_process_allows_for_what_its_predecessor_used) {
  const retry_limits limits{0.2, absl::Seconds(10), 100};
  constexpr int requests = 1000;
  int retries = 0;
  for (const absl::Time started : {old_start, start}) {
    retry_budget budget(limits, started);
    for (int i = 0; i < requests; ++i) budget.count_request("lm", start);
    for (int i = 0; i < requests; ++i)
      retries += send_retry(budget, "lm", 1, start);
  }
  EXPECT_LE(retries, limits.ratio * requests + limits.slack);
  EXPECT_GT(retries, 0.9 * (limits.ratio * requests + limits.slack));
}

TEST(retry_budget, a_process_has_its_whole_share_after_a_window) {
  const retry_limits limits{0, absl::Seconds(10), 2};
  retry_budget budget(limits, start);
  EXPECT_FALSE(send_retry(budget, "lm", 1, start + absl::Seconds(9)));
  EXPECT_TRUE(send_retry(budget, "lm", 1, start + absl::Seconds(10)));
}

// Guards against dividing the slack by too few nodes in a network partition.
TEST(retry_budget, uses_no_slack_while_the_number_of_nodes_is_unknown) {
  const retry_limits limits{0.2, absl::Seconds(10), 100};
  retry_budget budget(limits, old_start);
  EXPECT_FALSE(send_retry(budget, "lm", std::nullopt, start));
  for (int i = 0; i < 10; ++i) budget.count_request("lm", start);
  EXPECT_TRUE(send_retry(budget, "lm", std::nullopt, start));
  EXPECT_FALSE(send_retry(budget, "lm", std::nullopt, start));
}

TEST(peak_fleet_size, is_not_known_before_the_first_count) {
  peak_fleet_size fleet;
  EXPECT_EQ(fleet.peak(start), std::nullopt);
}

// Guards against dividing the slack by too few nodes in a network partition.
TEST(peak_fleet_size, does_not_fall_while_nodes_may_be_partitioned) {
  peak_fleet_size fleet;
  fleet.record(89, start);
  for (int s = 1; s <= 3600; ++s) fleet.record(30, start + absl::Seconds(s));
  EXPECT_EQ(fleet.peak(start + absl::Hours(1)), 89);
  fleet.record(120, start + absl::Hours(1));
  EXPECT_EQ(fleet.peak(start + absl::Hours(1)), 120);
}

TEST(peak_fleet_size, falls_to_the_peak_within_its_retention) {
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
