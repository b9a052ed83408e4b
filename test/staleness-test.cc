// When a node changes its relay or reads the store itself.
#include "spokesail/staleness.h"

#include <gtest/gtest.h>

namespace spokesail {
namespace {

constexpr absl::Duration young = absl::Milliseconds(100);

staleness_bounds bounds() {
  return {absl::Seconds(4), absl::Seconds(5), absl::Seconds(3)};
}

/// A relay may answer, with a current configuration, while its list of servers
/// no longer changes. Without an age of the list, all nodes below it kept
/// sending requests to servers that had left.
TEST(news_age, a_relay_whose_servers_stand_still_is_passed_over) {
  EXPECT_FALSE(relay_stale({young, young}, bounds()));
  EXPECT_FALSE(relay_stale({young, absl::Seconds(1.9)}, bounds()));
  EXPECT_TRUE(relay_stale({young, absl::Seconds(2)}, bounds()));
}

TEST(news_age, a_relay_with_an_old_configuration_is_passed_over) {
  EXPECT_FALSE(relay_stale({absl::Seconds(2.4), young}, bounds()));
  EXPECT_TRUE(relay_stale({absl::Seconds(2.6), young}, bounds()));
}

/// The node's own knowledge counts, whatever its relay reports.
TEST(news_age, a_node_whose_servers_stand_still_reads_the_store) {
  const relay_status proved = {true, false};
  EXPECT_FALSE(must_watch_store({young, absl::Seconds(1.7)}, bounds(), proved));
  EXPECT_TRUE(must_watch_store({young, absl::Seconds(1.9)}, bounds(), proved));
}

/// Relays read the store first and bring their followers up to date before
/// these would read it: a follower's list is one request period older than its
/// relay's.
TEST(news_age, those_that_others_hear_from_read_the_store_first) {
  const news_age known = {young, absl::Seconds(1.6)};
  EXPECT_TRUE(must_watch_store(known, bounds(), {true, true}));
  EXPECT_FALSE(must_watch_store(known, bounds(), {true, false}));
}

TEST(news_age, an_old_configuration_counts_without_a_relay_that_proved_itself) {
  const news_age known = {absl::Seconds(2.45), young};
  EXPECT_TRUE(must_watch_store(known, bounds(), {false, false}));
  EXPECT_FALSE(must_watch_store(known, bounds(), {true, false}));
}

TEST(news_age, keys_bound_the_configuration_where_they_are_taken_away_sooner) {
  staleness_bounds strict = bounds();
  strict.revoke_deadline = absl::Seconds(1);
  EXPECT_TRUE(relay_stale({absl::Milliseconds(600), young}, strict));
  EXPECT_TRUE(must_watch_store({absl::Milliseconds(600), young}, strict,
                               {false, false}));
}

TEST(news_age, evacuations_count_only_where_they_are_followed) {
  const news_age known = {young, young, absl::Seconds(4)};
  EXPECT_FALSE(relay_stale(known, bounds()));
  EXPECT_FALSE(must_watch_store(known, bounds(), {true, false}));
  staleness_bounds followed = bounds();
  followed.evacuate_deadline = absl::Seconds(5);
  EXPECT_TRUE(relay_stale(known, followed));
  EXPECT_TRUE(must_watch_store(known, followed, {true, false}));
}

/// The followers of a holder whose watch hangs detect this, and read the store
/// within the bound.
TEST(news_age, old_evacuations_are_looked_for_before_the_bound) {
  staleness_bounds followed = bounds();
  followed.evacuate_deadline = absl::Seconds(5);
  const news_age old = {young, young, absl::Seconds(3.3)};
  EXPECT_TRUE(relay_stale(old, followed));
  const news_age older = {young, young, absl::Seconds(2.6)};
  EXPECT_FALSE(relay_stale(older, followed));
  EXPECT_TRUE(must_watch_store(older, followed, {true, true}));
  EXPECT_FALSE(must_watch_store(older, followed, {true, false}));
  // A relay that does not know the evacuations reports no age for them.
  EXPECT_TRUE(relay_stale({young, young}, followed));
}

/// Knowledge that was never confirmed counts as infinitely old.
TEST(news_age, a_node_that_knows_nothing_is_late) {
  EXPECT_TRUE(servers_stale({}, bounds()));
  EXPECT_TRUE(must_watch_store({}, bounds(), {true, false}));
  EXPECT_FALSE(servers_stale({young, young}, bounds()));
}

}  // namespace
}  // namespace spokesail
