// Hosts follow the demand, against the fleet emulator, in virtual time.
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <string>

#include "fleet-run.h"
#include "spokesail/demand-window.h"

namespace spokesail {
namespace {

using test::fleet_run;

constexpr int domains = 9;
constexpr int hosts_of_domain = 19;
constexpr int halls = 5;

backend_service service_of_two_sizes() {
  engine_profile engine;
  engine.slots = 34;
  engine.decode_steps_per_pass = 5;
  engine.step_ms = 6.07;
  engine.step_ms_per_request = 0.241;
  engine.step_ms_per_1k_context = 0.00488;
  engine.prefill_tokens_per_ms = 46;
  engine.prefill_chunk = 2048;
  engine.loads_per_s = 14;
  engine.loads_at_once = 20;
  engine.open_time = absl::Milliseconds(300);
  engine.models = {
      {"large", 8, 0.5, 1, absl::Seconds(16), absl::Milliseconds(1600)},
      {"small", 4, 0.5, 0.6, absl::Seconds(12), absl::Milliseconds(1100)}};
  return {"lm", 100, 0, engine};
}

const request_size large_request{1420, 116};
const request_size small_request{674, 116};

/// Requests a second that keep this number of hosts of a model busy.
double rate_for(const backend_service& service, const std::string& name,
                const request_size& size, double hosts) {
  const model_profile& model = *find_model(*service.engine, name);
  const model_demand one{service.name, name, 1, size.prompt, size.answer, 0};
  return hosts / model.group_size / needed_groups(*service.engine, model, one);
}

group_controller_options following_demand() {
  group_controller_options options;
  options.follow_demand = true;
  return options;
}

/// A fleet with a given demand.
class demand_fleet {
 public:
  explicit demand_fleet(uint64_t seed, const group_controller_options& options =
                                           following_demand())
      : service(service_of_two_sizes()),
        run(this->service, seed, options, domains, hosts_of_domain) {
    this->run.fleet.load_factor = 0.1;
    this->run.run_for(absl::Seconds(30));
    this->run.fleet.load_factor = 1;
    this->run.requests_seen = true;
    this->loads_before = this->run.fleet.loads.size();
    this->groups_before = this->serving_groups();
  }

  /// Sets the demand for each model, in hosts that it keeps busy.
  void set_demand(double large, double small) {
    this->large = rate_for(this->service, "large", large_request, large);
    this->small = rate_for(this->service, "small", small_request, small);
  }

  void run_for(absl::Duration time) {
    const absl::Time until = this->run.now + time;
    while (this->run.now < until) {
      this->add_arrivals();
      this->report_demand();
      this->run.step();
      this->update_min_serving();
    }
  }

  int serving(const std::string& model) const {
    return this->run.fleet.serving(model);
  }

  /// Groups that were formed or dissolved since the requests began.
  size_t changed_groups() const {
    std::vector<std::string> out;
    const auto now = this->serving_groups();
    std::set_symmetric_difference(
        now.begin(), now.end(), this->groups_before.begin(),
        this->groups_before.end(), std::back_inserter(out));
    return out.size();
  }
  size_t loads() const {
    return this->run.fleet.loads.size() - this->loads_before;
  }

  std::set<std::string> serving_groups() const {
    std::set<std::string> out;
    for (const auto& [id, server] : this->run.fleet.directory().servers()) {
      const group_membership& membership = server.entry.membership;
      if (membership.phase == member_phase::open) out.insert(membership.group);
    }
    return out;
  }

  /// Factor on the requests for a model; drawn anew each second.
  std::function<double(const std::string&)> noise = [](const auto&) {
    return 1.0;
  };
  /// Fraction of all requests that callers of a hall send.
  std::array<double, halls> hall_fractions = {0.2, 0.2, 0.2, 0.2, 0.2};
  /// Halls whose reports are lost.
  std::set<int> lost_reports;
  /// Lower bound of the age of the oldest report.
  absl::Duration min_report_age = absl::ZeroDuration();
  backend_service service;
  fleet_run run;
  /// Fewest groups that served since requests began.
  std::map<std::string, int> min_serving = {{"large", 1000}, {"small", 1000}};

 private:
  /// Adds the requests of one step, spread over the halls.
  void add_arrivals() {
    const auto second = absl::ToUnixSeconds(this->run.now);
    if (second != this->drawn_second) {
      this->drawn_second = second;
      this->factors = {{"large", this->noise("large")},
                       {"small", this->noise("small")}};
    }
    this->add_arrivals_for("large", large_request, this->large);
    this->add_arrivals_for("small", small_request, this->small);
  }
  void add_arrivals_for(const std::string& model, const request_size& size,
                        double rate) {
    const double step = absl::ToDoubleSeconds(test::step_time);
    for (int hall = 0; hall < halls; ++hall) {
      const auto at = static_cast<size_t>(hall);
      double& due = this->arrivals_due[model][at];
      due += rate * step * this->factors[model] * this->hall_fractions[at];
      for (; due >= 1; due -= 1) {
        this->windows[at].count_arrival("lm", model, size, this->run.now);
      }
    }
  }
  /// Passes the halls' reports to the holder once a second.
  void report_demand() {
    if (this->run.now - this->reported_at < absl::Seconds(1)) return;
    this->reported_at = this->run.now;
    for (int hall = 1; hall < halls; ++hall) {
      if (this->lost_reports.count(hall) != 0) continue;
      this->table.update_hall(
          absl::StrCat("h", hall),
          this->windows[static_cast<size_t>(hall)].rates(this->run.now),
          this->run.now);
    }
    demand_view demand =
        this->table.total(this->windows[0].rates(this->run.now), this->run.now);
    demand.age = std::max(demand.age, this->min_report_age);
    this->run.controller.update_demand(demand, this->run.now);
  }
  void update_min_serving() {
    for (auto& [model, count] : this->min_serving) {
      count = std::min(count, this->serving(model));
    }
  }

  double large = 0;
  double small = 0;
  int64_t drawn_second = 0;
  std::map<std::string, double> factors;
  std::map<std::string, std::array<double, halls>> arrivals_due;
  std::array<demand_window, halls> windows;
  demand_table table;
  absl::Time reported_at = absl::InfinitePast();
  size_t loads_before = 0;
  std::set<std::string> groups_before;
};

/// Upper bound of the time of a shift: the observation before it, the loads of
/// the model that gains, and two rounds of groups that are dissolved.
constexpr absl::Duration shift_time = absl::Seconds(60);

/// Demand in proportion to the shares, each second up to a fifth more or less.
RC_GTEST_PROP(uneven_demand, steady_demand_moves_no_hosts, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  demand_fleet fleet(seed);
  random_stream random{std::mt19937_64(seed)};
  fleet.noise = [&](const auto&) { return 0.8 + 0.4 * random.unit(); };
  fleet.set_demand(45, 45);
  fleet.run_for(absl::Seconds(60));
  RC_ASSERT(fleet.changed_groups() == 0U);
  RC_ASSERT(fleet.loads() == 0U);
}

/// Shows that the thresholds of a change are what keeps hosts in place under
/// steady demand.
TEST(uneven_demand, without_thresholds_steady_demand_moves_hosts) {
  group_controller_options options = following_demand();
  options.reallocation.wait_for_loads = false;
  options.reallocation.min_gain = 0;
  demand_fleet fleet(1, options);
  random_stream random{std::mt19937_64(1)};
  fleet.noise = [&](const auto&) { return 0.8 + 0.4 * random.unit(); };
  fleet.set_demand(45, 45);
  fleet.run_for(absl::Seconds(60));
  EXPECT_GT(fleet.loads() + fleet.changed_groups(), 0U);
}

/// From then on, callers request three times as much of one model as of the
/// other.
TEST(uneven_demand, a_lasting_shift_to_the_larger_model_moves_hosts) {
  demand_fleet fleet(2);
  EXPECT_EQ(fleet.serving("large"), 9);
  EXPECT_EQ(fleet.serving("small"), 18);
  fleet.set_demand(78, 26);
  fleet.run_for(shift_time);
  EXPECT_GE(fleet.serving("large"), 12);
  EXPECT_GE(fleet.serving("small"), 8);
  // The new allocation stays.
  const auto names = fleet.serving_groups();
  const size_t loads = fleet.loads();
  fleet.run_for(absl::Seconds(60));
  EXPECT_EQ(fleet.serving_groups(), names);
  EXPECT_EQ(fleet.loads(), loads);
  EXPECT_GE(fleet.min_serving["large"], 9);
  EXPECT_GE(fleet.min_serving["small"], 8);
  EXPECT_TRUE(fleet.run.fleet.breaches().empty());
}

TEST(uneven_demand, a_lasting_shift_to_the_smaller_model_moves_hosts) {
  demand_fleet fleet(3);
  fleet.set_demand(26, 78);
  fleet.run_for(shift_time);
  EXPECT_LE(fleet.serving("large"), 6);
  EXPECT_GE(fleet.serving("large"), 4);
  EXPECT_GE(fleet.serving("small"), 24);
  const auto names = fleet.serving_groups();
  const size_t loads = fleet.loads();
  fleet.run_for(absl::Seconds(60));
  EXPECT_EQ(fleet.serving_groups(), names);
  EXPECT_EQ(fleet.loads(), loads);
  EXPECT_GE(fleet.min_serving["large"], 4);
  EXPECT_GE(fleet.min_serving["small"], 18);
  EXPECT_TRUE(fleet.run.fleet.breaches().empty());
}

/// The loads of a shift stay within the rate limit of the weight store.
TEST(uneven_demand, a_shift_keeps_the_load_rate_limit) {
  demand_fleet fleet(3);
  const absl::Time since = fleet.run.now;
  fleet.set_demand(26, 78);
  fleet.run_for(shift_time);
  EXPECT_LE(fleet.run.max_loads_in_window(absl::Seconds(5), since), 77);
  EXPECT_GT(fleet.loads(), 0U);
}

/// A burst of two and a half times the requests for one model, for 10 s.
TEST(uneven_demand, a_burst_shorter_than_a_load_moves_no_hosts) {
  for (const bool larger : {false, true}) {
    demand_fleet fleet(4);
    fleet.set_demand(40, 40);
    fleet.run_for(absl::Seconds(20));
    fleet.set_demand(larger ? 100 : 40, larger ? 40 : 100);
    fleet.run_for(absl::Seconds(10));
    fleet.set_demand(40, 40);
    fleet.run_for(absl::Seconds(40));
    EXPECT_EQ(fleet.changed_groups(), 0U);
    EXPECT_EQ(fleet.loads(), 0U);
  }
}

/// Six in ten callers of one hall move to another; the models' demand is
/// unchanged.
TEST(uneven_demand, callers_that_change_halls_move_no_hosts) {
  demand_fleet fleet(5);
  fleet.set_demand(45, 45);
  fleet.run_for(absl::Seconds(20));
  fleet.hall_fractions = {0.08, 0.32, 0.2, 0.2, 0.2};
  fleet.run_for(absl::Seconds(40));
  EXPECT_EQ(fleet.changed_groups(), 0U);
  EXPECT_EQ(fleet.loads(), 0U);
}

/// One model has no requests; it keeps two groups for requests to come.
TEST(uneven_demand, a_model_without_requests_keeps_two_groups) {
  demand_fleet fleet(6);
  fleet.set_demand(0, 100);
  fleet.run_for(absl::Seconds(120));
  EXPECT_EQ(fleet.serving("large"), 2);
  EXPECT_GE(fleet.min_serving["large"], 2);
  EXPECT_GE(fleet.serving("small"), 30);
}

/// A domain becomes unreachable while hosts move.
TEST(uneven_demand, each_model_keeps_two_groups_when_a_domain_fails) {
  demand_fleet fleet(7);
  fleet.set_demand(26, 78);
  fleet.run_for(absl::Seconds(20));
  for (const auto& [id, server] : fleet.run.fleet.directory().servers()) {
    if (server.entry.domain != "d3") continue;
    fleet.run.fleet.set_isolated(id, true);
    fleet.run.report_suspect(id);
  }
  fleet.run_for(absl::Seconds(60));
  EXPECT_GE(fleet.min_serving["large"], 2);
  EXPECT_GE(fleet.serving("small"), 20);
  EXPECT_TRUE(fleet.run.fleet.breaches().empty());
}

/// The lease holder changes after hosts have moved, and while they do.
TEST(uneven_demand, a_new_holder_keeps_the_allocation) {
  for (const int seconds : {22, 60}) {
    demand_fleet fleet(8);
    fleet.set_demand(26, 78);
    fleet.run_for(absl::Seconds(seconds));
    const int large = fleet.serving("large");
    fleet.run.begin_term(fleet.run.controller.shares());
    fleet.min_serving = {{"large", 1000}, {"small", 1000}};
    fleet.run_for(absl::Seconds(60));
    EXPECT_LE(fleet.serving("large"), large);
    EXPECT_LE(fleet.serving("large"), 6);
    EXPECT_GE(fleet.serving("small"), 24);
    EXPECT_GE(fleet.min_serving["large"], 4);
    EXPECT_GE(fleet.min_serving["small"], 17);
    EXPECT_TRUE(fleet.run.fleet.breaches().empty());
  }
}

/// While demand is not known in full, nothing is decided. A hall without
/// reports for long counts as one without demand.
TEST(uneven_demand, no_hosts_move_while_a_halls_reports_are_missing) {
  demand_fleet fleet(9);
  fleet.set_demand(45, 45);
  fleet.run_for(absl::Seconds(10));
  fleet.lost_reports = {2};
  fleet.set_demand(26, 78);
  fleet.run_for(absl::Seconds(28));
  EXPECT_EQ(fleet.changed_groups(), 0U);
  fleet.run_for(shift_time);
  EXPECT_GE(fleet.serving("small"), 24);
}

/// Among many nodes there is always one whose last two reports were lost.
TEST(uneven_demand, lost_reports_of_single_nodes_delay_nothing) {
  demand_fleet fleet(3);
  fleet.min_report_age = demand_table::report_ttl - absl::Milliseconds(1);
  fleet.set_demand(26, 78);
  fleet.run_for(shift_time);
  EXPECT_GE(fleet.serving("small"), 24);
}

/// Faulty orders, failed hosts and new holders while demand shifts.
RC_GTEST_PROP(uneven_demand, breaks_no_rule_under_random_faults, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  demand_fleet fleet(seed);
  auto& random = fleet.run.random;
  for (int i = 0; i < 8; ++i) {
    fleet.set_demand(20 + 70 * random.unit(), 20 + 70 * random.unit());
    fleet.run.fleet.faults = {0.1 * random.unit(), 0.2 * random.unit(),
                              0.1 * random.unit()};
    const std::string id = fleet.run.random_server();
    fleet.run.fleet.kill(id, fleet.run.now);
    fleet.run.report_suspect(id);
    if (i == 4) fleet.run.begin_term(fleet.run.controller.shares());
    fleet.run_for(absl::Seconds(12));
  }
  for (const auto& breach : fleet.run.fleet.breaches()) RC_LOG() << breach;
  RC_ASSERT(fleet.run.fleet.breaches().empty());
  RC_ASSERT(fleet.serving("large") > 0);
  RC_ASSERT(fleet.serving("small") > 0);
}

TEST(uneven_demand, is_off_by_default) {
  demand_fleet fleet(2, {});
  fleet.set_demand(26, 78);
  fleet.run_for(absl::Seconds(60));
  EXPECT_EQ(fleet.changed_groups(), 0U);
  EXPECT_EQ(fleet.loads(), 0U);
}

}  // namespace
}  // namespace spokesail
