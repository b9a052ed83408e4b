#include "spokesail/admission.h"

#include <gtest/gtest.h>

#include "spokesail/routing.h"

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

queued_request waiting(uint64_t id, const std::string& workspace, int weight,
                       int priority = 0) {
  return {id, workspace, weight, priority, 1, start + absl::Seconds(id)};
}

TEST(fair_queue, shares_turns_by_weight) {
  fair_queue queue;
  for (uint64_t i = 0; i < 60; i++) {
    queue.push(waiting(i, "large", 2), 1000);
    queue.push(waiting(100 + i, "small", 1), 1000);
  }
  int large = 0;
  for (int i = 0; i < 60; i++) large += queue.pop()->workspace == "large";
  EXPECT_EQ(large, 40);
}

TEST(fair_queue, one_workspace_cannot_fill_the_queue) {
  fair_queue queue;
  for (uint64_t i = 0; i < 100; i++) queue.push(waiting(i, "large", 1), 20);
  EXPECT_LT(queue.size(), 20U);
  EXPECT_TRUE(queue.push(waiting(200, "small", 1), 20));
}

TEST(fair_queue, priority_goes_first_within_a_workspace) {
  fair_queue queue;
  queue.push(waiting(1, "w", 1, 0), 10);
  queue.push(waiting(2, "w", 1, 5), 10);
  EXPECT_EQ(queue.pop()->id, 2U);
}

TEST(fair_queue, expired_requests_are_removed) {
  fair_queue queue;
  for (uint64_t i = 1; i <= 4; i++) queue.push(waiting(i, "w", 1), 10);
  EXPECT_EQ(queue.expire(start + absl::Seconds(2)).size(), 2U);
  EXPECT_EQ(queue.size(), 2U);
  EXPECT_TRUE(queue.remove(4));
  EXPECT_FALSE(queue.remove(4));
}

TEST(token_bucket, refills_at_its_rate) {
  token_bucket bucket(2, 2);
  EXPECT_TRUE(bucket.try_consume(2, start));
  EXPECT_FALSE(bucket.try_consume(1, start));
  EXPECT_EQ(bucket.wait_for(1), absl::Milliseconds(500));
  EXPECT_TRUE(bucket.try_consume(1, start + absl::Milliseconds(500)));
}

TEST(routing, a_prefix_keeps_its_target_until_that_is_overloaded) {
  std::vector<route_option> options = {
      {"a", 0, 0, 8, 8}, {"b", 0, 0, 8, 8}, {"c", 0, 0, 8, 8}};
  random_stream random;
  const size_t preferred = *choose_route(options, 42, random);
  for (int i = 0; i < 20; i++) {
    EXPECT_EQ(*choose_route(options, 42, random), preferred);
  }
  options[preferred].in_flight = 6;
  EXPECT_NE(*choose_route(options, 42, random), preferred);
}

TEST(routing, a_full_target_receives_nothing) {
  const std::vector<route_option> options = {{"a", 8, 0, 8, 4},
                                             {"b", 4, 8, 8, 4}};
  random_stream random;
  EXPECT_FALSE(choose_route(options, std::nullopt, random));
}

}  // namespace
}  // namespace spokesail
