// The need of models, the best allocation, and when a change is worthwhile.
#include "spokesail/model-shares.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>

namespace spokesail {
namespace {

engine_profile two_sizes(int large, int small) {
  engine_profile engine;
  engine.slots = 10;
  engine.step_ms = 5;
  engine.step_ms_per_request = 0.5;
  engine.prefill_tokens_per_ms = 50;
  engine.models = {
      {"large", large, 0.5, 1, absl::Seconds(16), absl::Milliseconds(1600)},
      {"small", small, 0.5, 0.5, absl::Seconds(12), absl::Milliseconds(1100)}};
  return engine;
}

TEST(needed_groups, counts_the_engine_time_of_prefill_and_of_a_full_batch) {
  const engine_profile engine = two_sizes(8, 4);
  // Ten requests a second read for 20 ms each and write 100 tokens of 1 ms.
  const model_demand demand{"lm", "large", 10, 10000, 1000, 0};
  EXPECT_NEAR(needed_groups(engine, engine.models[0], demand), 1.2, 1e-9);
  EXPECT_NEAR(needed_groups(engine, engine.models[1], demand), 0.6, 1e-9);
  EXPECT_EQ(needed_groups(engine, engine.models[0], {}), 0);
}

TEST(needed_groups, discounts_refused_requests) {
  const engine_profile engine = two_sizes(8, 4);
  const model_demand demand{"lm", "large", 10, 10000, 1000, 0};
  model_demand refused = demand;
  refused.refused = 8;
  const model_profile& model = engine.models[0];
  EXPECT_NEAR(needed_groups(engine, model, refused),
              0.6 * needed_groups(engine, model, demand), 1e-9);
}

RC_GTEST_PROP(predicted_slowdown, decreases_with_each_group, (uint16_t load)) {
  const double need = 0.01 + load / 1000.0;
  for (int groups = 0; groups < 80; ++groups) {
    RC_ASSERT(predicted_slowdown(need, groups) >
              predicted_slowdown(need, groups + 1));
  }
}

/// Domains of 19 or 18 hosts, three of them kept as spares.
TEST(groups_fit, accounts_for_hosts_that_no_group_can_use) {
  const engine_profile of_8_and_4 = two_sizes(8, 4);
  EXPECT_TRUE(groups_fit(of_8_and_4, {{"large", 1}, {"small", 2}}, {{16}, 1}));
  EXPECT_FALSE(groups_fit(of_8_and_4, {{"large", 1}, {"small", 2}}, {{15}, 1}));
  EXPECT_TRUE(
      groups_fit(of_8_and_4, {{"large", 2}, {"small", 2}}, {{15, 15}, 1}));
  // 24 hosts in all, but a large group fits into no domain.
  EXPECT_FALSE(groups_fit(of_8_and_4, {{"large", 1}}, {{7, 7, 7, 3}, 1}));
  const engine_profile of_8_and_2 = two_sizes(8, 2);
  EXPECT_TRUE(groups_fit(of_8_and_2, {{"large", 1}, {"small", 3}}, {{15}, 1}));
}

TEST(allocate_hosts, balances_the_utilization_of_models) {
  const engine_profile engine = two_sizes(8, 4);
  const host_capacity room{std::vector<int>(9, 16), 3};
  const count_by_model balanced = {{"large", 9}, {"small", 18}};
  EXPECT_EQ(allocate_hosts(engine, room, {{"large", 5}, {"small", 10}}),
            balanced);
  // The hosts needed are in proportion 35 to 56.
  const count_by_model uneven = {{"large", 7}, {"small", 22}};
  EXPECT_EQ(allocate_hosts(engine, room, {{"large", 4.4}, {"small", 14}}),
            uneven);
}

/// For any demand and any domains, the allocation fits and keeps the minimums.
RC_GTEST_PROP(allocate_hosts, fits_and_keeps_minimums,
              (uint16_t large, uint16_t small)) {
  const engine_profile engine = two_sizes(8, *rc::gen::element(2, 4));
  host_capacity room;
  room.halls = *rc::gen::inRange(1, 4);
  for (int i = 0; i < room.halls; ++i) {
    room.domains.push_back(*rc::gen::inRange(12, 34));
  }
  const auto counts = allocate_hosts(
      engine, room, {{"large", large / 2000.0}, {"small", small / 2000.0}});
  RC_ASSERT(groups_fit(engine, counts, room));
  const int floor = std::min(room.halls, 2);
  RC_ASSERT(counts.at("large") >= floor);
  RC_ASSERT(counts.at("small") >= floor);
}

const host_capacity nine_domains{std::vector<int>(9, 16), 3};
const count_by_model configured = {{"large", 9}, {"small", 18}};

/// Adds one second after another; returns that of the first change, or -1.
int first_change(model_shares& shares, int seconds,
                 const std::function<need_by_model(int)>& need_at) {
  const engine_profile engine = two_sizes(8, 4);
  const absl::Time start = absl::FromUnixSeconds(1000);
  for (int i = 0; i < seconds; ++i) {
    if (shares.add_sample(engine, nine_domains, configured, need_at(i),
                          start + absl::Seconds(i))) {
      return i;
    }
  }
  return -1;
}

TEST(model_shares, a_change_requires_evidence_for_the_time_of_its_loads) {
  model_shares to_small;
  const auto for_small = [](int) {
    return need_by_model{{"large", 3}, {"small", 16}};
  };
  EXPECT_EQ(first_change(to_small, 60, for_small), 16);
  EXPECT_GT(to_small.share(two_sizes(8, 4).models[1]), 0.6);
  model_shares to_large;
  const auto for_large = [](int) {
    return need_by_model{{"large", 8}, {"small", 5}};
  };
  EXPECT_EQ(first_change(to_large, 60, for_large), 20);
}

TEST(model_shares, one_second_without_gain_prevents_a_change) {
  model_shares shares;
  const auto need = [](int second) {
    const bool balanced = second % 12 == 0;
    return need_by_model{{"large", balanced ? 5.0 : 3.0},
                         {"small", balanced ? 10.0 : 16.0}};
  };
  EXPECT_EQ(first_change(shares, 120, need), -1);
}

TEST(model_shares, nothing_changes_while_groups_are_nearly_idle) {
  model_shares shares;
  const auto need = [](int) {
    return need_by_model{{"large", 0.1}, {"small", 0.9}};
  };
  EXPECT_EQ(first_change(shares, 120, need), -1);
  EXPECT_EQ(shares.share(two_sizes(8, 4).models[0]), 0.5);
}

/// Operators configure other shares, or remove a model.
TEST(model_shares, new_configured_shares_replace_those_in_force) {
  for (const bool fewer : {false, true}) {
    engine_profile engine = two_sizes(8, 4);
    model_shares shares;
    shares.restore_share("large", 0.2);
    shares.restore_share("small", 0.8);
    shares.sync_configured_shares(engine);
    EXPECT_EQ(shares.share(engine.models[0]), 0.2);
    engine.models[0].share = 0.6;
    if (fewer) engine.models.pop_back();
    shares.sync_configured_shares(engine);
    EXPECT_EQ(shares.share(engine.models[0]), 0.6);
    EXPECT_TRUE(shares.changed().empty());
  }
}

}  // namespace
}  // namespace spokesail
