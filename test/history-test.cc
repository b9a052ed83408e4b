// Tests of the history checker: a valid history passes, and one that breaks any
// single rule is reported.
#include "history.h"

#include <gtest/gtest.h>

namespace spokesail::test {
namespace {

using json = nlohmann::json;

json assign(double t, const std::string& host, const std::string& group,
            int incarnation) {
  return {{"t", int64_t(t * 1e6)},
          {"e", "assign"},
          {"host", host},
          {"group", group},
          {"incarnation", incarnation}};
}

json run(double t, const std::string& request) {
  return {{"t", int64_t(t * 1e6)}, {"e", "run"},   {"host", "a"},
          {"request", request},    {"group", "g"}, {"incarnation", 1}};
}

json request(double t, const std::string& id, const std::string& outcome,
             bool right = true, bool once = true) {
  return {{"t", int64_t(t * 1e6)}, {"e", "request"}, {"request", id},
          {"outcome", outcome},    {"right", right}, {"once", once}};
}

json placement(double t, const std::vector<std::string>& other) {
  const json one = {{"name", "g"}, {"incarnation", 1}, {"hosts", {"a", "b"}}};
  const json two = {{"name", "h"}, {"incarnation", 2}, {"hosts", other}};
  return {{"t", int64_t(t * 1e6)},
          {"e", "change"},
          {"kind", "placement"},
          {"name", "hall"},
          {"spec", {{"groups", {one, two}}}}};
}

json host_state(double t, const std::string& host, const std::string& state) {
  return {{"t", int64_t(t * 1e6)},
          {"e", "change"},
          {"kind", "host"},
          {"name", host},
          {"spec", {{"state", state}}}};
}

json in_force(double t, int revision) {
  return {{"t", int64_t(t * 1e6)},
          {"e", "in_force"},
          {"node", "n#1"},
          {"revision", revision}};
}

history valid_history() {
  return {placement(0, {"c"}),
          assign(1, "a", "g", 1),
          assign(1, "b", "g", 1),
          in_force(1, 1),
          run(2, "r1"),
          request(3, "r1", "answered"),
          request(3, "r2", "refused"),
          in_force(4, 2)};
}

std::vector<std::string> breaches_with(const std::vector<json>& extra,
                                       bool planned_only = false) {
  history all = valid_history();
  all.insert(all.end(), extra.begin(), extra.end());
  history_options options;
  options.planned_only = planned_only;
  return check_history(all, options);
}

void expect_rule(const std::vector<std::string>& breaches,
                 const std::string& rule) {
  ASSERT_EQ(breaches.size(), 1U);
  EXPECT_EQ(breaches[0].substr(0, rule.size()), rule);
}

TEST(history, accepts_a_valid_history) {
  EXPECT_TRUE(breaches_with({}).empty());
}

TEST(history, reports_a_group_without_all_members) {
  expect_rule(breaches_with({assign(2.5, "b", "", 0), run(9, "r9")}),
              "group without all members");
}

TEST(history, reports_a_host_in_two_groups) {
  expect_rule(breaches_with({placement(5, {"b"})}), "host in two groups");
}

TEST(history, reports_a_wrong_answer) {
  expect_rule(
      breaches_with({run(5, "r5"), request(6, "r5", "answered", false)}),
      "wrong or partial answer");
}

TEST(history, reports_an_answer_without_a_run) {
  expect_rule(breaches_with({request(6, "r5", "answered")}),
              "answer without a run");
}

TEST(history, reports_a_refused_request_that_ran) {
  expect_rule(breaches_with({run(5, "r5"), request(6, "r5", "refused")}),
              "refused but run");
}

TEST(history, reports_a_second_run) {
  expect_rule(
      breaches_with({run(5, "r5"), run(5, "r5"), request(6, "r5", "failed")}),
      "run more than once");
}

TEST(history, reports_work_for_a_leaving_server) {
  expect_rule(breaches_with({host_state(3, "b", "leaving"), run(7, "r9")}),
              "work for a leaving server");
}

TEST(history, reports_a_request_lost_in_a_planned_stop) {
  expect_rule(breaches_with({request(6, "r5", "lost")}, true),
              "cut off by a planned stop");
}

TEST(history, reports_a_configuration_that_went_back) {
  expect_rule(breaches_with({in_force(5, 1)}), "configuration went back");
}

}  // namespace
}  // namespace spokesail::test
