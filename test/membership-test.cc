#include "spokesail/membership.h"

#include <gtest/gtest.h>

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const absl::Duration clock_skew = absl::Hours(5);  // the peer's clock

heartbeat heartbeat_at(int64_t sequence, absl::Time sent, uint64_t boot = 1) {
  heartbeat b;
  b.from = {"b", "hall", "peer-b", "http-b"};
  b.boot = boot;
  b.sequence = sequence;
  b.sent = sent + clock_skew;
  return b;
}

heartbeat_ack ack_at(absl::Time taken) {
  heartbeat_ack ack;
  ack.from = {"b", "hall", "peer-b", "http-b"};
  ack.boot = 1;
  ack.taken = taken + clock_skew;
  return ack;
}

TEST(membership, delayed_heartbeat_counts_from_its_send_time) {
  membership m({"a", "hall", "peer-a", "http-a"}, absl::Seconds(2));
  m.on_ack(ack_at(start + absl::Milliseconds(1)), start);
  EXPECT_TRUE(m.alive(*m.find("b"), start + absl::Seconds(1)));
  // This node was paused: the heartbeat sent at 1 s is handled at 20 s.
  m.on_heartbeat(heartbeat_at(2, start + absl::Seconds(1)));
  EXPECT_FALSE(m.alive(*m.find("b"), start + absl::Seconds(20)));
}

TEST(membership, heartbeat_without_clock_offset_proves_nothing) {
  membership m({"a", "hall", "peer-a", "http-a"}, absl::Seconds(2));
  m.on_heartbeat(heartbeat_at(1, start));
  EXPECT_FALSE(m.alive(*m.find("b"), start));
}

TEST(membership, slow_answer_makes_the_peer_look_older) {
  membership m({"a", "hall", "peer-a", "http-a"}, absl::Seconds(2));
  // The peer was paused for 5 s between our sending and its answer.
  m.on_ack(ack_at(start + absl::Seconds(5)), start);
  m.on_heartbeat(heartbeat_at(1, start + absl::Seconds(6)));
  EXPECT_FALSE(m.alive(*m.find("b"), start + absl::Seconds(6)));
  m.on_ack(ack_at(start + absl::Seconds(6)), start + absl::Seconds(6));
  m.on_heartbeat(heartbeat_at(2, start + absl::Seconds(7)));
  EXPECT_TRUE(m.alive(*m.find("b"), start + absl::Seconds(7)));
}

TEST(membership, reordered_and_repeated_heartbeats_are_ignored) {
  membership m({"a", "hall", "peer-a", "http-a"}, absl::Seconds(2));
  EXPECT_TRUE(m.on_heartbeat(heartbeat_at(2, start)));
  EXPECT_FALSE(m.on_heartbeat(heartbeat_at(1, start)));
  EXPECT_FALSE(m.on_heartbeat(heartbeat_at(2, start)));
  EXPECT_TRUE(m.on_heartbeat(heartbeat_at(1, start, 2)));  // it has restarted
}

TEST(membership, heartbeats_go_to_the_hall_and_one_node_of_each_other) {
  membership m({"a", "hall", "peer-a", "http-a"}, absl::Seconds(2));
  m.add_address("hall", "peer-b");
  m.add_address("hall", "peer-c");
  for (int i = 0; i < 9; i++) m.add_address("far", "far-" + std::to_string(i));
  EXPECT_EQ(m.heartbeat_addresses(start).size(), 3U);
}

}  // namespace
}  // namespace spokesail
