// Runs a fleet of emulated engines under a group controller in virtual time.
#pragma once

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "fleet-emulator.h"
#include "spokesail/group-controller.h"

namespace spokesail::test {

constexpr absl::Duration step_time = absl::Milliseconds(40);
constexpr int domains_of_hall = 2;

/// A fleet, its controller and the virtual clock.
class fleet_run {
 public:
  fleet_run(const backend_service& service, uint64_t seed,
            const group_controller_options& options, int domains, int hosts)
      : fleet(service, {}, seed),
        controller(options),
        random{std::mt19937_64(seed)} {
    this->config.services = {service};
    for (int d = 0; d < domains; ++d) {
      for (int h = 0; h < hosts; ++h) {
        this->fleet.add(absl::StrCat("d", d), this->now, "10.0.0.1:80",
                        absl::StrCat("h", d / domains_of_hall));
      }
    }
    this->begin_term();
  }

  /// Starts the term of a new lease holder that knows the division in force.
  void begin_term(const std::vector<model_share>& division = {}) {
    this->controller.start_term(++this->fence, {}, division);
  }

  void step() {
    this->now += step_time;
    this->fleet.advance(this->now);
    while (!this->answers.empty() && this->answers.front().at <= this->now) {
      const answer a = this->answers.front();
      this->answers.pop_front();
      if (a.fence != this->fence) continue;
      this->controller.on_order_result(a.order, a.result, this->now);
    }
    const group_actions actions = this->controller.step(
        this->fleet.directory(), this->config, this->requests_seen, this->now);
    this->max_orders_per_step =
        std::max(this->max_orders_per_step, actions.orders.size());
    for (const auto& order : actions.orders) {
      const order_result result = this->fleet.send_order(order, this->now);
      const bool has_result = result != order_result::unknown;
      const absl::Duration delay =
          has_result ? absl::Milliseconds(5) : absl::Milliseconds(500);
      this->answers.push_back({order, result, this->now + delay, this->fence});
      std::stable_sort(
          this->answers.begin(), this->answers.end(),
          [](const auto& a, const auto& b) { return a.at < b.at; });
    }
    for (const auto& id : actions.report_requests) {
      if (this->fleet.is_silent(id)) {
        this->controller.on_silence(id, this->now);
      } else {
        this->controller.on_report(id, this->fleet.report(id), this->now);
      }
    }
  }

  void run_for(absl::Duration time) {
    const absl::Time until = this->now + time;
    while (this->now < until) this->step();
  }

  /// Reports a suspected server, as nodes do when its requests fail.
  void report_suspect(const std::string& id) {
    this->controller.suspect(id, this->now);
  }

  std::string random_server() {
    const auto all = this->fleet.live_servers();
    return all[this->random.below(all.size())];
  }

  /// Maximum number of loads that started within any window after `since`.
  int max_loads_in_window(absl::Duration window, absl::Time since) const {
    int max_loads = 0;
    for (const auto& from : this->fleet.loads) {
      if (from < since) continue;
      const auto count = std::count_if(
          this->fleet.loads.begin(), this->fleet.loads.end(),
          [&](const auto& at) { return at >= from && at < from + window; });
      max_loads = std::max(max_loads, static_cast<int>(count));
    }
    return max_loads;
  }

  struct answer {
    group_order order;
    order_result result;
    absl::Time at;
    int64_t fence = 0;
  };
  absl::Time now = absl::FromUnixSeconds(1000);
  standin::fleet_emulator fleet;
  group_controller controller;
  routing_config config;
  bool requests_seen = false;
  int64_t fence = 0;
  std::deque<answer> answers;
  /// Maximum number of orders in one step.
  size_t max_orders_per_step = 0;
  random_stream random;
};

}  // namespace spokesail::test
