// Classification of requests that were not served in time, from log lines.
#include "losses.h"

#include <gtest/gtest.h>

namespace spokesail {
namespace {

/// The end of an answered stream, with the further `fields`.
log_record answered(const std::string& fields, const std::string& time = "00") {
  return parse_log_line(
      "time=2026-10-16T19:20:" + time +
      ".500+00:00 node=n1 event=request_ended id=r1 outcome=answered "
      "status=200 why=\"\" route=draft due_ms=300 longest_gap_ms=200 " +
      fields);
}

TEST(loss_cause, is_empty_for_requests_served_in_time) {
  EXPECT_EQ(loss_cause(answered("sends=1 first_ms=300 pause_ms=200")), "");
  EXPECT_EQ(loss_cause(parse_log_line("time=T node=n1 event=ready")), "");
}

TEST(loss_cause, explains_a_late_first_event) {
  EXPECT_EQ(loss_cause(answered("sends=2 first_ms=301 pause_ms=1")),
            "first event late: retried");
  EXPECT_EQ(loss_cause(answered("sends=1 wait_ms=60 first_ms=301")),
            "first event late: queued at the node");
  EXPECT_EQ(loss_cause(answered("sends=1 predicted_ms=310 first_ms=340")),
            "first event late: as predicted");
  EXPECT_EQ(loss_cause(answered("sends=1 predicted_ms=90 first_ms=340")),
            "first event late: later than predicted");
}

TEST(loss_cause, explains_a_pause_with_and_without_a_retry) {
  EXPECT_EQ(loss_cause(answered("sends=2 first_ms=9 pause_ms=201")),
            "pause too long: resumed at another group");
  EXPECT_EQ(loss_cause(answered("sends=1 first_ms=9 pause_ms=201")),
            "pause too long: in one group");
}

TEST(loss_cause, explains_plain_calls_and_refusals) {
  const std::string head =
      "time=T node=n1 event=request_ended id=r1 route=look due_ms=100 "
      "longest_gap_ms=\"\" ";
  EXPECT_EQ(loss_cause(parse_log_line(
                head + "outcome=answered status=200 total_ms=101")),
            "answer late");
  EXPECT_EQ(loss_cause(parse_log_line(
                head + "outcome=answered status=500 total_ms=9")),
            "failed by its server");
  EXPECT_EQ(loss_cause(parse_log_line(
                head + "outcome=refused status=503 why=\"no room\"")),
            "refused: no room");
}

TEST(count_losses, counts_by_cause_route_and_second_of_arrival) {
  const std::vector<log_record> records = {
      answered("sends=1 first_ms=9 total_ms=400", "00"),
      answered("sends=2 first_ms=900 total_ms=2000", "04"),
      answered("sends=2 first_ms=800 total_ms=900", "03"),
      parse_log_line("time=2026-10-16T19:20:01.000+00:00 node=n1 "
                     "event=request_ended id=r4 outcome=refused status=404 "
                     "why=\"no such route\" route=\"\"")};
  const loss_report report = count_losses(records);
  EXPECT_EQ(report.all, (loss_count{3, 2}));
  const std::map<std::string, int> routes = {{"draft", 2}};
  EXPECT_EQ(report.by_cause.at("first event late: retried"), routes);
  EXPECT_EQ(report.by_second.at(0), (loss_count{1, 0}));
  EXPECT_EQ(report.by_second.at(2), (loss_count{2, 2}));
}

TEST(loss_text, draws_a_bar_for_each_step) {
  const auto report = count_losses({answered("sends=2 first_ms=900 total_ms=1"),
                                    answered("sends=1 first_ms=9 total_ms=1")});
  const std::string text = loss_text(report);
  EXPECT_NE(text.find("2 requests, 1 (50.0%) not served in time"),
            std::string::npos);
  EXPECT_NE(text.find("1 #########################\n"), std::string::npos);
}

TEST(loss_text, reports_zero_requests) {
  EXPECT_NE(loss_text(count_losses({})).find("0 requests"), std::string::npos);
}

}  // namespace
}  // namespace spokesail
