// Which model's groups get the hosts of a fleet that keeps losing some.
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet-run.h"

namespace spokesail {
namespace {

using test::fleet_run;

/// Three data halls of two fabric domains each. A group of the larger model
/// takes nearly half of a domain, so that each domain has room for one and
/// never for two.
constexpr int domains = 6;
constexpr int hosts_of_domain = 27;
constexpr int halls = 3;

backend_service service_of_two_sizes() {
  engine_profile engine;
  engine.slots = 48;
  engine.decode_steps_per_pass = 5;
  engine.step_ms = 6.45;
  engine.prefill_tokens_per_ms = 56.1;
  engine.prefill_chunk = 2048;
  engine.loads_per_s = 14;
  engine.loads_at_once = 20;
  engine.open_time = absl::Milliseconds(300);
  engine.models = {
      {"large", 12, 0.5, 1, absl::Seconds(16), absl::Milliseconds(1600)},
      {"small", 6, 0.5, 0.6, absl::Seconds(12), absl::Milliseconds(1100)}};
  return {"lm", 100, 0, engine};
}

/// Number of serving groups of each model, averaged over a time.
struct mean_serving {
  double large = 0;
  double small = 0;
};

/// A fleet from its start, and the faults injected once there are requests.
class failing_fleet {
 public:
  failing_fleet(uint64_t seed, const group_controller_options& options)
      : run(service_of_two_sizes(), seed, options, domains, hosts_of_domain) {
    // Loads are fast until there are requests.
    this->run.fleet.load_factor = 0.1;
    this->run.run_for(absl::Seconds(14));
    this->run.fleet.load_factor = 1;
    this->run.requests_seen = true;
    this->start = this->run.now;
  }

  double seconds() const {
    return absl::ToDoubleSeconds(this->run.now - this->start);
  }

  /// Has two members of one group in a hall fail, which callers notice.
  void fail_pair(int hall) {
    std::map<std::string, std::vector<std::string>> groups;
    for (const auto& [id, server] : this->run.fleet.directory().servers()) {
      const server_entry& entry = server.entry;
      if (entry.hall != absl::StrCat("h", hall)) continue;
      if (entry.membership.phase == member_phase::none) continue;
      if (this->failed.count(id) != 0) continue;
      groups[entry.membership.group].push_back(id);
    }
    if (groups.empty()) return;
    auto at = groups.begin();
    std::advance(at,
                 static_cast<ptrdiff_t>(this->run.random.below(groups.size())));
    for (size_t i = 0; i < 2 && i < at->second.size(); ++i) {
      this->fail_host(at->second[i]);
    }
  }

  void fail_host(const std::string& id) {
    this->failed.insert(id);
    this->run.fleet.kill(id, this->run.now);
    this->pending_reports.emplace(this->run.now + absl::Milliseconds(400), id);
  }

  void add_pair(int hall) {
    for (int i = 0; i < 2; ++i) {
      const int domain = test::domains_of_hall * hall +
                         static_cast<int>(this->run.random.below(2));
      this->run.fleet.add(absl::StrCat("d", domain), this->run.now,
                          "10.0.0.1:80", absl::StrCat("h", hall));
    }
  }

  /// Announces that some hosts leave, which they do four seconds later; others
  /// are added in their place.
  void replace_some(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string id = this->run.random_server();
      const server_entry* entry = this->run.fleet.directory().find(id);
      if (entry == nullptr || entry->draining) continue;
      this->run.fleet.drain(id, this->run.now);
      this->pending_stops.emplace(this->run.now + absl::Seconds(4), *entry);
    }
  }

  /// Advances the time and averages the number of serving groups.
  void run_until(double second) {
    while (this->seconds() < second) {
      this->run.step();
      this->process_due();
      const double step = absl::ToDoubleSeconds(test::step_time);
      this->serving_seconds.large += step * this->run.fleet.serving("large");
      this->serving_seconds.small += step * this->run.fleet.serving("small");
      this->min_large =
          std::min(this->min_large, this->run.fleet.serving("large"));
    }
  }

  mean_serving mean() const {
    return {this->serving_seconds.large / this->seconds(),
            this->serving_seconds.small / this->seconds()};
  }

  fleet_run run;
  absl::Time start;
  mean_serving serving_seconds;
  int min_large = domains;

 private:
  /// Executes what is due: callers notice losses, leaving hosts stop.
  void process_due() {
    while (!this->pending_reports.empty() &&
           this->pending_reports.begin()->first <= this->run.now) {
      this->run.report_suspect(this->pending_reports.begin()->second);
      this->pending_reports.erase(this->pending_reports.begin());
    }
    while (!this->pending_stops.empty() &&
           this->pending_stops.begin()->first <= this->run.now) {
      const server_entry gone = this->pending_stops.begin()->second;
      this->run.fleet.kill(gone.id, this->run.now);
      this->run.fleet.add(gone.domain, this->run.now, gone.address, gone.hall);
      this->pending_stops.erase(this->pending_stops.begin());
    }
  }

  std::set<std::string> failed;
  std::multimap<absl::Time, std::string> pending_reports;
  std::multimap<absl::Time, server_entry> pending_stops;
};

/// Two hosts of one group fail every three seconds, in one hall after the
/// other; from second 12 on as many are added, without weights.
void run_failures(failing_fleet& fleet, bool release) {
  constexpr double period = 3;
  constexpr int rounds = 11;
  int replaced = 0;
  for (int round = 1; round <= rounds; ++round) {
    const double until = period * round;
    while (fleet.seconds() < until) {
      fleet.run_until(std::min(until, fleet.seconds() + 1));
      if (release && fleet.seconds() > 20 && replaced < 57) {
        fleet.replace_some(9);
        replaced += 9;
      }
    }
    if (round == 3) fleet.run.begin_term();
    fleet.fail_pair(round % halls);
    if (until >= 12) fleet.add_pair((round + 1) % halls);
  }
  fleet.run_until(period * rounds + 4);
}

/// Results under one rule, averaged over some seeds.
struct yield_results {
  mean_serving mean;
  int min_large = domains;
  size_t breaches = 0;
};

yield_results run_seeds(bool smaller_yield, bool release) {
  constexpr uint64_t seeds = 4;
  yield_results out;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    group_controller_options options;
    options.smaller_yield = smaller_yield;
    failing_fleet fleet(seed, options);
    run_failures(fleet, release);
    out.mean.large += fleet.mean().large / seeds;
    out.mean.small += fleet.mean().small / seeds;
    out.min_large = std::min(out.min_large, fleet.min_large);
    out.breaches += fleet.run.fleet.breaches().size();
  }
  return out;
}

/// A model with enough hosts keeps some groups whatever fails: when it has two
/// of six or fewer, hosts of the smaller model's groups form more of the
/// larger.
TEST(group_yield, the_larger_model_keeps_groups_when_pairs_of_hosts_fail) {
  const yield_results without = run_seeds(false, false);
  const yield_results with = run_seeds(true, false);
  EXPECT_GT(with.mean.large, without.mean.large + 0.2);
  EXPECT_GE(with.min_large, 2);
  EXPECT_GT(with.mean.small, 10);
  EXPECT_EQ(with.breaches, 0U);
}

/// In addition, a third of the hosts is replaced within seven seconds.
TEST(group_yield, the_larger_model_keeps_groups_during_a_release) {
  const yield_results without = run_seeds(false, true);
  const yield_results with = run_seeds(true, true);
  EXPECT_GT(with.mean.large, without.mean.large + 0.2);
  EXPECT_GT(with.mean.small, 8);
  EXPECT_EQ(with.breaches, 0U);
}

TEST(may_yield, surplus_groups_are_always_given_up) {
  const model_group_counts small{12, 11};
  const model_group_counts large{5, 6};
  EXPECT_TRUE(may_yield(small, large, 1));
  EXPECT_FALSE(may_yield(small, large, 2));
}

TEST(may_yield, wanted_groups_are_given_up_for_a_model_with_few_groups) {
  const model_group_counts small{11, 11};
  EXPECT_TRUE(may_yield(small, {0, 6}, 2));
  EXPECT_TRUE(may_yield(small, {2, 6}, 2));
  EXPECT_FALSE(may_yield(small, {3, 6}, 1));
  // The model that gives groups up keeps most of its own.
  EXPECT_FALSE(may_yield({8, 11}, {0, 6}, 1));
  EXPECT_FALSE(may_yield({1, 1}, {0, 1}, 1));
}

}  // namespace
}  // namespace spokesail
