// What nodes know of servers when messages between them are lost.
//
// Seen: at 295 nodes, requests still reached plain servers four seconds after
// those had said that they leave. Whole data halls had stood at one revision of
// the servers for seconds, with a configuration that was under a second old.
// How it came about: the members of groups change without a pause. A node takes
// changes only if they follow on what it knows; once one message is lost, each
// later one leaves a gap and is dropped. Its relay held back for 0.5 s what it
// had told a moment ago, and counted that time from the last change of any
// kind, so that a change every 0.1 s put the repair off for good.
// Proof: the first test below, with one lost message, and the nodes' lines on
// gaps and on changes held back on a day of the same kind.
#include "spokesail/change-relay.h"

#include <gtest/gtest.h>

#include "news-fleet.h"

namespace spokesail {
namespace {

using test::news_fleet;

constexpr absl::Duration way_time = absl::Milliseconds(1);

/// Half of the shortest time for which a leaving server serves on where the
/// system is in use; the rest is for the store, and for requests on their way.
constexpr absl::Duration most_lag = absl::Seconds(1);

/// A link that loses the changes that are sent unasked within a time.
class gap_in_link {
 public:
  absl::Duration operator()(const news_fleet::message& m) {
    if (m.question || m.asked || m.to != 1) return way_time;
    ++this->unasked;
    return this->unasked == lost_one ? news_fleet::lost : way_time;
  }

 private:
  static constexpr int lost_one = 10;
  int unasked = 0;
};

TEST(change_relay, a_lost_message_is_made_up_for_while_changes_go_on) {
  // The holder of the lease, a hall's first node, and two below it.
  news_fleet fleet({0, 1, 1}, gap_in_link());
  fleet.run_for(absl::Seconds(1));
  fleet.change_for(absl::Seconds(10), absl::Milliseconds(100));
  EXPECT_LE(fleet.longest_lag(), most_lag);
  fleet.run_for(absl::Seconds(2));
  EXPECT_TRUE(fleet.agree());
}

TEST(change_relay, without_losses_each_change_is_sent_once_to_each) {
  constexpr int changes = 100;
  constexpr int followers = 3;
  news_fleet fleet({0, 1, 1}, [](const auto&) { return way_time; });
  fleet.run_for(absl::Seconds(1));
  fleet.change_for(changes * absl::Milliseconds(100), absl::Milliseconds(100));
  fleet.run_for(absl::Seconds(1));
  EXPECT_TRUE(fleet.agree());
  EXPECT_LE(fleet.longest_lag(), 3 * way_time);
  EXPECT_EQ(fleet.changes_sent(), changes * followers);
}

}  // namespace
}  // namespace spokesail
