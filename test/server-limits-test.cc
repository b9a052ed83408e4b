// Tests for the tracking of server rate limits.
#include "spokesail/server-limits.h"

#include <gtest/gtest.h>

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch();
const server_instance server{"s", 1};

absl::Time at(double seconds) { return start + absl::Seconds(seconds); }

TEST(server_limits, uses_latest_answer) {
  server_limits limits;
  EXPECT_FALSE(limits.find(server));
  limits.note_answer(server, 5.0, at(0), at(0.1));
  limits.note_answer(server, 1.4, at(0), at(0.2));
  EXPECT_EQ(limits.find(server), 1.4);
  EXPECT_EQ(limits.size(), 1U);
}

TEST(server_limits, keeps_limit_on_reordered_answer_without_one) {
  server_limits limits;
  limits.note_answer(server, 1.4, at(0), at(1));
  limits.note_answer(server, std::nullopt, at(0.5), at(2));
  EXPECT_EQ(limits.find(server), 1.4);
  limits.note_answer(server, std::nullopt, at(1.5), at(2));
  EXPECT_FALSE(limits.find(server));
  EXPECT_EQ(limits.size(), 0U);
}

TEST(server_limits, starts_without_limit_in_new_incarnation) {
  server_limits limits;
  limits.note_answer(server, 1.4, at(0), at(1));
  EXPECT_FALSE(limits.find({"s", 2}));
}

TEST(server_limits, ignores_older_reports) {
  server_limits limits;
  limits.note_answer(server, 1.4, at(0), at(5));
  EXPECT_FALSE(limits.merge_report({server, 9.0, absl::Seconds(3)}, at(6)));
  EXPECT_EQ(limits.find(server), 1.4);
  EXPECT_TRUE(
      limits.merge_report({server, std::nullopt, absl::Seconds(1)}, at(7)));
  EXPECT_FALSE(limits.find(server));
  EXPECT_FALSE(limits.merge_report({server, 1.4, absl::Seconds(3)}, at(7)))
      << "older report restored an ended limit";
}

TEST(server_limits, reports_limit_with_age) {
  server_limits limits;
  EXPECT_FALSE(limits.report(server, at(0)));
  limits.note_answer(server, 1.4, at(0), at(1));
  EXPECT_EQ(limits.report(server, at(3)),
            (limit_report{server, 1.4, absl::Seconds(2)}));
}

TEST(server_limits, does_not_report_small_changes) {
  server_limits limits;
  limits.note_answer(server, 1.4, at(0), at(1));
  EXPECT_EQ(limits.take_changes(), std::set<server_instance>{server});
  limits.note_answer(server, 1.35, at(1), at(2));
  EXPECT_TRUE(limits.take_changes().empty());
  limits.note_answer(server, 1.0, at(1), at(3));
  EXPECT_EQ(limits.take_changes().size(), 1U);
  limits.note_answer(server, std::nullopt, at(4), at(5));
  EXPECT_EQ(limits.take_changes().size(), 1U);
}

TEST(server_limits, reports_drift_in_small_steps) {
  server_limits limits;
  limits.note_answer(server, 10.0, at(0), at(1));
  limits.take_changes();
  limits.note_answer(server, 9.5, at(1), at(2));
  limits.note_answer(server, 9.1, at(2), at(3));
  EXPECT_TRUE(limits.take_changes().empty());
  limits.note_answer(server, 8.8, at(3), at(4));
  EXPECT_EQ(limits.take_changes().size(), 1U);
}

TEST(server_limits, forgets_removed_servers) {
  server_limits limits;
  limits.note_answer(server, 1.4, at(0), at(1));
  limits.note_answer({"t", 1}, 2, at(0), at(1));
  limits.forget([](const server_instance& s) { return s.server == "t"; });
  EXPECT_FALSE(limits.find(server));
  EXPECT_EQ(limits.find({"t", 1}), 2);
}

}  // namespace
}  // namespace spokesail
