// Guards against lost capacity, double execution and stale state after failures
// of entry hosts, backend servers and the platform. Simulates one data hall in
// virtual time and injects the failures.
#include <gtest/gtest.h>

#include "fake-hall.h"

namespace spokesail::test {
namespace {

class hall_faults : public ::testing::Test {
 protected:
  void TearDown() override {
    EXPECT_EQ(this->hall.violations, std::set<std::string>{});
  }

  bool all_nodes_serve(int groups, absl::Duration limit) {
    return this->hall.run_until(
        [&] {
          for (size_t i = 0; i < this->hall.nodes.size(); i++) {
            const fake_node& node = this->hall.nodes[i];
            const bool runs = node.alive && this->hall.now >= node.paused_until;
            if (runs && this->hall.open_groups(i, "m") < groups) return false;
          }
          return true;
        },
        limit);
  }

  void start(int hosts_per_replica = 2, int replicas = 2, int minimum = 1) {
    this->hall.accept(one_model(hosts_per_replica, replicas, minimum));
    ASSERT_TRUE(this->all_nodes_serve(replicas, absl::Seconds(30)));
  }

  std::string member(size_t g, size_t rank) {
    return this->hall.current_placement().groups.at(g).hosts.at(rank);
  }

  fake_hall hall{fake_options{}};
};

TEST_F(hall_faults, groups_form_and_serve) {
  this->start();
  EXPECT_EQ(this->hall.current_placement().groups.size(), 2U);
}

TEST_F(hall_faults, a_lost_member_closes_its_group_and_a_spare_takes_over) {
  this->start();
  const std::string lost = this->member(0, 1);
  const int64_t before = this->hall.current_placement().groups[0].incarnation;
  this->hall.kill_host(lost);
  EXPECT_TRUE(this->hall.run_until(
      [&] { return this->hall.open_groups(0, "m") == 1; }, absl::Seconds(2)));
  EXPECT_TRUE(this->all_nodes_serve(2, absl::Seconds(30)));
  const placement after = this->hall.current_placement();
  for (const auto& g : after.groups) {
    for (const auto& host : g.hosts) EXPECT_NE(host, lost);
  }
  EXPECT_GT(after.groups[0].incarnation, before);
}

TEST_F(hall_faults, a_spare_has_the_weights_before_it_is_needed) {
  this->start();
  this->hall.run_for(absl::Seconds(15));
  this->hall.kill_host(this->member(0, 1));
  // Time for detection, grace period and regrouping, but not for a weight load,
  // which takes 5 s.
  const auto limit = limits_config{}.repair_grace + absl::Milliseconds(1500);
  this->hall.run_for(absl::Seconds(1));
  EXPECT_TRUE(this->all_nodes_serve(2, limit));
}

TEST_F(hall_faults, a_short_pause_of_a_member_replaces_nothing) {
  this->start();
  const placement before = this->hall.current_placement();
  this->hall.pause_host(this->member(0, 1), absl::Seconds(2));
  this->hall.run_for(absl::Seconds(5));
  EXPECT_TRUE(this->all_nodes_serve(2, absl::Seconds(5)));
  EXPECT_EQ(this->hall.current_placement().groups, before.groups);
}

TEST_F(hall_faults, a_member_that_returns_after_its_replacement_stays_out) {
  this->start();
  const std::string lost = this->member(0, 0);
  this->hall.pause_host(lost, absl::Seconds(12));
  this->hall.run_for(absl::Seconds(20));
  EXPECT_TRUE(this->all_nodes_serve(2, absl::Seconds(20)));
  EXPECT_EQ(this->hall.hosts[lost].report.group, "");
}

TEST_F(hall_faults, a_member_that_returns_without_weights_is_reloaded) {
  this->start();
  const std::string host = this->member(1, 1);
  this->hall.kill_host(host);
  this->hall.run_for(absl::Milliseconds(300));
  this->hall.revive_host(host);
  EXPECT_TRUE(this->all_nodes_serve(2, absl::Seconds(30)));
}

TEST_F(hall_faults, two_losses_at_once_are_repaired) {
  this->start();
  this->hall.kill_host(this->member(0, 0));
  this->hall.kill_host(this->member(1, 1));
  EXPECT_TRUE(this->all_nodes_serve(2, absl::Seconds(40)));
}

TEST_F(hall_faults, a_failed_domain_has_its_group_replaced) {
  this->start(2, 2);
  const std::string domain = this->hall.hosts[this->member(0, 0)].info.domain;
  for (auto& [name, host] : this->hall.hosts) {
    if (host.info.domain == domain) host.alive = false;
  }
  this->hall.run_for(absl::Seconds(30));
  EXPECT_EQ(this->hall.open_groups(0, "m"), 2);
}

TEST_F(hall_faults, a_flapping_member_never_opens_a_group_without_it) {
  this->start();
  const std::string host = this->member(0, 1);
  for (int i = 0; i < 10; i++) {
    this->hall.pause_host(host, absl::Milliseconds(700));
    this->hall.run_for(absl::Milliseconds(1400));
  }
  EXPECT_TRUE(this->all_nodes_serve(2, absl::Seconds(30)));
}

TEST_F(hall_faults, a_killed_holder_is_replaced_with_a_higher_fence) {
  this->start();
  const int64_t before = this->hall.current_placement().fence;
  const int holder = this->hall.leader();
  ASSERT_GE(holder, 0);
  this->hall.kill_node(static_cast<size_t>(holder));
  EXPECT_TRUE(this->hall.run_until(
      [&] { return this->hall.current_placement().fence > before; },
      absl::Seconds(15)));
  this->hall.kill_host(this->member(0, 0));
  EXPECT_TRUE(this->all_nodes_serve(2, absl::Seconds(40)));
}

TEST_F(hall_faults, a_holder_paused_past_its_lease_does_not_interfere) {
  this->start();
  const int holder = this->hall.leader();
  ASSERT_GE(holder, 0);
  this->hall.pause_node(static_cast<size_t>(holder), absl::Seconds(15));
  this->hall.run_for(absl::Seconds(10));
  EXPECT_NE(this->hall.leader(), -1);
  this->hall.kill_host(this->member(0, 0));
  this->hall.run_for(absl::Seconds(20));
  EXPECT_TRUE(this->all_nodes_serve(2, absl::Seconds(20)));
}

TEST_F(hall_faults, a_holder_cut_from_the_platform_is_replaced) {
  this->start();
  const int holder = this->hall.leader();
  ASSERT_GE(holder, 0);
  this->hall.nodes[static_cast<size_t>(holder)].isolated_from_platform = true;
  EXPECT_TRUE(this->hall.run_until(
      [&] {
        const int now = this->hall.leader();
        return now >= 0 && now != holder;
      },
      absl::Seconds(15)));
  this->hall.kill_host(this->member(0, 0));
  EXPECT_TRUE(this->hall.run_until(
      [&] { return this->hall.open_groups(0, "m") == 2; }, absl::Seconds(40)));
}

TEST_F(hall_faults, a_holder_cut_from_its_peers_does_no_harm) {
  this->start();
  const int holder = this->hall.leader();
  ASSERT_GE(holder, 0);
  this->hall.nodes[static_cast<size_t>(holder)].isolated_from_peers = true;
  this->hall.run_for(absl::Seconds(20));
  this->hall.kill_host(this->member(0, 0));
  this->hall.run_for(absl::Seconds(30));
  this->hall.nodes[static_cast<size_t>(holder)].isolated_from_peers = false;
  EXPECT_TRUE(this->all_nodes_serve(2, absl::Seconds(30)));
}

TEST_F(hall_faults, groups_serve_during_a_platform_outage) {
  this->start();
  this->hall.platform_down = true;
  this->hall.run_for(absl::Seconds(60));
  EXPECT_EQ(this->hall.open_groups(0, "m"), 2);
  this->hall.platform_down = false;
  this->hall.run_for(absl::Seconds(10));
  this->hall.kill_host(this->member(0, 0));
  EXPECT_TRUE(this->all_nodes_serve(2, absl::Seconds(40)));
}

TEST_F(hall_faults, lost_platform_responses_do_not_repeat_changes) {
  this->hall.lose_answers = 6;
  this->start();
  this->hall.lose_answers = 4;
  this->hall.kill_host(this->member(0, 0));
  EXPECT_TRUE(this->all_nodes_serve(2, absl::Seconds(60)));
  EXPECT_EQ(this->hall.current_placement().groups.size(), 2U);
}

TEST_F(hall_faults, a_late_order_of_a_previous_holder_opens_nothing) {
  this->start();
  // The orders of the first lease holder arrive after it has lost the lease.
  this->hall.order_delay = absl::Seconds(9);
  this->hall.kill_host(this->member(0, 0));
  this->hall.run_for(absl::Seconds(4));
  const int holder = this->hall.leader();
  ASSERT_GE(holder, 0);
  this->hall.kill_node(static_cast<size_t>(holder));
  this->hall.order_delay = absl::Milliseconds(1);
  this->hall.run_for(absl::Seconds(30));
  EXPECT_TRUE(this->all_nodes_serve(2, absl::Seconds(30)));
}

TEST_F(hall_faults, a_leaving_host_is_out_of_service_after_three_seconds) {
  this->start();
  const std::string host = this->member(0, 1);
  this->hall.set_leaving(host);
  this->hall.run_for(absl::Seconds(3));
  for (size_t i = 0; i < this->hall.nodes.size(); i++) {
    const node_state& state = this->hall.nodes[i].state;
    for (const auto& g : state.groups.groups) {
      const bool has =
          std::find(g.hosts.begin(), g.hosts.end(), host) != g.hosts.end();
      EXPECT_FALSE(has && group_open(state, g, this->hall.now));
    }
  }
  EXPECT_TRUE(this->all_nodes_serve(2, absl::Seconds(40)));
}

TEST_F(hall_faults, a_leaving_host_gets_no_requests_during_a_platform_outage) {
  this->start();
  const group leaving_group = this->hall.current_placement().groups.at(0);
  this->hall.set_leaving(leaving_group.hosts.at(1));
  this->hall.run_for(absl::Milliseconds(10));
  this->hall.platform_down = true;
  this->hall.run_for(absl::Seconds(3));
  for (int i = 0; i < 30; i++) this->hall.request(0, "m", true);
  this->hall.run_for(absl::Milliseconds(20));
  EXPECT_EQ(this->hall.hosts[leaving_group.hosts.at(0)].running, 0);
  EXPECT_GT(this->hall.hosts[this->member(1, 0)].running, 0);
}

TEST_F(hall_faults, a_version_change_keeps_the_minimum_and_aborts_nothing) {
  this->start(2, 2, 1);
  configuration next = one_model(2, 2, 1);
  next.models[0].version = "2";
  this->hall.accept(next);
  int min_open = 2;
  std::vector<uint64_t> sent;
  for (int i = 0; i < 400; i++) {
    sent.push_back(this->hall.request(0, "m", false));
    this->hall.run_for(absl::Milliseconds(100));
    min_open = std::min(min_open, this->hall.open_groups(0, "m"));
  }
  EXPECT_GE(min_open, 1);
  for (const auto& g : this->hall.current_placement().groups) {
    EXPECT_EQ(g.version, "2");
    EXPECT_EQ(g.phase, group_phase::serving);
  }
  this->hall.run_for(absl::Seconds(5));
  for (const uint64_t id : sent) {
    ASSERT_EQ(this->hall.requests[id].outcomes.size(), 1U);
    EXPECT_EQ(this->hall.requests[id].outcomes[0].kind, outcome_kind::answered);
  }
}

TEST_F(hall_faults, requests_to_a_failing_group_get_correct_outcomes) {
  this->start();
  for (int i = 0; i < 100; i++) {
    // A burst when the host is killed, so that repeatable and other requests
    // are in flight.
    const int burst = i == 50 ? 12 : 1;
    for (int n = 0; n < burst; n++) {
      this->hall.request(static_cast<size_t>(n + i) % 3, "m", n % 2 == 0);
    }
    if (i == 50) this->hall.run_for(absl::Milliseconds(20));
    if (i == 50) this->hall.kill_host(this->member(0, 0));
    this->hall.run_for(absl::Milliseconds(20));
  }
  this->hall.run_for(absl::Seconds(40));
  int answered = 0;
  int failed = 0;
  for (const auto& [id, r] : this->hall.requests) {
    ASSERT_EQ(r.outcomes.size(), 1U) << id;
    answered += r.outcomes[0].kind == outcome_kind::answered;
    failed += r.outcomes[0].kind == outcome_kind::failed;
    if (r.outcomes[0].kind == outcome_kind::failed) {
      EXPECT_FALSE(r.repeatable);
    }
  }
  EXPECT_GT(answered, 80);
  EXPECT_GT(failed, 0);
}

TEST_F(hall_faults, a_planned_stop_completes_requests) {
  this->start();
  const uint64_t id = this->hall.request(1, "m", false);
  this->hall.run_for(absl::Milliseconds(50));
  this->hall.nodes[1].state = reduce(std::move(this->hall.nodes[1].state),
                                     {this->hall.now, stop_event{}})
                                  .state;
  this->hall.run_for(absl::Seconds(5));
  EXPECT_TRUE(this->hall.nodes[1].exited);
  ASSERT_EQ(this->hall.requests[id].outcomes.size(), 1U);
  EXPECT_EQ(this->hall.requests[id].outcomes[0].kind, outcome_kind::answered);
}

TEST_F(hall_faults, a_node_started_in_an_outage_adopts_its_peers_revision) {
  this->start();
  this->hall.platform_down = true;
  this->hall.kill_node(2);
  this->hall.run_for(absl::Seconds(3));
  this->hall.start_node(2);
  this->hall.run_for(absl::Milliseconds(100));
  EXPECT_FALSE(this->hall.nodes[2].state.gauges.ready);
  this->hall.run_for(absl::Seconds(5));
  EXPECT_EQ(this->hall.nodes[2].state.revision, 1);
  EXPECT_TRUE(this->hall.nodes[2].state.gauges.ready);
  EXPECT_EQ(this->hall.open_groups(2, "m"), 2);
}

TEST_F(hall_faults, configuration_reaches_every_node_and_never_reverts) {
  this->start();
  std::vector<int64_t> seen(3, 0);
  for (int i = 0; i < 5; i++) {
    this->hall.accept(one_model(2, 2, i % 2));
    this->hall.run_for(absl::Milliseconds(700));
    for (size_t n = 0; n < 3; n++) {
      EXPECT_GE(this->hall.nodes[n].state.revision, seen[n]);
      seen[n] = this->hall.nodes[n].state.revision;
    }
  }
  this->hall.run_for(absl::Seconds(2));
  for (size_t n = 0; n < 3; n++) {
    EXPECT_EQ(this->hall.nodes[n].state.revision, 6);
  }
}

}  // namespace
}  // namespace spokesail::test
