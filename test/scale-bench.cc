// Cost of a node's work as the fleet grows: a step of the group controller,
// totals of requests in flight, the choice of a relay, server changes, gossip,
// and the allocation of hosts by demand.
#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

#include "fleet-emulator.h"
#include "node-message.h"
#include "server-changes.h"
#include "spokesail/group-controller.h"
#include "spokesail/load-table.h"
#include "spokesail/relay-choice.h"

namespace spokesail {
namespace {

using standin::fleet_emulator;

constexpr int hosts_per_domain = 37;
constexpr int halls = 5;
constexpr absl::Duration step_time = absl::Milliseconds(40);

backend_service engine_service() {
  engine_profile engine;
  engine.slots = 22;
  engine.decode_steps_per_pass = 8;
  engine.step_ms = 6;
  engine.prefill_tokens_per_ms = 46;
  engine.prefill_chunk = 2048;
  engine.loads_per_s = 80;
  engine.loads_at_once = 60;
  engine.open_time = absl::Milliseconds(300);
  engine.models = {
      {"large", 16, 0.5, 1, absl::Seconds(16), absl::Milliseconds(1600)},
      {"small", 8, 0.5, 0.6, absl::Seconds(12), absl::Milliseconds(1100)}};
  return {"lm", 1000, 0, engine};
}

/// An emulated fleet of about `hosts` whose groups are serving.
class running_fleet {
 public:
  explicit running_fleet(int64_t hosts)
      : fleet(engine_service(), {}, 1), controller({}) {
    this->config.services = {engine_service()};
    for (int64_t i = 0; i < hosts; ++i) {
      const int64_t domain = i / hosts_per_domain;
      this->fleet.add(absl::StrCat("d", domain), this->now, "10.0.0.1:80",
                      absl::StrCat("h", domain % halls));
    }
    this->controller.start_term(1);
    for (int i = 0; i < 500; ++i) this->step(false);
  }

  void step(bool requests_seen) {
    this->now += step_time;
    this->fleet.advance(this->now);
    const group_actions actions = this->controller.step(
        this->fleet.directory(), this->config, requests_seen, this->now);
    for (const auto& order : actions.orders) {
      const order_result result = this->fleet.send_order(order, this->now);
      this->controller.on_order_result(order, result, this->now);
    }
    for (const auto& id : actions.report_requests) {
      this->controller.on_report(id, this->fleet.report(id), this->now);
    }
  }

  absl::Time now = absl::FromUnixSeconds(1000);
  fleet_emulator fleet;
  group_controller controller;
  routing_config config;
};

void controller_step(benchmark::State& state) {
  running_fleet run(state.range(0));
  for (auto _ : state) {
    run.now += step_time;
    benchmark::DoNotOptimize(
        run.controller.step(run.fleet.directory(), run.config, true, run.now));
  }
}
BENCHMARK(controller_step)->Arg(50)->Arg(250)->Arg(931)->Arg(2000);

/// Requests in flight at 70 endpoints, as reported by `peers` peers.
load_table busy_table(int64_t peers, absl::Time now) {
  constexpr int endpoints = 70;
  load_table loads;
  for (int64_t n = 0; n < peers; ++n) {
    std::vector<endpoint_load> report;
    for (int p = 0; p < endpoints; p += 7) {
      report.push_back({absl::StrCat("large.", p), 2, 800});
    }
    loads.update_peer(absl::StrCat("n", n), report, now);
  }
  return loads;
}

void load_total(benchmark::State& state) {
  const absl::Time now = absl::FromUnixSeconds(1000);
  load_table loads = busy_table(state.range(0), now);
  for (auto _ : state) benchmark::DoNotOptimize(loads.total("large.7", now));
}
BENCHMARK(load_total)->Arg(8)->Arg(59)->Arg(200);

void choose_relay_in_hall(benchmark::State& state) {
  relay_view view;
  view.self = {"n0", 0.125F};
  view.holder = "other";
  for (int64_t i = 1; i < state.range(0); ++i) {
    view.hall_peers.push_back({absl::StrCat("n", i), 0.125F});
  }
  for (auto _ : state) benchmark::DoNotOptimize(choose_relay(view));
}
BENCHMARK(choose_relay_in_hall)->Arg(9)->Arg(59)->Arg(200);

void apply_one_change(benchmark::State& state) {
  running_fleet run(state.range(0));
  server_directory directory = run.fleet.directory();
  listed_server changed = directory.servers().begin()->second;
  // Above any revision of the emulated fleet.
  int64_t revision = 1000000;
  for (auto _ : state) {
    changed.revision = ++revision;
    directory.update(changed);
    directory.advance_revision(revision);
    benchmark::DoNotOptimize(
        server_changes_since(directory, revision - 1, run.now));
  }
}
BENCHMARK(apply_one_change)->Arg(50)->Arg(931)->Arg(2000);

void gossip_round_trip(benchmark::State& state) {
  gossip content;
  for (int64_t i = 0; i < state.range(0); ++i) {
    content.places.push_back({absl::StrCat("large.", i), 2, 800});
  }
  const node_message message{"front-1", "hall", 7, 9, 0.125F, content};
  for (auto _ : state) {
    const std::string bytes = encode(message);
    benchmark::DoNotOptimize(decode_message(bytes.data(), bytes.size()));
  }
}
BENCHMARK(gossip_round_trip)->Arg(4)->Arg(70);

/// One second of demand applied to the allocation of `range` hosts.
void allocate_hosts_by_demand(benchmark::State& state) {
  const engine_profile engine = *engine_service().engine;
  host_capacity capacity;
  capacity.halls = halls;
  const auto domains = static_cast<size_t>(state.range(0) / hosts_per_domain);
  capacity.domains.assign(domains, hosts_per_domain - 6);
  const count_by_model wanted = allocate_hosts(
      engine, capacity, {{"large", domains * 0.5}, {"small", domains * 1.0}});
  const need_by_model need = {{"large", domains * 0.51},
                              {"small", domains * 1.0}};
  model_shares shares;
  absl::Time now = absl::FromUnixSeconds(1000);
  for (auto _ : state) {
    now += absl::Seconds(1);
    benchmark::DoNotOptimize(
        shares.add_sample(engine, capacity, wanted, need, now));
  }
}
BENCHMARK(allocate_hosts_by_demand)->Arg(174)->Arg(620)->Arg(850);

/// The total demand reported by `range` peers, for two models each.
void sum_of_demand(benchmark::State& state) {
  const absl::Time now = absl::FromUnixSeconds(1000);
  const std::vector<model_demand> demand = {{"lm", "large", 2, 2840, 232, 0},
                                            {"lm", "small", 5, 3370, 580, 0}};
  demand_table table;
  for (int64_t n = 0; n < state.range(0); ++n) {
    const std::string hall = absl::StrCat("h", n % halls);
    table.update_node(absl::StrCat("n", n), hall, demand, now);
  }
  for (auto _ : state) benchmark::DoNotOptimize(table.total(demand, now));
}
BENCHMARK(sum_of_demand)->Arg(83)->Arg(295)->Arg(400);

/// Size in bytes of gossip with four endpoints, without and with the demand for
/// two models.
void gossip_with_demand(benchmark::State& state) {
  gossip content;
  for (int i = 0; i < 4; ++i) {
    content.places.push_back({absl::StrCat("large.", i), 2, 800});
  }
  if (state.range(0) != 0) {
    content.demand = {{"lm", "large", 2.3F, 2840.7F, 232.3F, 0.3F},
                      {"lm", "small", 5.3F, 3370.7F, 580.3F, 0}};
  }
  const node_message message{"front-1", "hall", 7, 9, 0.125F, content};
  for (auto _ : state) benchmark::DoNotOptimize(encode(message));
  state.counters["bytes"] = static_cast<double>(encode(message).size());
}
BENCHMARK(gossip_with_demand)->Arg(0)->Arg(1);

}  // namespace
}  // namespace spokesail

BENCHMARK_MAIN();
