// Closed data halls, for evacuation states that arrive in any order.
#include "spokesail/hall-evacuations.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

absl::Time at_ms(int64_t ms) { return start + absl::Milliseconds(ms); }

evacuation_snapshot make_state(int64_t revision, std::set<std::string> halls,
                               absl::Duration age = absl::ZeroDuration()) {
  return {revision, age, std::move(halls)};
}

TEST(hall_evacuations, unknown_before_the_first_state) {
  const hall_evacuations known;
  EXPECT_FALSE(known.known());
  EXPECT_FALSE(known.closed("a", absl::InfinitePast()));
  EXPECT_EQ(known.age(start), absl::InfiniteDuration());
}

TEST(hall_evacuations, empty_state_counts_as_known) {
  hall_evacuations known;
  known.apply(make_state(0, {}, absl::Milliseconds(30)), start, start);
  EXPECT_TRUE(known.known());
  EXPECT_EQ(known.age(start), absl::Milliseconds(30));
}

TEST(hall_evacuations, apply_returns_changes) {
  hall_evacuations known;
  EXPECT_EQ(known.apply(make_state(1, {"a"}), start, start),
            (evacuation_change{{"a"}, {}}));
  EXPECT_EQ(known.apply(make_state(2, {"b"}), start, start),
            (evacuation_change{{"b"}, {"a"}}));
  EXPECT_EQ(known.apply(make_state(1, {"a"}), start, start),
            evacuation_change{});
}

TEST(hall_evacuations, reopens_once_servers_are_known_from_after_the_end) {
  hall_evacuations known;
  known.apply(make_state(1, {"a", "b"}), start, start);
  known.apply(make_state(2, {"b"}), start, at_ms(100));
  EXPECT_TRUE(known.closed("a", at_ms(99)));
  EXPECT_FALSE(known.closed("a", at_ms(100)));
  EXPECT_TRUE(known.closed("b", at_ms(1000)));
  EXPECT_EQ(known.closed_halls(at_ms(99)), (std::set<std::string>{"a", "b"}));
  EXPECT_EQ(known.closed_halls(at_ms(100)), (std::set<std::string>{"b"}));
}

TEST(hall_evacuations, hall_evacuated_again_stays_closed) {
  hall_evacuations known;
  known.apply(make_state(1, {"a"}), start, start);
  known.apply(make_state(2, {}), start, at_ms(100));
  known.apply(make_state(3, {"a"}), start, at_ms(200));
  EXPECT_TRUE(known.closed("a", at_ms(5000)));
}

TEST(hall_evacuations, late_state_counts_with_its_age) {
  hall_evacuations known;
  known.apply(make_state(1, {}, absl::Seconds(2)), at_ms(0), at_ms(500));
  EXPECT_EQ(known.age(at_ms(500)), absl::Milliseconds(2500));
  // This state was not requested, so that it may have been in transit for any
  // time.
  known.apply(make_state(2, {"a"}), absl::InfinitePast(), at_ms(600));
  EXPECT_TRUE(known.closed("a", at_ms(600)));
  EXPECT_EQ(known.age(at_ms(600)), absl::Milliseconds(2600));
}

/// Random operator actions, one revision each. Returns the evacuated halls
/// after each of them.
std::vector<std::set<std::string>> random_history() {
  std::vector<std::set<std::string>> out = {{}};
  const auto actions =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
  for (const int hall : actions) {
    std::set<std::string> next = out.back();
    const std::string name = absl::StrCat("h", hall);
    if (next.erase(name) == 0) next.insert(name);
    out.push_back(next);
  }
  return out;
}

/// States arrive late, twice and in any order.
RC_GTEST_PROP(hall_evacuations, keeps_the_newest_revision, ()) {
  const auto history = random_history();
  const auto last = static_cast<int64_t>(history.size()) - 1;
  const auto received = *rc::gen::container<std::vector<int64_t>>(
      rc::gen::inRange<int64_t>(0, last + 1));
  hall_evacuations known;
  int64_t newest = -1;
  absl::Time now = start;
  absl::Time latest_verified = absl::InfinitePast();
  // By hall, when this node learned of the end of its evacuation, if it is not
  // evacuated again since.
  std::map<std::string, absl::Time> ends;
  for (const int64_t revision : received) {
    now += absl::Milliseconds(10);
    const auto age = absl::Milliseconds(*rc::gen::inRange(0, 500));
    const auto& halls = history[static_cast<size_t>(revision)];
    if (revision > newest) {
      if (newest >= 0) {
        for (const auto& hall : history[static_cast<size_t>(newest)]) {
          if (halls.count(hall) == 0) ends[hall] = now;
        }
      }
      for (const auto& hall : halls) ends.erase(hall);
    }
    newest = std::max(newest, revision);
    latest_verified = std::max(latest_verified, now - age);
    known.apply({revision, age, halls}, now, now);
    const auto& expected = history[static_cast<size_t>(newest)];
    RC_ASSERT(known.snapshot(now) ==
              (evacuation_snapshot{newest, now - latest_verified, expected}));
    const absl::Time servers_verified_at =
        now - absl::Milliseconds(*rc::gen::inRange(0, 60));
    for (int i = 0; i < 3; ++i) {
      const std::string hall = absl::StrCat("h", i);
      const auto end = ends.find(hall);
      const bool reopening =
          end != ends.end() && servers_verified_at < end->second;
      RC_ASSERT(known.closed(hall, servers_verified_at) ==
                (expected.count(hall) != 0 || reopening));
      RC_ASSERT(known.closed(hall, servers_verified_at) ==
                (known.closed_halls(servers_verified_at).count(hall) != 0));
    }
  }
}

}  // namespace
}  // namespace spokesail
