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

const std::vector<std::string> kept_sample = {
    "time=T0 node=n1 event=group_suspected group=m.4 why=\"s9 is silent\"",
    "time=T1 node=n1 event=group_suspected group=m.5 why=\"s1 is silent\"",
    "time=T2 node=n1 event=attempt_kept id=r1 cause=stalled "
    "why=\"no retry left in the budget\" server=s1 group=m.5 silent_ms=340",
    "time=T3 node=n1 event=attempt_ended id=r1 end=broken why=server_gone "
    "server=s1 group=m.5",
    "time=T4 node=n1 event=request_ended id=r1 outcome=broken_off status=0 "
    "why=server_gone no_retry=\"all attempts of the route used\" sends=2 "
    "runs=2"};

explanation explain_kept() {
  std::vector<log_record> parsed;
  for (const auto& line : kept_sample) parsed.push_back(parse_log_line(line));
  return explain_request("r1", parsed);
}

// Guards against an explanation that leaves out why a silent attempt was kept.
TEST(explain, lists_suspected_groups_and_kept_attempts) {
  const auto result = explain_kept();
  ASSERT_EQ(result.lines.size(), 4U);
  EXPECT_EQ(result.lines[0].substr(0, 21), "T1 n1 group_suspected");
  EXPECT_EQ(result.lines[1].substr(0, 18), "T2 n1 attempt_kept");
  EXPECT_NE(result.cause.find("its attempt at server s1 was in doubt (stalled, "
                              "silent for 340 ms) and was kept because: no "
                              "retry left in the budget"),
            std::string::npos);
}

// Guards against an end whose obstacle has to be looked up in the lines.
TEST(explain, states_why_a_request_was_not_sent_again) {
  EXPECT_NE(explain_kept().cause.find(
                "The request ended as broken_off because: server_gone; it was "
                "not sent again because: all attempts of the route used. It "
                "was sent 2 time(s)"),
            std::string::npos);
  EXPECT_EQ(explain_request("r1", records()).cause.find("not sent again"),
            std::string::npos);
}

TEST(explain, has_no_cause_for_an_unknown_request) {
  EXPECT_EQ(explain_request("r9", records()).cause, "");
}

}  // namespace
}  // namespace spokesail
