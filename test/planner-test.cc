#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "spokesail/placement.h"

namespace spokesail {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

/// A hall whose hosts reach the planned state at once, so that plans can follow
/// each other.
class simulated_hall {
 public:
  simulated_hall(int domains, int per_domain) {
    for (int d = 0; d < domains; d++) {
      for (int i = 0; i < per_domain; i++) {
        host_view host;
        host.info.name = "d" + std::to_string(d) + "h" + std::to_string(i);
        host.info.domain = "d" + std::to_string(d);
        host.report = host_report{};
        this->in.hosts[host.info.name] = host;
      }
    }
    this->in.hall = "hall";
    this->in.now = start;
    this->in.policy = this->policy.get();
  }

  plan_result step(const configuration& config) {
    this->in.config = &config;
    this->in.now += absl::Milliseconds(200);
    auto result = plan(this->in);
    this->in.current = result.next;
    this->update_draining();
    return result;
  }

  /// Sets the hosts' reports to the state that the placement asks for.
  void apply_placement() {
    for (auto& [name, host] : this->in.hosts) {
      if (host.report) host.report = host_report{};
      host.load_at = this->in.now;
    }
    for (const auto& g : this->in.current.groups) {
      for (const auto& name : g.hosts) {
        auto& report = this->in.hosts[name].report;
        if (!report) continue;
        report->group = g.name;
        report->incarnation = g.incarnation;
        report->model = g.model;
        report->version = g.version;
        report->phase = host_phase::ready;
      }
    }
  }

  void fail_host(const std::string& name) {
    this->in.hosts[name].report.reset();
    this->in.hosts[name].lost_since = this->in.now - absl::Hours(1);
  }

  int serving() const {
    return static_cast<int>(std::count_if(
        this->in.current.groups.begin(), this->in.current.groups.end(),
        [](const group& g) { return g.phase == group_phase::serving; }));
  }

  std::unique_ptr<domain_policy> policy = make_whole_replica_fit();
  plan_input in;

 private:
  void update_draining() {
    for (const auto& g : this->in.current.groups) {
      if (g.phase == group_phase::draining) {
        this->in.draining_since.try_emplace(g.name, this->in.now);
      }
    }
  }
};

configuration config_of(int size, int replicas, int minimum = 0,
                        const std::string& version = "1") {
  configuration config;
  model_config model;
  model.name = "m";
  model.version = version;
  model.hosts_per_replica = size;
  model.replicas = {{"hall", replicas}};
  model.minimum_serving = minimum;
  config.models.push_back(model);
  return config;
}

TEST(planner, keeps_a_replica_in_one_domain) {
  simulated_hall hall(2, 3);
  const auto config = config_of(2, 3);
  hall.step(config);
  // Three hosts a domain hold one replica of two each; none crosses domains.
  EXPECT_EQ(hall.in.current.groups.size(), 2U);
}

TEST(planner, crosses_domains_only_where_allowed) {
  simulated_hall hall(2, 3);
  auto config = config_of(2, 3);
  config.models[0].cross_domain = true;
  hall.step(config);
  EXPECT_EQ(hall.in.current.groups.size(), 3U);
}

TEST(planner, without_a_spare_changes_one_group_at_a_time) {
  simulated_hall hall(1, 6);
  const auto before = config_of(2, 3, 1);
  for (int i = 0; i < 4; i++) {
    hall.step(before);
    hall.apply_placement();
  }
  ASSERT_EQ(hall.serving(), 3);
  const auto after = config_of(2, 3, 1, "2");
  int min_serving = 3;
  for (int i = 0; i < 200; i++) {
    hall.step(after);
    min_serving = std::min(min_serving, hall.serving());
    hall.apply_placement();
  }
  EXPECT_EQ(min_serving, 2);
  EXPECT_EQ(hall.serving(), 3);
  for (const auto& g : hall.in.current.groups) EXPECT_EQ(g.version, "2");
}

TEST(planner, releases_a_drained_group_once_the_drain_settled_and_it_is_idle) {
  simulated_hall hall(1, 2);
  for (int i = 0; i < 4; i++) {
    hall.step(config_of(2, 1));
    hall.apply_placement();
  }
  const auto none = config_of(2, 0);
  hall.step(none);
  ASSERT_EQ(hall.in.current.groups.at(0).phase, group_phase::draining);
  hall.apply_placement();
  hall.step(none);
  EXPECT_EQ(hall.in.current.groups.size(), 1U);
  const std::string leader = hall.in.current.groups[0].hosts[0];
  hall.in.hosts[leader].load.running = 1;
  hall.in.now += hall.in.drain_settle;
  hall.apply_placement();
  hall.step(none);
  EXPECT_EQ(hall.in.current.groups.size(), 1U);
  hall.in.hosts[leader].load.running = 0;
  hall.apply_placement();
  hall.step(none);
  EXPECT_TRUE(hall.in.current.groups.empty());
}

TEST(planner, surges_if_spare_hosts_exist) {
  simulated_hall hall(1, 6);
  const auto before = config_of(2, 2, 2);
  for (int i = 0; i < 4; i++) {
    hall.step(before);
    hall.apply_placement();
  }
  const auto after = config_of(2, 2, 2, "2");
  int min_serving = 2;
  for (int i = 0; i < 200; i++) {
    hall.step(after);
    min_serving = std::min(min_serving, hall.serving());
    hall.apply_placement();
  }
  EXPECT_EQ(min_serving, 2);
  for (const auto& g : hall.in.current.groups) EXPECT_EQ(g.version, "2");
}

TEST(planner, dissolves_a_group_that_cannot_be_completed) {
  simulated_hall hall(2, 2);
  const auto config = config_of(2, 2);
  for (int i = 0; i < 4; i++) {
    hall.step(config);
    hall.apply_placement();
  }
  hall.fail_host("d0h0");
  hall.step(config);
  EXPECT_EQ(hall.in.current.groups.size(), 1U);
}

TEST(planner, gives_hosts_to_the_more_important_model) {
  simulated_hall hall(1, 2);
  auto config = config_of(2, 1);
  model_config other = config.models[0];
  other.name = "important";
  other.importance = 5;
  config.models.push_back(other);
  hall.step(config);
  ASSERT_EQ(hall.in.current.groups.size(), 1U);
  EXPECT_EQ(hall.in.current.groups[0].model, "important");
}

TEST(planner, an_unfenced_host_is_not_reassigned_before_its_time) {
  simulated_hall hall(1, 2);
  hall.in.hosts["d0h1"].reassign_after = start + absl::Seconds(5);
  const auto config = config_of(2, 1);
  hall.step(config);
  EXPECT_TRUE(hall.in.current.groups.empty());
  hall.in.now = start + absl::Seconds(5);
  hall.step(config);
  EXPECT_EQ(hall.in.current.groups.size(), 1U);
}

TEST(domain_policy, whole_replica_leaves_hosts_that_other_replicas_can_use) {
  // Best fit would leave 1 of 3, where a replica of 3 would have fit.
  const std::vector<domain_supply> supplies = {
      {"a", {"1", "2", "3"}, 0, 3, 0}, {"b", {"4", "5", "6", "7"}, 0, 4, 0}};
  EXPECT_EQ(make_best_fit()->choose(supplies, 2, {2, 3}), 0U);
  EXPECT_EQ(make_whole_replica_fit()->choose(supplies, 2, {2, 3}), 1U);
}

TEST(domain_policy, whole_replica_leaves_a_larger_group_its_last_spare) {
  const std::vector<domain_supply> supplies = {
      {"a", {"1", "2"}, 0, 6, 4}, {"b", {"3", "4", "5", "6"}, 0, 6, 0}};
  EXPECT_EQ(make_best_fit()->choose(supplies, 2, {2, 4}), 0U);
  EXPECT_EQ(make_whole_replica_fit()->choose(supplies, 2, {2, 4}), 1U);
}

RC_GTEST_PROP(planner_property, never_shares_a_host_and_becomes_stable, ()) {
  const int domains = *rc::gen::inRange(1, 4);
  const int per_domain = *rc::gen::inRange(1, 7);
  simulated_hall hall(domains, per_domain);
  auto config = config_of(*rc::gen::inRange(1, 4), *rc::gen::inRange(0, 5),
                          *rc::gen::inRange(0, 2));
  for (int round = 0; round < 30; round++) {
    if (*rc::gen::inRange(0, 6) == 0) {
      config.models[0].version = std::to_string(round);
    }
    if (*rc::gen::inRange(0, 4) == 0) {
      auto it = hall.in.hosts.begin();
      std::advance(it, *rc::gen::inRange(0, domains * per_domain));
      if (it->second.report) {
        hall.fail_host(it->first);
      } else {
        it->second.report = host_report{};
        it->second.lost_since = absl::InfiniteFuture();
      }
    }
    hall.step(config);
    RC_ASSERT(shared_hosts(hall.in.current).empty());
    for (const auto& g : hall.in.current.groups) {
      RC_ASSERT(std::set<std::string>(g.hosts.begin(), g.hosts.end()).size() ==
                g.hosts.size());
    }
    hall.apply_placement();
  }
  // Without further changes, planning becomes stable.
  for (int i = 0; i < 300; i++) {
    hall.step(config);
    hall.apply_placement();
  }
  RC_ASSERT(hall.step(config).changes.empty());
}

}  // namespace
}  // namespace spokesail
