#include "spokesail/lease.h"

#include <gtest/gtest.h>

#include <limits>
#include <nlohmann/json.hpp>

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const lease_timing timing;

object lease_object(const std::string& holder, int64_t fence, int64_t version) {
  const lease_record record{holder, fence, 0};
  return {
      {kinds::lease, "hall"}, version, nlohmann::json(record).dump(), false};
}

/// The answer of a platform that accepts the write.
platform_answer took(const platform_call& call, int64_t version) {
  return {call_status::ok, {call.key, version, call.body, false}};
}

TEST(lease, absent_lease_is_taken_at_once) {
  lease own("hall", "a", timing);
  EXPECT_FALSE(own.due(start, "w"));
  own.observe_absent(start);
  const auto call = own.due(start, "w");
  ASSERT_TRUE(call);
  EXPECT_FALSE(own.held(start));
  own.on_answer(took(*call, 1), start, 0);
  EXPECT_TRUE(own.held(start));
  EXPECT_EQ(own.fence(), 1);
}

TEST(lease, foreign_lease_is_taken_after_expiry_with_a_higher_fence) {
  lease own("hall", "a", timing);
  own.observe(lease_object("b", 4, 7), start, 0);
  EXPECT_FALSE(own.due(start + timing.duration - absl::Milliseconds(1), "w"));
  const auto call = own.due(start + timing.duration, "w");
  ASSERT_TRUE(call);
  EXPECT_EQ(call->base_version, 7);
  own.on_answer(took(*call, 8), start + timing.duration, 0);
  EXPECT_EQ(own.fence(), 5);
}

TEST(lease, duration_counts_from_the_first_send) {
  lease own("hall", "a", timing);
  own.observe_absent(start);
  auto call = own.due(start, "w");
  own.on_answer({call_status::unavailable, {}}, start + absl::Seconds(2), 0);
  call = own.due(start + absl::Seconds(2), "w2");
  ASSERT_TRUE(call);
  own.on_answer(took(*call, 1), start + absl::Seconds(3), 0);
  const absl::Time end = start + timing.duration - timing.margin;
  EXPECT_TRUE(own.held(end - absl::Milliseconds(1)));
  EXPECT_FALSE(own.held(end));
}

TEST(lease, lost_write_ends_the_lease) {
  lease own("hall", "a", timing);
  own.observe_absent(start);
  own.on_answer(took(*own.due(start, "w"), 1), start, 0);
  const absl::Time later = start + timing.renew_period;
  ASSERT_TRUE(own.due(later, "w2"));
  own.on_answer({call_status::conflict, {}}, later, 0);
  ASSERT_TRUE(own.due(later, "w3"));
  own.on_answer({call_status::ok, lease_object("b", 2, 2)}, later, 0);
  EXPECT_FALSE(own.held(later));
  EXPECT_EQ(own.last_seen().holder, "b");
}

TEST(lease, answer_after_a_takeover_is_ignored) {
  lease own("hall", "a", timing);
  own.observe_absent(start);
  const auto call = own.due(start, "w");
  // The watch event overtakes the answer: another candidate now has the lease.
  own.observe(lease_object("b", 2, 2), start + absl::Seconds(1), 0);
  own.on_answer(took(*call, 1), start + absl::Seconds(1), 0);
  EXPECT_FALSE(own.held(start + absl::Seconds(1)));
}

TEST(lease, two_candidates_never_hold_it_together) {
  // For any delay: b observes a's write when it takes effect, and waits.
  for (int delay_ms = 0; delay_ms < 9000; delay_ms += 500) {
    lease a("hall", "a", timing);
    lease b("hall", "b", timing);
    a.observe_absent(start);
    const auto call = a.due(start, "w");
    const absl::Time effect = start + absl::Milliseconds(delay_ms);
    b.observe(lease_object("a", 1, 1), effect, 0);
    a.on_answer(took(*call, 1), effect, 0);
    for (int ms = 0; ms < 20000; ms += 50) {
      const absl::Time now = effect + absl::Milliseconds(ms);
      if (const auto take = b.due(now, "x"))
        b.on_answer(took(*take, 2), now, 0);
      EXPECT_FALSE(a.held(now) && b.held(now));
    }
  }
}

TEST(lease, released_lease_is_taken_at_once) {
  lease own("hall", "a", timing);
  own.observe_absent(start);
  own.on_answer(took(*own.due(start, "w"), 1), start, 0);
  own.release();
  EXPECT_FALSE(own.held(start));
  const auto call = own.due(start, "w2");
  ASSERT_TRUE(call);
  own.on_answer(took(*call, 2), start, 0);
  EXPECT_TRUE(own.released());
  EXPECT_FALSE(own.held(start));

  lease other("hall", "b", timing);
  other.observe({call->key, 2, call->body, false}, start, 0);
  const auto taken = other.due(start, "w3");
  ASSERT_TRUE(taken);
  other.on_answer(took(*taken, 3), start, 0);
  EXPECT_TRUE(other.held(start));
  EXPECT_EQ(other.fence(), own.fence() + 1);
}

TEST(lease, pending_renewal_is_not_mistaken_for_the_release) {
  lease own("hall", "a", timing);
  own.observe_absent(start);
  own.on_answer(took(*own.due(start, "w"), 1), start, 0);
  const absl::Time later = start + timing.renew_period;
  const auto renewal = own.due(later, "w2");
  ASSERT_TRUE(renewal);
  own.release();
  own.on_answer(took(*renewal, 2), later, 0);
  EXPECT_FALSE(own.held(later));
  EXPECT_FALSE(own.released());
  const auto call = own.due(later, "w3");
  ASSERT_TRUE(call);
  own.on_answer(took(*call, 3), later, 0);
  EXPECT_TRUE(own.released());
}

/// Content by another writer that cannot be parsed must not end the process, or
/// leave the lease without a holder for good.
TEST(lease, unreadable_lease_is_taken_after_expiry_with_a_higher_fence) {
  for (const std::string body :
       {"[]", "no object", R"({"holder":7})", R"({"fence":"x"})",
        R"({"holder":"b","fence":9,"renewals":1.5})"}) {
    lease own("hall", "a", timing);
    own.observe(lease_object("b", 4, 7), start, 0);
    own.observe({{kinds::lease, "hall"}, 8, body, false}, start, 0);
    EXPECT_FALSE(own.due(start + timing.duration - absl::Milliseconds(1), "w"));
    const auto call = own.due(start + timing.duration, "w");
    ASSERT_TRUE(call) << body;
    EXPECT_EQ(call->base_version, 8);
    own.on_answer(took(*call, 9), start + timing.duration, 0);
    EXPECT_EQ(own.fence(), 5);
  }
}

// Guards against fencing numbers that go back, or overflow, because of what
// another writer has left in the document.
TEST(lease, fence_of_another_writer_neither_goes_back_nor_overflows) {
  lease own("hall", "a", timing);
  own.observe(lease_object("b", 4, 7), start, 0);
  own.observe(lease_object("b", 1, 8), start, 0);
  EXPECT_EQ(own.fence(), 4);
  const auto largest = std::numeric_limits<int64_t>::max();
  for (const int64_t fence : {largest, int64_t{-1}}) {
    own.observe(lease_object("b", fence, own.last_object().version + 1), start,
                0);
    EXPECT_TRUE(own.unreadable());
    EXPECT_EQ(own.fence(), 4);
  }
  own.observe(lease_object(std::string(300, 'b'), 5, 20), start, 0);
  EXPECT_TRUE(own.unreadable());
  const auto call = own.due(start + timing.duration, "w");
  ASSERT_TRUE(call);
  EXPECT_EQ(nlohmann::json::parse(call->body)["fence"], 5);
}

TEST(lease, lease_taken_by_another_is_not_released) {
  lease own("hall", "a", timing);
  own.observe_absent(start);
  own.on_answer(took(*own.due(start, "w"), 1), start, 0);
  own.observe(lease_object("b", 2, 5), start, 0);
  own.release();
  EXPECT_FALSE(own.due(start, "w2"));
}

}  // namespace
}  // namespace spokesail
