// Propagation of server changes when messages between nodes are lost.
//
// Guards against a follower that never catches up. A node applies changes only
// if they follow on its revision, so that after one lost message it drops each
// later one. Its relay resent changes only 0.5 s after the last change of any
// kind; with a change every 0.1 s it never resent. At 295 nodes, plain servers
// still received requests four seconds after they had announced that they
// leave, and whole data halls stayed at one revision of the servers for
// seconds.
#include "spokesail/change-relay.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <vector>

#include "relay-fleet.h"

namespace spokesail {
namespace {

using test::relay_fleet;

constexpr absl::Duration link_delay = absl::Milliseconds(1);

/// Half of the shortest time for which a leaving server still serves in
/// practice; the rest is for the store, and for requests in transit.
constexpr absl::Duration max_lag = absl::Seconds(1);

/// A link that loses one of the changes that are sent without a request.
class one_loss_link {
 public:
  absl::Duration operator()(const relay_fleet::message& m) {
    if (m.is_request || m.in_response || m.to != 1) return link_delay;
    ++this->pushed;
    return this->pushed == lost_index ? relay_fleet::lost : link_delay;
  }

 private:
  static constexpr int lost_index = 10;
  int pushed = 0;
};

TEST(change_relay, recovers_from_a_lost_message_during_changes) {
  // The lease holder, a hall's top-ranked node, and two below it.
  relay_fleet fleet({0, 1, 1}, one_loss_link());
  fleet.run_for(absl::Seconds(1));
  fleet.change_for(absl::Seconds(10), absl::Milliseconds(100));
  EXPECT_LE(fleet.longest_lag(), max_lag);
  fleet.run_for(absl::Seconds(2));
  EXPECT_TRUE(fleet.agree());
}

TEST(change_relay, sends_each_change_once_without_losses) {
  constexpr int changes = 100;
  constexpr int followers = 3;
  relay_fleet fleet({0, 1, 1}, [](const auto&) { return link_delay; });
  fleet.run_for(absl::Seconds(1));
  fleet.change_for(changes * absl::Milliseconds(100), absl::Milliseconds(100));
  fleet.run_for(absl::Seconds(1));
  EXPECT_TRUE(fleet.agree());
  EXPECT_LE(fleet.longest_lag(), 3 * link_delay);
  EXPECT_EQ(fleet.changes_sent(), changes * followers);
}

/// A data hall's tree: a remote holder, the hall's top-ranked node, relays
/// below it, and leaves below these.
std::vector<int> hall_tree(int nodes) {
  constexpr int relays = 3;
  std::vector<int> parents = {0};
  for (int i = 0; i < relays; ++i) parents.push_back(1);
  for (int i = 0; i + relays + 2 < nodes; ++i) {
    parents.push_back(2 + i % relays);
  }
  return parents;
}

/// A link that loses a share of all messages and delays the others.
class lossy_link {
 public:
  lossy_link(double loss, uint64_t seed)
      : loss(loss), random{std::mt19937_64(seed)} {}

  absl::Duration operator()(const relay_fleet::message&) {
    if (this->random.unit() < this->loss) return relay_fleet::lost;
    return link_delay * (1 + 4 * this->random.unit());
  }

 private:
  double loss;
  random_stream random;
};

/// How long nodes of a hall of 89 lacked changes, and how many messages it
/// took.
struct loss_result {
  /// 1 in 1,000 changes at a node was missed for longer.
  absl::Duration lag_p999;
  absl::Duration longest;
  /// How often a change was sent for each node that needed it.
  double sent = 0;
};

loss_result simulate_loss(double loss, absl::Duration gap) {
  constexpr int nodes = 89;
  constexpr int seeds = 3;
  constexpr int changes = 600;
  loss_result out;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    relay_fleet fleet(hall_tree(nodes), lossy_link(loss, seed));
    fleet.run_for(absl::Seconds(1));
    fleet.change_for(changes * gap, gap);
    fleet.run_for(absl::Seconds(3));
    EXPECT_TRUE(fleet.agree());
    out.lag_p999 = std::max(out.lag_p999, fleet.lag_quantile(0.999));
    out.longest = std::max(out.longest, fleet.longest_lag());
    out.sent += static_cast<double>(fleet.changes_sent()) /
                ((nodes - 1) * changes * seeds);
  }
  return out;
}

/// Links with occasional or heavy loss, under 500, 50 and 5 changes a second;
/// messages may be reordered.
TEST(change_relay, bounded_lag_on_lossy_links) {
  for (const auto gap : {absl::Milliseconds(2), absl::Milliseconds(20),
                         absl::Milliseconds(200)}) {
    const loss_result none = simulate_loss(0, gap);
    EXPECT_LE(none.longest, absl::Milliseconds(250)) << gap;
    EXPECT_LE(none.sent, 1.4) << gap;
    const loss_result some = simulate_loss(0.05, gap);
    EXPECT_LE(some.longest, max_lag) << gap;
    EXPECT_LE(some.sent, 1.4) << gap;
    const loss_result many = simulate_loss(0.2, gap);
    EXPECT_LE(many.lag_p999, 2 * max_lag) << gap;
    EXPECT_LE(many.sent, 1.8) << gap;
  }
}

/// Nodes that restart or change their relay, on links that lose and reorder
/// messages, agree within a second of the last fault. A node's relay always
/// precedes it, as in a hall's order.
RC_GTEST_PROP(change_relay, converges_after_any_faults, ()) {
  constexpr int nodes = 10;
  std::vector<int> parents;
  for (int i = 1; i < nodes; ++i) {
    parents.push_back(*rc::gen::inRange(0, i));
  }
  double loss = *rc::gen::inRange(0, 31) / 100.0;
  random_stream random{std::mt19937_64(*rc::gen::arbitrary<uint64_t>())};
  relay_fleet fleet(parents, [&](const relay_fleet::message&) {
    if (random.unit() < loss) return relay_fleet::lost;
    return link_delay * (1 + 9 * random.unit());
  });
  const int gap_ms = *rc::gen::inRange(2, 300);
  for (int step = 0; step < 20; ++step) {
    fleet.change_for(absl::Milliseconds(200), absl::Milliseconds(gap_ms));
    const int node = *rc::gen::inRange(1, nodes);
    const int fault = *rc::gen::inRange(0, 3);
    if (fault == 0) fleet.restart(node);
    if (fault == 1) fleet.set_relay(node, *rc::gen::inRange(0, node));
  }
  loss = 0;
  fleet.run_for(absl::Seconds(1));
  RC_ASSERT(fleet.agree());
}

/// A follower that restarts knows nothing, whatever was sent to it before.
TEST(change_relay, restarted_follower_gets_changes_at_once) {
  const absl::Time start = absl::FromUnixSeconds(1000);
  change_sender sender;
  EXPECT_EQ(sender.on_request("a", {7, 0}, start), 7);
  sender.on_sent("a", 7, 9, 0, start);
  EXPECT_EQ(sender.on_request("a", {0, 0}, start + link_delay), 0);
}

TEST(change_relay, does_not_resend_changes_in_transit) {
  const absl::Time start = absl::FromUnixSeconds(1000);
  change_sender sender;
  sender.on_request("a", {7, 0}, start);
  sender.on_sent("a", 7, 8, 0, start);
  sender.on_sent("a", 8, 9, 0, start + link_delay);
  const absl::Time later = start + 2 * link_delay;
  // It has received neither, the first, or only the second of them.
  EXPECT_EQ(sender.on_request("a", {7, 0}, later), 9);
  EXPECT_EQ(sender.on_request("a", {8, 0}, later), 9);
  sender.on_sent("a", 9, 10, 0, later);
  EXPECT_EQ(sender.on_request("a", {8, 9}, later), 8);
  sender.on_sent("a", 8, 10, 0, later);
  // What was sent again is in transit in turn.
  EXPECT_EQ(sender.on_request("a", {8, 9}, later + link_delay), 10);
}

/// A follower of an earlier version reports only its revision. Each message has
/// its own timeout, however many follow.
TEST(change_relay, resends_unconfirmed_changes) {
  const absl::Time start = absl::FromUnixSeconds(1000);
  change_sender sender;
  sender.on_request("a", {7, 0}, start);
  absl::Time now = start;
  for (int64_t revision = 8; revision < 14; ++revision) {
    sender.on_sent("a", revision - 1, revision, 0, now);
    now += absl::Milliseconds(100);
  }
  EXPECT_EQ(sender.on_request("a", {8, 0}, now - absl::Milliseconds(50)), 13);
  EXPECT_EQ(sender.on_request("a", {8, 0}, now), 8);
}

TEST(change_relay, relay_behind_its_follower_sends_only_newer_changes) {
  const absl::Time start = absl::FromUnixSeconds(1000);
  change_sender sender;
  EXPECT_EQ(sender.on_request("a", {9, 0}, start), 9);
  sender.on_sent("a", 9, 5, 3, start);
  EXPECT_TRUE(sender.pending_updates({8, 3}, start).empty());
  const std::vector<change_sender::pending_update> expected = {{"a", 9}};
  EXPECT_EQ(sender.pending_updates({10, 3}, start), expected);
}

TEST(change_relay, limits_out_of_turn_requests) {
  const absl::Time start = absl::FromUnixSeconds(1000);
  change_receiver receiver;
  EXPECT_TRUE(receiver.on_message(3, 0, 4));
  EXPECT_FALSE(receiver.request_out_of_turn(4, start));
  EXPECT_FALSE(receiver.on_message(6, 0, 4));
  EXPECT_EQ(receiver.position(4), (follower_position{4, 6}));
  EXPECT_TRUE(receiver.request_out_of_turn(4, start));
  EXPECT_FALSE(receiver.request_out_of_turn(4, start + link_delay));
  EXPECT_TRUE(receiver.request_out_of_turn(4, start + absl::Milliseconds(50)));
  // The missing changes have arrived.
  EXPECT_FALSE(receiver.request_out_of_turn(6, start + absl::Seconds(1)));
  EXPECT_EQ(receiver.position(6), (follower_position{6, 0}));
}

/// A data hall returns from a network partition: its first relay that is fresh
/// again sends an update to all nodes that still look for one.
TEST(change_relay, names_all_followers_that_asked_it_lately) {
  change_sender sender;
  const absl::Time now = absl::FromUnixSeconds(1000);
  sender.on_request("long_ago", {3, 0}, now - absl::Seconds(3));
  for (int i = 0; i < 32; ++i) {
    sender.on_request(absl::StrCat("n", i), {5, 0}, now - absl::Seconds(1));
  }
  EXPECT_TRUE(sender.pending_updates({0, 0}, now).empty());
  EXPECT_EQ(sender.all_followers(now).size(), 32U);
}

}  // namespace
}  // namespace spokesail
