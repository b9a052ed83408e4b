// Start of a large fleet: hundreds of nodes that know of no holder.
#include "spokesail/lease-takeover.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

namespace spokesail {
namespace {

std::vector<std::string> candidates(int count) {
  std::vector<std::string> out;
  for (int i = 0; i < count; ++i) out.push_back(absl::StrCat("n", i));
  return out;
}

TEST(lease_takeover, only_the_first_candidates_have_a_rank) {
  const auto order = candidates(295);
  EXPECT_EQ(lease_rank(order, "n0"), 0);
  EXPECT_EQ(lease_rank(order, "n11"), 11);
  EXPECT_EQ(lease_rank(order, "n12"), std::nullopt);
  EXPECT_EQ(lease_rank(order, "unknown"), std::nullopt);
  EXPECT_EQ(lease_rank({}, "n0"), std::nullopt);
}

/// A data hall that was cut off from the holder returns: its nodes learn of the
/// holder, or of the next one, within a few relay hops.
TEST(lease_takeover, few_nodes_of_a_returning_hall_compete_for_the_lease) {
  const absl::Duration informed_after = absl::Milliseconds(720);
  for (const int size : {9, 98, 217, 500}) {
    const auto order = candidates(size);
    int competing = 0;
    for (const auto& name : order) {
      const auto rank = lease_rank(order, name);
      if (return_delay(rank, 0) < informed_after) ++competing;
    }
    EXPECT_LE(competing, 12) << size;
  }
  EXPECT_EQ(return_delay(0, 0.5), absl::ZeroDuration());
  EXPECT_LE(return_delay(std::nullopt, 1), max_return_delay);
}

TEST(lease_takeover, delays_grow_with_rank_and_are_longest_without_one) {
  for (int rank = 1; rank < 12; ++rank) {
    EXPECT_GT(takeover_delay(rank, 0), takeover_delay(rank - 1, 1));
    EXPECT_GT(first_read_delay(rank, 0), first_read_delay(rank - 1, 1));
  }
  EXPECT_GT(takeover_delay(std::nullopt, 0), takeover_delay(11, 1));
  EXPECT_GT(first_read_delay(std::nullopt, 0), first_read_delay(11, 1));
}

/// A holder's report reaches all nodes within three relay hops of 180 ms.
TEST(lease_takeover,
     few_of_a_large_fleet_read_the_lease_when_all_start_at_once) {
  const absl::Duration informed_after = absl::Milliseconds(540);
  const auto order = candidates(295);
  int reads = 0;
  for (const auto& name : order) {
    const auto rank = lease_rank(order, name);
    reads +=
        first_read_delay(rank, 0.5) < first_read_delay(0, 0) + informed_after;
  }
  EXPECT_LE(reads, 5);
}

}  // namespace
}  // namespace spokesail
