#include "explain.h"

#include <gtest/gtest.h>

namespace spokesail {
namespace {

TEST(explain, parses_quoted_values_and_skips_a_prefix) {
  const auto r = parse_log_line(
      R"(  3.66 n1 time=T1 node=n1 event=x why="a \"b\" c" group="" k=v)");
  EXPECT_EQ(r.time, "T1");
  EXPECT_EQ(r.node, "n1");
  EXPECT_EQ(r.event, "x");
  EXPECT_EQ(r.value("why"), R"(a "b" c)");
  EXPECT_EQ(r.value("group"), "");
  EXPECT_EQ(r.value("k"), "v");
  EXPECT_EQ(parse_log_line("no line").event, "");
}

const std::vector<std::string> sample = {
    "time=T5 node=n1 event=request_ended id=r1 outcome=failed status=502 "
    "why=\"server broke off\" sends=2 runs=2 config=7 config_age_ms=300 "
    "servers_rev=44",
    "time=T4 node=n1 event=attempt_ended id=r1 end=broken why=stalled "
    "server=s1 group=m.5",
    "time=T1 node=n1 event=config_in_force version=7",
    "time=T2 node=n2 event=config_in_force version=8",
    "time=T3 node=n2 event=group_dissolved subject=m.5 why=\"s2 is gone\"",
    "time=T0 node=n2 event=lease_taken fence=3",
    "time=T6 node=n1 event=store_lost",
    "time=T2 node=n1 event=request_ended id=r2 outcome=answered status=200"};

std::vector<log_record> records() {
  std::vector<log_record> out;
  for (const auto& line : sample) out.push_back(parse_log_line(line));
  return out;
}

TEST(explain, lists_the_requests_lines_and_earlier_state_changes) {
  const auto result = explain_request("r1", records());
  ASSERT_EQ(result.lines.size(), 5U);
  EXPECT_EQ(result.lines[0].substr(0, 17), "T0 n2 lease_taken");
  EXPECT_EQ(result.lines[1].substr(0, 21), "T1 n1 config_in_force");
  EXPECT_EQ(result.lines[2].substr(0, 21), "T3 n2 group_dissolved");
  EXPECT_EQ(result.lines[3].substr(0, 19), "T4 n1 attempt_ended");
  EXPECT_EQ(result.lines[4].substr(0, 19), "T5 n1 request_ended");
}

TEST(explain, states_the_cause_in_a_sentence) {
  const auto result = explain_request("r1", records());
  EXPECT_NE(result.cause.find("status 502 because: server broke off"),
            std::string::npos);
  EXPECT_NE(
      result.cause.find("server s1 of group m.5 and ended broken (stalled)"),
      std::string::npos);
  EXPECT_NE(result.cause.find("configuration 7, verified 300 ms before"),
            std::string::npos);
}

TEST(explain, has_no_cause_for_an_unknown_request) {
  EXPECT_EQ(explain_request("r9", records()).cause, "");
}

}  // namespace
}  // namespace spokesail
