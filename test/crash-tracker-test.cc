#include "spokesail/crash-tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch();
const request_identity guilty{1, 10};
const server_crash begun{run_progress::start, true, true};
const server_crash waiting{run_progress::start, false, true};
const request_identity innocent{1, 11};

uint64_t server(int i) { return incarnation_hash("s" + std::to_string(i), 1); }

TEST(request_identity, parts_do_not_run_into_each_other) {
  EXPECT_NE(identify_request("w", "GET", "h", "/ab", "c"),
            identify_request("w", "GET", "h", "/a", "bc"));
  EXPECT_NE(identify_request("w", "GET", "h", "/a", ""),
            identify_request("v", "GET", "h", "/a", ""));
}

TEST(crash_tracker, three_servers_that_end_under_a_request_quarantine_it) {
  crash_tracker ledger;
  for (int i = 0; i < 2; ++i) {
    ledger.add_crash(guilty, server(i), begun, start);
  }
  EXPECT_FALSE(ledger.quarantined(guilty));
  ledger.add_crash(guilty, server(1), begun, start);
  EXPECT_FALSE(ledger.quarantined(guilty)) << "one server counted twice";
  ledger.add_crash(guilty, server(2), begun, start);
  EXPECT_TRUE(ledger.quarantined(guilty));
}

TEST(crash_tracker, one_that_may_have_waited_there_needs_four) {
  crash_tracker ledger;
  for (int i = 0; i < 3; ++i) {
    ledger.add_crash(guilty, server(i), waiting, start);
  }
  EXPECT_FALSE(ledger.quarantined(guilty));
  ledger.add_crash(guilty, server(3), waiting, start);
  EXPECT_TRUE(ledger.quarantined(guilty));
}

TEST(crash_tracker, servers_that_end_at_the_same_moment_prove_nothing) {
  crash_tracker ledger;
  for (int i = 0; i < 8; ++i) {
    ledger.add_crash(innocent, server(i), {run_progress::start, true, false},
                     start);
  }
  EXPECT_FALSE(ledger.quarantined(innocent));
}

TEST(crash_tracker, two_guilty_ones_do_not_explain_each_other) {
  crash_tracker ledger;
  const request_identity second{2, 20};
  for (int i = 0; i < 4; ++i) {
    ledger.add_crash(guilty, server(i), begun, start);
  }
  for (int i = 0; i < 3; ++i) {
    ledger.add_crash(second, server(i), begun, start);
  }
  EXPECT_TRUE(ledger.quarantined(guilty));
  EXPECT_TRUE(ledger.quarantined(second));
}

TEST(crash_tracker, the_same_server_started_again_counts_anew) {
  EXPECT_NE(incarnation_hash("s", 1), incarnation_hash("s", 2));
}

TEST(crash_tracker, a_run_that_gets_further_clears_a_request) {
  crash_tracker ledger;
  ledger.add_crash(innocent, server(0), begun, start);
  ledger.add_progress(innocent, 4, start);
  ledger.add_crash(innocent, server(1), server_crash{4, true, true}, start);
  ledger.add_progress(innocent, 9, start);
  ledger.add_crash(innocent, server(2), server_crash{9, true, true}, start);
  EXPECT_EQ(ledger.crash_count(innocent), 1U);
  EXPECT_FALSE(ledger.quarantined(innocent));
}

TEST(crash_tracker, one_that_always_ends_servers_at_the_same_event_is_not) {
  crash_tracker ledger;
  for (int i = 0; i < 3; ++i)
    ledger.add_crash(guilty, server(i), server_crash{7, true, true}, start);
  EXPECT_TRUE(ledger.quarantined(guilty));
}

TEST(crash_tracker, a_whole_answer_lifts_a_quarantine) {
  crash_tracker ledger;
  for (int i = 0; i < 3; ++i) {
    ledger.add_crash(innocent, server(i), begun, start);
  }
  ASSERT_TRUE(ledger.quarantined(innocent));
  ledger.add_progress(innocent, run_progress::completed, start);
  EXPECT_FALSE(ledger.quarantined(innocent));
  EXPECT_TRUE(ledger.requests_over_threshold().empty());
}

TEST(crash_tracker, one_that_waited_beside_the_guilty_one_is_not_blamed) {
  crash_tracker ledger;
  for (int i = 0; i < 5; ++i) {
    ledger.add_crash(guilty, server(i), begun, start);
  }
  for (int i = 0; i < 4; ++i) {
    ledger.add_crash(innocent, server(i), waiting, start);
  }
  EXPECT_TRUE(ledger.quarantined(guilty));
  EXPECT_FALSE(ledger.quarantined(innocent));
}

TEST(crash_tracker, forgets_what_is_old_and_takes_none_of_it_from_others) {
  crash_tracker ledger;
  for (int i = 0; i < 3; ++i) {
    ledger.add_crash(guilty, server(i), begun, start);
  }
  const auto said = ledger.update_for(guilty, start + crash_tracker::retention);
  ASSERT_TRUE(said);
  ledger.expire(start + crash_tracker::retention);
  EXPECT_TRUE(ledger.empty());
  ledger.merge_update(*said, start + crash_tracker::retention);
  EXPECT_TRUE(ledger.empty());
  EXPECT_FALSE(ledger.quarantined(guilty));
}

TEST(crash_tracker, a_workspace_cannot_push_out_what_is_known_of_others) {
  crash_tracker ledger;
  for (int i = 0; i < 3; ++i) {
    ledger.add_crash(guilty, server(i), begun, start);
  }
  const request_identity other{2, 1};
  for (int i = 0; i < 3; ++i) {
    ledger.add_crash(other, server(i), begun, start);
  }
  for (uint64_t i = 100; i < 3 * crash_tracker::max_requests; ++i) {
    ledger.add_crash({1, i}, server(0), begun, start + absl::Seconds(1));
  }
  EXPECT_LE(ledger.size(), crash_tracker::max_requests);
  EXPECT_TRUE(ledger.quarantined(guilty));
  EXPECT_TRUE(ledger.quarantined(other));
}

TEST(crash_tracker, many_workspaces_cannot_fill_it_beyond_its_bound) {
  crash_tracker ledger;
  for (uint64_t i = 0; i < 2 * crash_tracker::max_requests; ++i) {
    ledger.add_crash({i % 100, i}, server(0), begun, start);
  }
  EXPECT_LE(ledger.size(), crash_tracker::max_requests);
}

TEST(crash_tracker, one_told_less_than_is_known_is_told_back) {
  crash_tracker ledger;
  for (int i = 0; i < 3; ++i) {
    ledger.add_crash(innocent, server(i), begun, start);
  }
  const auto before = ledger.update_for(innocent, start);
  ledger.add_progress(innocent, run_progress::completed, start);
  ledger.take_changes();
  ledger.merge_update(*before, start);
  EXPECT_EQ(ledger.take_changes(), std::vector<request_identity>{innocent});
  EXPECT_FALSE(ledger.quarantined(innocent));
}

/// Evidence with fewer servers than are kept, so that none is left out.
rc::Gen<crash_evidence> any_evidence() {
  const auto crash =
      rc::gen::tuple(rc::gen::inRange<uint64_t>(0, crash_evidence::max_crashes),
                     rc::gen::inRange<int64_t>(-1, 6),
                     rc::gen::arbitrary<bool>(), rc::gen::arbitrary<bool>());
  return rc::gen::map(
      rc::gen::pair(
          rc::gen::container<
              std::vector<std::tuple<uint64_t, int64_t, bool, bool>>>(crash),
          rc::gen::element<int64_t>(-1, 0, 2, 5, run_progress::completed)),
      [](const auto& parts) {
        crash_evidence out;
        out.passed = parts.second;
        for (const auto& [server, point, begun, repeated] : parts.first) {
          out = merge(
              out, {{{server, {point, begun, repeated}}}, run_progress::start});
        }
        return out;
      });
}

RC_GTEST_PROP(crash_evidence, merges_in_any_order_to_the_same, ()) {
  const auto a = *any_evidence();
  const auto b = *any_evidence();
  const auto c = *any_evidence();
  RC_ASSERT(merge(a, b) == merge(b, a));
  RC_ASSERT(merge(merge(a, b), c) == merge(a, merge(b, c)));
  RC_ASSERT(merge(merge(a, b), b) == merge(a, b));
}

}  // namespace
}  // namespace spokesail
