// When a node changes its relay or reads the store itself.
#include "spokesail/staleness.h"

#include <gtest/gtest.h>

namespace spokesail {
namespace {

constexpr absl::Duration fresh = absl::Milliseconds(100);

staleness_bounds bounds() {
  return {absl::Seconds(4), absl::Seconds(5), absl::Seconds(3)};
}

/// A relay may answer, with a current configuration, while its list of servers
/// no longer changes. Without an age of the list, all nodes below it kept
/// sending requests to servers that had left.
TEST(staleness, relay_with_stale_servers_is_rejected) {
  EXPECT_FALSE(relay_stale({fresh, fresh}, bounds()));
  EXPECT_FALSE(relay_stale({fresh, absl::Seconds(1.9)}, bounds()));
  EXPECT_TRUE(relay_stale({fresh, absl::Seconds(2)}, bounds()));
}

TEST(staleness, relay_with_stale_configuration_is_rejected) {
  EXPECT_FALSE(relay_stale({absl::Seconds(2.4), fresh}, bounds()));
  EXPECT_TRUE(relay_stale({absl::Seconds(2.6), fresh}, bounds()));
}

/// The age of the node's own data counts, whatever its relay reports.
TEST(staleness, node_with_stale_servers_reads_the_store) {
  const relay_status confirmed = {true, false};
  EXPECT_FALSE(
      must_watch_store({fresh, absl::Seconds(1.7)}, bounds(), confirmed));
  EXPECT_TRUE(
      must_watch_store({fresh, absl::Seconds(1.9)}, bounds(), confirmed));
}

/// Relays read the store first and bring their followers up to date before
/// these would read it: a follower's list is one request period older than its
/// relay's.
TEST(staleness, relays_read_the_store_before_their_followers) {
  const snapshot_age known = {fresh, absl::Seconds(1.6)};
  EXPECT_TRUE(must_watch_store(known, bounds(), {true, true}));
  EXPECT_FALSE(must_watch_store(known, bounds(), {true, false}));
}

TEST(staleness, stale_configuration_counts_without_a_confirmed_relay) {
  const snapshot_age known = {absl::Seconds(2.45), fresh};
  EXPECT_TRUE(must_watch_store(known, bounds(), {false, false}));
  EXPECT_FALSE(must_watch_store(known, bounds(), {true, false}));
}

TEST(staleness, shorter_revoke_time_bounds_the_configuration) {
  staleness_bounds strict = bounds();
  strict.revoke_deadline = absl::Seconds(1);
  EXPECT_TRUE(relay_stale({absl::Milliseconds(600), fresh}, strict));
  EXPECT_TRUE(must_watch_store({absl::Milliseconds(600), fresh}, strict,
                               {false, false}));
}

TEST(staleness, evacuations_count_only_where_they_are_followed) {
  const snapshot_age known = {fresh, fresh, absl::Seconds(4)};
  EXPECT_FALSE(relay_stale(known, bounds()));
  EXPECT_FALSE(must_watch_store(known, bounds(), {true, false}));
  staleness_bounds followed = bounds();
  followed.evacuate_deadline = absl::Seconds(5);
  EXPECT_TRUE(relay_stale(known, followed));
  EXPECT_TRUE(must_watch_store(known, followed, {true, false}));
}

/// The followers of a holder whose watch hangs detect this, and read the store
/// within the bound.
TEST(staleness, stale_evacuations_are_read_within_the_bound) {
  staleness_bounds followed = bounds();
  followed.evacuate_deadline = absl::Seconds(5);
  const snapshot_age old = {fresh, fresh, absl::Seconds(3.3)};
  EXPECT_TRUE(relay_stale(old, followed));
  const snapshot_age older = {fresh, fresh, absl::Seconds(2.6)};
  EXPECT_FALSE(relay_stale(older, followed));
  EXPECT_TRUE(must_watch_store(older, followed, {true, true}));
  EXPECT_FALSE(must_watch_store(older, followed, {true, false}));
  // A relay that does not know the evacuations reports no age for them.
  EXPECT_TRUE(relay_stale({fresh, fresh}, followed));
}

/// Data that was never verified counts as infinitely old.
TEST(staleness, unknown_state_is_stale) {
  EXPECT_TRUE(servers_stale({}, bounds()));
  EXPECT_TRUE(must_watch_store({}, bounds(), {true, false}));
  EXPECT_FALSE(servers_stale({fresh, fresh}, bounds()));
}

}  // namespace
}  // namespace spokesail
