// Hosts follow what callers ask for, against the emulator, in virtual time.
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

/// Requests a second that keep so many hosts of a model busy.
double rate_for(const backend_service& service, const std::string& name,
                const request_size& size, double hosts) {
  const model_profile& model = *find_model(*service.engine, name);
  const model_demand one{service.name, name, 1, size.prompt, size.answer, 0};
  return hosts / model.group_size / needed_groups(*service.engine, model, one);
}

group_controller_options following() {
  group_controller_options options;
  options.follow_demand = true;
  return options;
}

/// A fleet whose callers ask for as much as is told.
class asked_fleet {
 public:
  explicit asked_fleet(uint64_t seed,
                       const group_controller_options& options = following())
      : service(service_of_two_sizes()),
        run(this->service, seed, options, domains, hosts_of_domain) {
    this->run.fleet.load_factor = 0.1;
    this->run.run_for(absl::Seconds(30));
    this->run.fleet.load_factor = 1;
    this->run.requests_seen = true;
    this->loads_before = this->run.fleet.loads.size();
    this->epochs_before = this->group_names();
  }

  /// Hosts that the requests for each model keep busy.
  void ask(double large, double small) {
    this->large = rate_for(this->service, "large", large_request, large);
    this->small = rate_for(this->service, "small", small_request, small);
  }

  void run_for(absl::Duration time) {
    const absl::Time until = this->run.now + time;
    while (this->run.now < until) {
      this->arrive();
      this->say();
      this->run.step();
      this->count();
    }
  }

  int serving(const std::string& model) const {
    return this->run.fleet.serving(model);
  }

  /// Groups that have come or gone since the requests began.
  size_t changed_groups() const {
    std::vector<std::string> out;
    const auto now = this->group_names();
    std::set_symmetric_difference(
        now.begin(), now.end(), this->epochs_before.begin(),
        this->epochs_before.end(), std::back_inserter(out));
    return out.size();
  }
  size_t loads() const {
    return this->run.fleet.loads.size() - this->loads_before;
  }

  std::set<std::string> group_names() const {
    std::set<std::string> out;
    for (const auto& [id, server] : this->run.fleet.directory().servers()) {
      const group_membership& said = server.entry.membership;
      if (said.phase == member_phase::open) out.insert(said.group);
    }
    return out;
  }

  /// Factor on the requests for a model; drawn anew each second.
  std::function<double(const std::string&)> noise = [](const auto&) {
    return 1.0;
  };
  /// Part of all requests that callers of a hall send.
  std::array<double, halls> parts = {0.2, 0.2, 0.2, 0.2, 0.2};
  /// Halls whose words are lost.
  std::set<int> unheard;
  /// Age of the oldest word of all at least.
  absl::Duration oldest_word = absl::ZeroDuration();
  backend_service service;
  fleet_run run;
  /// Fewest groups that served since requests began.
  std::map<std::string, int> least = {{"large", 1000}, {"small", 1000}};

 private:
  /// Requests of one step, spread over the halls.
  void arrive() {
    const auto second = absl::ToUnixSeconds(this->run.now);
    if (second != this->drawn_in) {
      this->drawn_in = second;
      this->factors = {{"large", this->noise("large")},
                       {"small", this->noise("small")}};
    }
    this->arrive_for("large", large_request, this->large);
    this->arrive_for("small", small_request, this->small);
  }
  void arrive_for(const std::string& model, const request_size& size,
                  double rate) {
    const double step = absl::ToDoubleSeconds(test::step_time);
    for (int hall = 0; hall < halls; ++hall) {
      const auto at = static_cast<size_t>(hall);
      double& due = this->owed[model][at];
      due += rate * step * this->factors[model] * this->parts[at];
      for (; due >= 1; due -= 1) {
        this->windows[at].count_arrival("lm", model, size, this->run.now);
      }
    }
  }
  /// The halls' words reach the holder once a second.
  void say() {
    if (this->run.now - this->said_at < absl::Seconds(1)) return;
    this->said_at = this->run.now;
    for (int hall = 1; hall < halls; ++hall) {
      if (this->unheard.count(hall) != 0) continue;
      this->table.update_hall(
          absl::StrCat("h", hall),
          this->windows[static_cast<size_t>(hall)].rates(this->run.now),
          this->run.now);
    }
    demand_view known =
        this->table.total(this->windows[0].rates(this->run.now), this->run.now);
    known.age = std::max(known.age, this->oldest_word);
    this->run.controller.update_demand(known, this->run.now);
  }
  void count() {
    for (auto& [model, count] : this->least) {
      count = std::min(count, this->serving(model));
    }
  }

  double large = 0;
  double small = 0;
  int64_t drawn_in = 0;
  std::map<std::string, double> factors;
  std::map<std::string, std::array<double, halls>> owed;
  std::array<demand_window, halls> windows;
  demand_table table;
  absl::Time said_at = absl::InfinitePast();
  size_t loads_before = 0;
  std::set<std::string> epochs_before;
};

/// Loads that a shift may take: those of the model that gains, its evidence
/// before, and two rounds of groups that give way.
constexpr absl::Duration shift_time = absl::Seconds(60);

/// Demand level with the shares, each second a fifth more or less.
RC_GTEST_PROP(uneven_demand, calm_demand_moves_nothing, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  asked_fleet fleet(seed);
  random_stream random{std::mt19937_64(seed)};
  fleet.noise = [&](const auto&) { return 0.8 + 0.4 * random.unit(); };
  fleet.ask(45, 45);
  fleet.run_for(absl::Seconds(60));
  RC_ASSERT(fleet.changed_groups() == 0U);
  RC_ASSERT(fleet.loads() == 0U);
}

/// Shows that the rules of a change are what holds calm demand still.
TEST(uneven_demand, without_hysteresis_calm_demand_would_move_groups) {
  group_controller_options options = following();
  options.reallocation.wait_for_loads = false;
  options.reallocation.min_gain = 0;
  asked_fleet fleet(1, options);
  random_stream random{std::mt19937_64(1)};
  fleet.noise = [&](const auto&) { return 0.8 + 0.4 * random.unit(); };
  fleet.ask(45, 45);
  fleet.run_for(absl::Seconds(60));
  EXPECT_GT(fleet.loads() + fleet.changed_groups(), 0U);
}

/// Callers ask three times as much of one model as of the other, from then on.
TEST(uneven_demand, a_lasting_shift_to_the_larger_model_moves_hosts) {
  asked_fleet fleet(2);
  EXPECT_EQ(fleet.serving("large"), 9);
  EXPECT_EQ(fleet.serving("small"), 18);
  fleet.ask(78, 26);
  fleet.run_for(shift_time);
  EXPECT_GE(fleet.serving("large"), 12);
  EXPECT_GE(fleet.serving("small"), 8);
  // What stands then stays.
  const auto names = fleet.group_names();
  const size_t loads = fleet.loads();
  fleet.run_for(absl::Seconds(60));
  EXPECT_EQ(fleet.group_names(), names);
  EXPECT_EQ(fleet.loads(), loads);
  EXPECT_GE(fleet.least["large"], 9);
  EXPECT_GE(fleet.least["small"], 8);
  EXPECT_TRUE(fleet.run.fleet.breaches().empty());
}

TEST(uneven_demand, a_lasting_shift_to_the_smaller_model_moves_hosts) {
  asked_fleet fleet(3);
  fleet.ask(26, 78);
  fleet.run_for(shift_time);
  EXPECT_LE(fleet.serving("large"), 6);
  EXPECT_GE(fleet.serving("large"), 4);
  EXPECT_GE(fleet.serving("small"), 24);
  const auto names = fleet.group_names();
  const size_t loads = fleet.loads();
  fleet.run_for(absl::Seconds(60));
  EXPECT_EQ(fleet.group_names(), names);
  EXPECT_EQ(fleet.loads(), loads);
  EXPECT_GE(fleet.least["large"], 4);
  EXPECT_GE(fleet.least["small"], 18);
  EXPECT_TRUE(fleet.run.fleet.breaches().empty());
}

/// The loads of a shift stay under the weight store's ceiling.
TEST(uneven_demand, a_shift_keeps_the_rate_of_loads) {
  asked_fleet fleet(3);
  const absl::Time since = fleet.run.now;
  fleet.ask(26, 78);
  fleet.run_for(shift_time);
  EXPECT_LE(fleet.run.max_loads_in_window(absl::Seconds(5), since), 77);
  EXPECT_GT(fleet.loads(), 0U);
}

/// A burst of one model, two and a half times for 10 s.
TEST(uneven_demand, a_burst_shorter_than_a_load_moves_nothing) {
  for (const bool larger : {false, true}) {
    asked_fleet fleet(4);
    fleet.ask(40, 40);
    fleet.run_for(absl::Seconds(20));
    fleet.ask(larger ? 100 : 40, larger ? 40 : 100);
    fleet.run_for(absl::Seconds(10));
    fleet.ask(40, 40);
    fleet.run_for(absl::Seconds(40));
    EXPECT_EQ(fleet.changed_groups(), 0U);
    EXPECT_EQ(fleet.loads(), 0U);
  }
}

/// Six in ten callers of one hall move to another: the models' demand is the
/// same.
TEST(uneven_demand, callers_that_change_halls_move_nothing) {
  asked_fleet fleet(5);
  fleet.ask(45, 45);
  fleet.run_for(absl::Seconds(20));
  fleet.parts = {0.08, 0.32, 0.2, 0.2, 0.2};
  fleet.run_for(absl::Seconds(40));
  EXPECT_EQ(fleet.changed_groups(), 0U);
  EXPECT_EQ(fleet.loads(), 0U);
}

/// Nobody asks for one model; it keeps its two groups for whoever comes.
TEST(uneven_demand, a_model_that_nobody_asks_for_keeps_its_floor) {
  asked_fleet fleet(6);
  fleet.ask(0, 100);
  fleet.run_for(absl::Seconds(120));
  EXPECT_EQ(fleet.serving("large"), 2);
  EXPECT_GE(fleet.least["large"], 2);
  EXPECT_GE(fleet.serving("small"), 30);
}

/// A domain goes dark while hosts move.
TEST(uneven_demand, a_domain_that_goes_dark_leaves_each_model_its_floor) {
  asked_fleet fleet(7);
  fleet.ask(26, 78);
  fleet.run_for(absl::Seconds(20));
  for (const auto& [id, server] : fleet.run.fleet.directory().servers()) {
    if (server.entry.domain != "d3") continue;
    fleet.run.fleet.set_dark(id, true);
    fleet.run.report_suspect(id);
  }
  fleet.run_for(absl::Seconds(60));
  EXPECT_GE(fleet.least["large"], 2);
  EXPECT_GE(fleet.serving("small"), 20);
  EXPECT_TRUE(fleet.run.fleet.breaches().empty());
}

/// The holder of the lease changes after hosts have moved, and while they do.
TEST(uneven_demand, a_new_holder_undoes_nothing) {
  for (const int after_s : {22, 60}) {
    asked_fleet fleet(8);
    fleet.ask(26, 78);
    fleet.run_for(absl::Seconds(after_s));
    const int large = fleet.serving("large");
    fleet.run.begin_term(fleet.run.controller.shares());
    fleet.least = {{"large", 1000}, {"small", 1000}};
    fleet.run_for(absl::Seconds(60));
    EXPECT_LE(fleet.serving("large"), large);
    EXPECT_LE(fleet.serving("large"), 6);
    EXPECT_GE(fleet.serving("small"), 24);
    EXPECT_GE(fleet.least["large"], 4);
    EXPECT_GE(fleet.least["small"], 17);
    EXPECT_TRUE(fleet.run.fleet.breaches().empty());
  }
}

/// Where demand is not known as a whole, nothing is decided; a hall that is
/// silent for long has no callers.
TEST(uneven_demand, nothing_moves_while_a_halls_words_are_missing) {
  asked_fleet fleet(9);
  fleet.ask(45, 45);
  fleet.run_for(absl::Seconds(10));
  fleet.unheard = {2};
  fleet.ask(26, 78);
  fleet.run_for(absl::Seconds(28));
  EXPECT_EQ(fleet.changed_groups(), 0U);
  fleet.run_for(shift_time);
  EXPECT_GE(fleet.serving("small"), 24);
}

/// Among many nodes there is always one whose last two words were lost.
TEST(uneven_demand, lost_words_of_single_nodes_hold_nothing_up) {
  asked_fleet fleet(3);
  fleet.oldest_word = demand_table::report_ttl - absl::Milliseconds(1);
  fleet.ask(26, 78);
  fleet.run_for(shift_time);
  EXPECT_GE(fleet.serving("small"), 24);
}

/// Faults of orders, deaths and new holders while demand shifts.
RC_GTEST_PROP(uneven_demand, breaks_no_rule_whatever_strikes, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  asked_fleet fleet(seed);
  auto& random = fleet.run.random;
  for (int i = 0; i < 8; ++i) {
    fleet.ask(20 + 70 * random.unit(), 20 + 70 * random.unit());
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

TEST(uneven_demand, is_off_unless_asked_for) {
  asked_fleet fleet(2, {});
  fleet.ask(26, 78);
  fleet.run_for(absl::Seconds(60));
  EXPECT_EQ(fleet.changed_groups(), 0U);
  EXPECT_EQ(fleet.loads(), 0U);
}

}  // namespace
}  // namespace spokesail
