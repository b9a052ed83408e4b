// Counting requests at a node, and their sums over halls.
#include "spokesail/demand-window.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include "spokesail/demand-table.h"

namespace spokesail {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

/// A node with a steady 30 requests a second.
TEST(demand_window, returns_rates_of_the_last_whole_seconds) {
  demand_window window;
  for (int i = 0; i < 30 * 5; ++i) {
    const absl::Time at = start + i * absl::Seconds(1) / 30;
    EXPECT_TRUE(window.count_arrival("lm", "large", {100, 20}, at));
    if (i % 3 == 0) window.count_refusal("lm", "large", at);
  }
  const auto rates = window.rates(start + absl::Milliseconds(4900));
  ASSERT_EQ(rates.size(), 1U);
  EXPECT_NEAR(rates[0].requests, 30, 0.5);
  EXPECT_NEAR(rates[0].prompt_tokens, 3000, 50);
  EXPECT_NEAR(rates[0].answer_tokens, 600, 10);
  EXPECT_NEAR(rates[0].refused, 10, 0.5);
}

/// A model without requests for a while is reported with zero rates, so that
/// the missing report is not taken for a lost one.
TEST(demand_window, reports_zero_rates_for_a_model_without_requests) {
  demand_window window;
  window.count_arrival("lm", "large", {100, 20}, start);
  const auto rates = window.rates(start + absl::Seconds(60));
  ASSERT_EQ(rates.size(), 1U);
  EXPECT_EQ(rates[0].requests, 0);
}

TEST(demand_window, limits_the_number_of_models) {
  demand_window window;
  const int most = static_cast<int>(demand_window::max_models);
  for (int i = 0; i < 2 * most; ++i) {
    const bool counted =
        window.count_arrival("lm", absl::StrCat("m", i), {}, start);
    EXPECT_EQ(counted, i < most);
  }
  EXPECT_EQ(window.rates(start).size(), demand_window::max_models);
}

std::vector<model_demand> demand_of(double requests) {
  return {{"lm", "large", requests, 100 * requests, 20 * requests, 0}};
}

TEST(demand_table, sums_up_nodes_and_halls) {
  demand_table table;
  table.update_node("n1", "h0", demand_of(10), start);
  table.update_node("n2", "h0", demand_of(20), start);
  table.update_hall("h1", demand_of(40), start + absl::Seconds(1));
  const absl::Time now = start + absl::Seconds(2);
  EXPECT_EQ(table.hall_sum("h0", demand_of(5), now), demand_of(35));
  const demand_view all = table.total(demand_of(5), now);
  EXPECT_EQ(all.models, demand_of(75));
  EXPECT_EQ(all.age, absl::Seconds(2));
  EXPECT_EQ(all.missing_halls, 0);
}

/// A hall is counted once, whether its nodes report or its top-ranked node
/// reports for all of them.
TEST(demand_table, reports_of_a_hall_and_of_its_nodes_replace_each_other) {
  demand_table table;
  table.update_node("n1", "h1", demand_of(10), start);
  table.update_hall("h1", demand_of(40), start);
  EXPECT_EQ(table.total({}, start).models, demand_of(40));
  table.update_node("n1", "h1", demand_of(10), start);
  EXPECT_EQ(table.total({}, start).models, demand_of(10));
}

/// A hall that is cut off from the others.
TEST(demand_table, a_silent_hall_is_missing_and_later_dropped) {
  demand_table table;
  table.update_hall("h1", demand_of(40), start);
  table.update_hall("h2", {}, start);
  const auto at = [&](int second) {
    return table.total(demand_of(1), start + absl::Seconds(second));
  };
  EXPECT_EQ(at(2).missing_halls, 0);
  EXPECT_EQ(at(4).missing_halls, 1);
  EXPECT_EQ(at(4).models, demand_of(1));
  EXPECT_EQ(at(31).missing_halls, 0);
}

}  // namespace
}  // namespace spokesail
