// When a node changes its relay or reads the store itself.
#include "spokesail/staleness.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "spokesail/config-announcements.h"
#include "spokesail/hash.h"

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

/// A chain of relays below a node that watches the store, in virtual time. All
/// messages are delayed at random, and nodes are paused at random.
class relay_chain {
 public:
  relay_chain(int length, uint64_t seed)
      : nodes(static_cast<size_t>(length)), random{std::mt19937_64(seed)} {}

  /// Runs until `end`, with a key revoked at `revoked_at`. Returns the latest
  /// time at which a node accepted the key.
  absl::Time last_acceptance(absl::Time revoked_at, absl::Time end) {
    absl::Time latest = absl::InfinitePast();
    for (absl::Time now = began; now < end; now += step) {
      for (size_t i = 0; i < this->nodes.size(); ++i) {
        node& n = this->nodes[i];
        if (now < n.paused_until) continue;
        if (this->random.unit() < pause_probability) {
          n.paused_until = now + this->delay(max_pause);
        }
        this->receive(n, now);
        if (now >= n.next_request) this->request(i, now, revoked_at);
        const bool lists_key = n.revision == 0;
        if (lists_key && keys_trusted(now - n.verified_at, bounds())) {
          latest = now;
        }
      }
    }
    return latest;
  }

  static inline const absl::Time began = absl::FromUnixSeconds(1000);

 private:
  static constexpr absl::Duration step = absl::Milliseconds(10);
  static constexpr absl::Duration watch_wait = absl::Milliseconds(400);
  static constexpr absl::Duration period = absl::Milliseconds(180);
  static constexpr absl::Duration max_delay = absl::Milliseconds(900);
  static constexpr absl::Duration max_pause = absl::Seconds(2);
  static constexpr double pause_probability = 0.002;

  /// An answer under way.
  struct answer {
    absl::Time at;
    int revision = 0;
    absl::Time verified_at;
  };
  struct node {
    int revision = 0;
    config_announcements announced;
    absl::Time read_at = absl::InfiniteFuture();
    absl::Time verified_at = began;
    absl::Time next_request = began;
    absl::Time paused_until = began;
    std::vector<answer> answers;
  };

  absl::Duration delay(absl::Duration most) {
    // Usually short.
    const double share = this->random.unit();
    return most * share * share * share;
  }

  void receive(node& n, absl::Time now) {
    for (const answer& a : n.answers) {
      if (a.at > now) continue;
      n.announced.add(a.revision, a.verified_at);
      if (a.revision > n.revision && n.read_at == absl::InfiniteFuture()) {
        n.read_at = now + this->delay(max_delay);
      }
    }
    if (now >= n.read_at) n.revision = 1;
    n.verified_at =
        std::max(n.verified_at, n.announced.take_verified_at(n.revision));
    std::erase_if(n.answers, [&](const answer& a) { return a.at <= now; });
  }

  void request(size_t i, absl::Time now, absl::Time revoked_at) {
    node& n = this->nodes[i];
    const absl::Time arrival = now + this->delay(max_delay);
    n.next_request = now + period;
    answer out;
    if (i > 0) {
      // The relay's state as of the arrival is not simulated ahead; its state
      // now, with a larger age, is the worse case.
      const node& relay = this->nodes[i - 1];
      out.at = arrival + this->delay(max_delay);
      out.revision = relay.revision;
      out.verified_at = verified_by_relay(now, now - relay.verified_at);
    } else {
      const bool changed =
          n.revision == 0 && revoked_at <= arrival + watch_wait;
      const absl::Time answered =
          changed ? std::max(arrival, revoked_at) : arrival + watch_wait;
      out.at = answered + this->delay(max_delay);
      out.revision = n.revision == 1 || changed ? 1 : 0;
      out.verified_at = verified_by_watch(now, watch_wait, out.at, changed);
      n.next_request = out.at;
    }
    n.answers.push_back(out);
  }

  std::vector<node> nodes;
  random_stream random;
};

/// Callers in a data hall that is cut off are served with keys that were known
/// for as long as that is safe.
TEST(staleness, revoked_key_is_refused_in_time_whatever_delays_there_are) {
  const absl::Time revoked_at = relay_chain::began + absl::Seconds(3);
  const absl::Time deadline = revoked_at + bounds().revoke_deadline;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    relay_chain chain(1 + static_cast<int>(seed % 5), seed);
    EXPECT_LT(chain.last_acceptance(revoked_at, deadline + absl::Seconds(9)),
              deadline)
        << seed;
  }
}

TEST(staleness, watch_that_was_cut_proves_nothing_after_it_was_sent) {
  const absl::Time sent = absl::FromUnixSeconds(1000);
  const absl::Duration wait = absl::Milliseconds(400);
  EXPECT_EQ(verified_by_watch(sent, wait, sent + wait / 2, false), sent);
  EXPECT_EQ(verified_by_watch(sent, wait, sent + 2 * wait, false), sent + wait);
  EXPECT_EQ(verified_by_watch(sent, wait, sent + 2 * wait, true), sent);
}

TEST(staleness, keys_are_trusted_for_most_of_the_time_they_may_be) {
  EXPECT_TRUE(keys_trusted(absl::Seconds(4.4), bounds()));
  EXPECT_FALSE(keys_trusted(absl::Seconds(4.6), bounds()));
}

}  // namespace
}  // namespace spokesail
