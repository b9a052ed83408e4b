// Tests for the tracking of rests that servers ask for.
#include "spokesail/server-rests.h"

#include <gtest/gtest.h>

namespace spokesail {
namespace {

const server_instance server{"s", 1};

absl::Time at(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

TEST(server_rests, last_for_the_time_asked_for) {
  server_rests rests;
  EXPECT_FALSE(rests.find(server, at(0)));
  rests.note(server, absl::Seconds(3), at(1));
  EXPECT_TRUE(rests.find(server, at(1)));
  EXPECT_TRUE(rests.find(server, at(3.99)));
  EXPECT_FALSE(rests.find(server, at(4)));
}

TEST(server_rests, are_extended_but_not_shortened) {
  server_rests rests;
  rests.note(server, absl::Seconds(3), at(1));
  rests.note(server, absl::Seconds(1), at(2));
  EXPECT_EQ(rests.find(server, at(2))->until, at(4));
  rests.note(server, absl::ZeroDuration(), at(2.5));
  EXPECT_EQ(rests.find(server, at(3))->until, at(4));
  rests.note(server, absl::Seconds(3), at(3));
  EXPECT_EQ(rests.find(server, at(3)), (server_rest{at(1), at(6)}));
}

TEST(server_rests, begin_anew_after_their_end) {
  server_rests rests;
  rests.note(server, absl::Seconds(1), at(0));
  rests.note(server, absl::Seconds(1), at(5));
  EXPECT_EQ(rests.find(server, at(5)), (server_rest{at(5), at(6)}));
}

TEST(server_rests, do_not_apply_to_a_new_incarnation) {
  server_rests rests;
  rests.note(server, absl::Seconds(3), at(0));
  EXPECT_FALSE(rests.find({"s", 2}, at(1)));
}

TEST(server_rests, have_a_maximum) {
  server_rests rests;
  rests.note(server, absl::InfiniteDuration(), at(0));
  EXPECT_EQ(rests.find(server, at(1))->until, at(0) + server_rests::max_rest);
}

TEST(server_rests, are_removed_after_their_end) {
  server_rests rests;
  rests.note(server, absl::Seconds(3), at(0));
  rests.note({"t", 1}, absl::Seconds(5), at(0));
  rests.note({"u", 1}, absl::ZeroDuration(), at(0));
  EXPECT_EQ(rests.size(), 2U);
  rests.expire(at(3));
  EXPECT_EQ(rests.size(), 1U);
  rests.expire(at(5));
  EXPECT_TRUE(rests.empty());
}

}  // namespace
}  // namespace spokesail
