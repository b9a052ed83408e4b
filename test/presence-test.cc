#include "spokesail/presence.h"

#include <gtest/gtest.h>

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration window = absl::Milliseconds(1500);

observation seen(absl::Time at, bool reachable = true) {
  observation o;
  o.reachable = reachable;
  o.report.group = "g";
  o.at = at;
  return o;
}

absl::Time at_ms(int ms) { return start + absl::Milliseconds(ms); }

TEST(presence, lasts_for_the_window_after_the_probe_was_sent) {
  presence_table table;
  table.observe("p", "h", seen(start));
  EXPECT_TRUE(table.present("h", at_ms(1500), window));
  EXPECT_FALSE(table.present("h", at_ms(1501), window));
  table.refresh("p", at_ms(1000));
  EXPECT_TRUE(table.present("h", at_ms(2500), window));
}

TEST(presence, ends_when_any_prober_finds_the_host_unreachable) {
  presence_table table;
  table.observe("p", "h", seen(start));
  table.observe("q", "h", seen(at_ms(100), false));
  EXPECT_FALSE(table.present("h", at_ms(100), window));
}

TEST(presence, returns_with_a_probe_sent_after_the_loss) {
  presence_table table;
  table.observe("q", "h", seen(at_ms(100), false));
  // q still cannot reach it; p can, after q began to fail.
  table.observe("p", "h", seen(at_ms(50)));
  EXPECT_FALSE(table.present("h", at_ms(200), window));
  table.observe("p", "h", seen(at_ms(200)));
  table.observe("q", "h", seen(at_ms(600), false));
  EXPECT_TRUE(table.present("h", at_ms(600), window));
}

TEST(presence, older_observation_is_ignored) {
  presence_table table;
  EXPECT_TRUE(table.observe("p", "h", seen(at_ms(100), false)));
  EXPECT_FALSE(table.observe("p", "h", seen(start)));
  EXPECT_FALSE(table.present("h", at_ms(100), window));
}

TEST(presence, failed_attempt_counts_until_a_later_probe) {
  presence_table table;
  table.observe("p", "h", seen(start));
  table.note_failure("h", at_ms(10));
  EXPECT_FALSE(table.present("h", at_ms(20), window));
  table.observe("p", "h", seen(at_ms(30)));
  EXPECT_TRUE(table.present("h", at_ms(40), window));
}

TEST(presence, removed_observation_no_longer_counts) {
  presence_table table;
  table.observe("p", "h", seen(start));
  table.remove_observation("p", "h");
  table.refresh("p", at_ms(100));
  EXPECT_FALSE(table.present("h", at_ms(100), window));
}

}  // namespace
}  // namespace spokesail
