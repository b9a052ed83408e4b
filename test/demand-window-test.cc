// What nodes count of their callers' requests, and the sums over halls.
#include "spokesail/demand-window.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include "spokesail/demand-table.h"

namespace spokesail {
namespace {

const absl::Time began = absl::FromUnixSeconds(1000);

/// The load of a node with a steady 30 requests a second.
TEST(demand_window, gives_the_rates_of_the_last_whole_seconds) {
  demand_window window;
  for (int i = 0; i < 30 * 5; ++i) {
    const absl::Time at = began + i * absl::Seconds(1) / 30;
    EXPECT_TRUE(window.count_arrival("lm", "large", {100, 20}, at));
    if (i % 3 == 0) window.count_refusal("lm", "large", at);
  }
  const auto rates = window.rates(began + absl::Milliseconds(4900));
  ASSERT_EQ(rates.size(), 1U);
  EXPECT_NEAR(rates[0].requests, 30, 0.5);
  EXPECT_NEAR(rates[0].prompt_tokens, 3000, 50);
  EXPECT_NEAR(rates[0].answer_tokens, 600, 10);
  EXPECT_NEAR(rates[0].refused, 10, 0.5);
}

/// A model whose callers have all gone is said to be asked for by nobody, so
/// that its silence is not taken for a lost word.
TEST(demand_window, says_that_a_model_is_no_longer_asked_for) {
  demand_window window;
  window.count_arrival("lm", "large", {100, 20}, began);
  const auto rates = window.rates(began + absl::Seconds(60));
  ASSERT_EQ(rates.size(), 1U);
  EXPECT_EQ(rates[0].requests, 0);
}

TEST(demand_window, counts_a_bounded_number_of_models) {
  demand_window window;
  const int most = static_cast<int>(demand_window::max_models);
  for (int i = 0; i < 2 * most; ++i) {
    const bool counted =
        window.count_arrival("lm", absl::StrCat("m", i), {}, began);
    EXPECT_EQ(counted, i < most);
  }
  EXPECT_EQ(window.rates(began).size(), demand_window::max_models);
}

std::vector<model_demand> word(double requests) {
  return {{"lm", "large", requests, 100 * requests, 20 * requests, 0}};
}

TEST(demand_table, sums_nodes_and_halls_up) {
  demand_table table;
  table.update_node("n1", "h0", word(10), began);
  table.update_node("n2", "h0", word(20), began);
  table.update_hall("h1", word(40), began + absl::Seconds(1));
  const absl::Time now = began + absl::Seconds(2);
  EXPECT_EQ(table.hall_sum("h0", word(5), now), word(35));
  const demand_view all = table.total(word(5), now);
  EXPECT_EQ(all.models, word(75));
  EXPECT_EQ(all.age, absl::Seconds(2));
  EXPECT_EQ(all.missing_halls, 0);
}

/// A hall counts once, whether its nodes speak for themselves or its first
/// node speaks for them.
TEST(demand_table, a_halls_word_replaces_its_nodes_words_and_they_it) {
  demand_table table;
  table.update_node("n1", "h1", word(10), began);
  table.update_hall("h1", word(40), began);
  EXPECT_EQ(table.total({}, began).models, word(40));
  table.update_node("n1", "h1", word(10), began);
  EXPECT_EQ(table.total({}, began).models, word(10));
}

/// A hall that is cut off.
TEST(demand_table, a_silent_hall_is_missing_and_later_gone) {
  demand_table table;
  table.update_hall("h1", word(40), began);
  table.update_hall("h2", {}, began);
  const auto at = [&](int second) {
    return table.total(word(1), began + absl::Seconds(second));
  };
  EXPECT_EQ(at(2).missing_halls, 0);
  EXPECT_EQ(at(4).missing_halls, 1);
  EXPECT_EQ(at(4).models, word(1));
  EXPECT_EQ(at(31).missing_halls, 0);
}

}  // namespace
}  // namespace spokesail
