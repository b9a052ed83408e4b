#include "spokesail/requests.h"

#include <gtest/gtest.h>

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

/// A routing view whose targets the test sets.
class fake_view final : public routing_view {
 public:
  std::vector<open_target> open_places(target_kind,
                                       const std::string&) const override {
    return this->targets;
  }
  bool can_complete(target_kind, const attempt_target&) const override {
    return this->completable;
  }
  std::vector<attempt_target> other_halls(target_kind,
                                          const std::string&) const override {
    return this->others;
  }
  const configuration* config() const override { return &this->configured; }
  absl::Duration estimated_reopen(const std::string&) const override {
    return absl::Seconds(7);
  }

  std::vector<open_target> targets;
  std::vector<attempt_target> others;
  bool completable = true;
  configuration configured;
};

class requests : public ::testing::Test {
 protected:
  void SetUp() override {
    model_config model;
    model.name = "m";
    this->view.configured.models.push_back(model);
    service_config service;
    service.name = "s";
    this->view.configured.services.push_back(service);
    this->view.configured.workspaces = {{"w", 1, 0, 9}, {"slow", 1, 2, 9}};
    this->view.configured.limits.queue_length = 10;
    this->view.targets = {{{"g1", "a1", 1, false}, 2, 2, 0},
                          {{"g2", "a2", 1, false}, 2, 2, 0}};
  }

  uint64_t send(bool repeatable = true, const std::string& workspace = "w",
                const std::string& target = "m") {
    request_info info;
    info.id = ++this->last;
    info.target = target;
    info.workspace = workspace;
    info.repeatable = repeatable;
    info.deadline = this->now + absl::Seconds(10);
    this->table.arrive(info, this->view, this->random, this->now, this->out);
    return info.id;
  }

  /// Ends the latest attempt of a request.
  void end(uint64_t id, attempt_end end_kind) {
    const auto attempt = this->latest(id).attempt;
    this->table.attempt_ended(id, attempt, end_kind, this->view, this->random,
                              this->now, this->out);
  }

  attempt_start latest(uint64_t id) const {
    attempt_start found;
    for (const auto& s : this->out.starts) {
      if (s.request == id) found = s;
    }
    return found;
  }

  int starts(uint64_t id) const {
    int n = 0;
    for (const auto& s : this->out.starts) n += s.request == id;
    return n;
  }

  /// The result of a request, which must have been given exactly once.
  outcome ended(uint64_t id) const {
    outcome found;
    int n = 0;
    for (const auto& f : this->out.finishes) {
      if (f.request == id) found = f.result;
      n += f.request == id;
    }
    EXPECT_EQ(n, 1);
    return found;
  }

  void step(absl::Duration passed) {
    this->now += passed;
    this->table.step(this->view, this->random, this->now, this->out);
  }

  fake_view view;
  request_table table{"n", 1};
  random_stream random;
  request_actions out;
  absl::Time now = start;
  uint64_t last = 0;
};

TEST_F(requests, a_whole_answer_ends_it) {
  const auto id = this->send();
  this->end(id, attempt_end::whole);
  EXPECT_EQ(this->ended(id).kind, outcome_kind::answered);
  EXPECT_EQ(this->table.size(), 0U);
}

TEST_F(requests, a_repeatable_one_is_retried_at_another_target) {
  const auto id = this->send();
  const auto first = this->latest(id).target.name;
  this->end(id, attempt_end::broken);
  EXPECT_EQ(this->starts(id), 2);
  EXPECT_NE(this->latest(id).target.name, first);
}

TEST_F(requests, one_that_may_not_be_repeated_fails_after_a_break) {
  const auto id = this->send(false);
  EXPECT_TRUE(this->latest(id).new_connection);
  this->end(id, attempt_end::broken);
  EXPECT_EQ(this->starts(id), 1);
  EXPECT_EQ(this->ended(id).kind, outcome_kind::failed);
}

TEST_F(requests, one_that_was_not_started_is_retried_elsewhere) {
  const auto id = this->send(false);
  this->end(id, attempt_end::not_started);
  EXPECT_EQ(this->starts(id), 2);
}

TEST_F(requests, the_end_of_an_abandoned_attempt_is_ignored) {
  const auto id = this->send();
  const auto old = this->latest(id).attempt;
  this->end(id, attempt_end::broken);
  this->table.attempt_ended(id, old, attempt_end::whole, this->view,
                            this->random, this->now, this->out);
  EXPECT_TRUE(this->out.finishes.empty());
}

TEST_F(requests, after_the_deadline_it_tells_whether_it_may_have_run) {
  const auto running = this->send();
  this->view.targets[0].capacity = this->view.targets[1].capacity = 0;
  const auto waiting = this->send();
  this->step(absl::Seconds(1));
  this->view.others.clear();
  this->step(absl::Seconds(10));
  EXPECT_EQ(this->ended(running).kind, outcome_kind::failed);
  EXPECT_EQ(this->ended(waiting).kind, outcome_kind::refused);
  EXPECT_EQ(this->out.cancels.size(), 1U);
}

TEST_F(requests, with_nothing_open_it_is_refused_with_a_retry_delay) {
  this->view.targets.clear();
  const auto id = this->send();
  this->step(absl::Seconds(2));
  const auto result = this->ended(id);
  EXPECT_EQ(result.kind, outcome_kind::refused);
  EXPECT_EQ(result.retry_after, absl::Seconds(7));
}

TEST_F(requests, with_nothing_open_here_it_is_forwarded_once) {
  this->view.targets.clear();
  this->view.others = {{"far", "f1", 0, true}};
  const auto id = this->send();
  EXPECT_TRUE(this->latest(id).target.remote_hall);
  request_info forwarded;
  forwarded.id = ++this->last;
  forwarded.target = "m";
  forwarded.workspace = "w";
  forwarded.forwarded = true;
  forwarded.deadline = this->now + absl::Seconds(10);
  this->table.arrive(forwarded, this->view, this->random, this->now, this->out);
  EXPECT_EQ(this->starts(forwarded.id), 0);
}

TEST_F(requests, attempts_at_a_lost_group_are_abandoned_and_retried) {
  const auto id = this->send();
  this->view.completable = false;
  this->step(absl::Milliseconds(50));
  EXPECT_EQ(this->out.cancels.size(), 1U);
  EXPECT_EQ(this->starts(id), 2);
}

TEST_F(requests, a_full_queue_refuses_at_once) {
  for (int i = 0; i < 14; i++) this->send();
  const auto id = this->send();
  EXPECT_EQ(this->ended(id).http_status, 429);
  EXPECT_GE(this->ended(id).retry_after, absl::Seconds(1));
}

TEST_F(requests, a_workspace_is_limited_to_its_rate) {
  int refused = 0;
  for (int i = 0; i < 10; i++) {
    const auto id = this->send(true, "slow");
    if (this->starts(id) == 0) refused++;
  }
  EXPECT_EQ(refused, 6);
}

TEST_F(requests, unknown_names_are_refused) {
  EXPECT_EQ(this->ended(this->send(true, "w", "nothing")).http_status, 404);
  EXPECT_EQ(this->ended(this->send(true, "nobody")).http_status, 403);
}

TEST_F(requests, a_services_methods_decide_what_may_be_repeated) {
  for (const std::string method : {"GET", "POST"}) {
    request_info info;
    info.id = ++this->last;
    info.kind = target_kind::service;
    info.target = "s";
    info.workspace = "w";
    info.method = method;
    info.deadline = this->now + absl::Seconds(10);
    this->table.arrive(info, this->view, this->random, this->now, this->out);
    EXPECT_EQ(this->latest(info.id).new_connection, method == "POST");
  }
}

TEST_F(requests, retries_are_limited_to_a_share_of_traffic) {
  // Every attempt breaks; retries must not multiply the load.
  int sent = 0;
  for (int i = 0; i < 400; i++) {
    const auto id = this->send();
    sent++;
    for (int n = 0; n < 10 && !this->latest(id).attempt.empty(); n++) {
      this->end(id, attempt_end::broken);
      this->now += absl::Seconds(1);
    }
  }
  EXPECT_LT(this->out.starts.size(), sent * 13 / 10);
}

}  // namespace
}  // namespace spokesail
