// What a node's work costs as the fleet grows: a step of the group controller,
// a look at the sums in flight, the choice of a relay, and news of servers.
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

constexpr int hosts_of_domain = 37;
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

/// A fleet of about `hosts` whose groups serve.
class standing_fleet {
 public:
  explicit standing_fleet(int64_t hosts)
      : fleet(engine_service(), {}, 1), controller({}) {
    this->config.services = {engine_service()};
    for (int64_t i = 0; i < hosts; ++i) {
      const int64_t domain = i / hosts_of_domain;
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
      const order_result result = this->fleet.give(order, this->now);
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
  standing_fleet run(state.range(0));
  for (auto _ : state) {
    run.now += step_time;
    benchmark::DoNotOptimize(
        run.controller.step(run.fleet.directory(), run.config, true, run.now));
  }
}
BENCHMARK(controller_step)->Arg(50)->Arg(250)->Arg(931)->Arg(2000);

/// Sums of requests in flight at 70 places, told by `range` peers.
load_table busy_table(int64_t peers, absl::Time now) {
  constexpr int places = 70;
  load_table loads;
  for (int64_t n = 0; n < peers; ++n) {
    std::vector<endpoint_load> said;
    for (int p = 0; p < places; p += 7) {
      said.push_back({absl::StrCat("large.", p), 2, 800});
    }
    loads.update_peer(absl::StrCat("n", n), said, now);
  }
  return loads;
}

void load_total(benchmark::State& state) {
  const absl::Time now = absl::FromUnixSeconds(1000);
  load_table loads = busy_table(state.range(0), now);
  for (auto _ : state) benchmark::DoNotOptimize(loads.total("large.7", now));
}
BENCHMARK(load_total)->Arg(8)->Arg(59)->Arg(200);

void relay_choice_of_hall(benchmark::State& state) {
  relay_view view;
  view.self = {"n0", 0.125F};
  view.holder = "other";
  for (int64_t i = 1; i < state.range(0); ++i) {
    view.hall_peers.push_back({absl::StrCat("n", i), 0.125F});
  }
  for (auto _ : state) benchmark::DoNotOptimize(choose_relay(view));
}
BENCHMARK(relay_choice_of_hall)->Arg(9)->Arg(59)->Arg(200);

void apply_one_change(benchmark::State& state) {
  standing_fleet run(state.range(0));
  server_directory directory = run.fleet.directory();
  listed_server changed = directory.servers().begin()->second;
  // Later than any change of the emulated fleet.
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
  gossip said;
  for (int64_t i = 0; i < state.range(0); ++i) {
    said.places.push_back({absl::StrCat("large.", i), 2, 800});
  }
  const node_message message{"front-1", "hall", 7, 9, 0.125F, said};
  for (auto _ : state) {
    const std::string bytes = encode(message);
    benchmark::DoNotOptimize(decode_message(bytes.data(), bytes.size()));
  }
}
BENCHMARK(gossip_round_trip)->Arg(4)->Arg(70);

/// One second of demand taken into the division of so many hosts.
void divide_hosts_by_demand(benchmark::State& state) {
  const engine_profile engine = *engine_service().engine;
  host_capacity room;
  room.halls = halls;
  const auto domains = static_cast<size_t>(state.range(0) / hosts_of_domain);
  room.domains.assign(domains, hosts_of_domain - 6);
  const count_by_model wanted = allocate_hosts(
      engine, room, {{"large", domains * 0.5}, {"small", domains * 1.0}});
  const need_by_model need = {{"large", domains * 0.51},
                              {"small", domains * 1.0}};
  model_shares shares;
  absl::Time now = absl::FromUnixSeconds(1000);
  for (auto _ : state) {
    now += absl::Seconds(1);
    benchmark::DoNotOptimize(
        shares.add_sample(engine, room, wanted, need, now));
  }
}
BENCHMARK(divide_hosts_by_demand)->Arg(174)->Arg(620)->Arg(850);

/// The sum of what so many peers say that callers ask for, two models each.
void sum_of_demand(benchmark::State& state) {
  const absl::Time now = absl::FromUnixSeconds(1000);
  const std::vector<model_demand> said = {{"lm", "large", 2, 2840, 232, 0},
                                          {"lm", "small", 5, 3370, 580, 0}};
  demand_table table;
  for (int64_t n = 0; n < state.range(0); ++n) {
    const std::string hall = absl::StrCat("h", n % halls);
    table.update_node(absl::StrCat("n", n), hall, said, now);
  }
  for (auto _ : state) benchmark::DoNotOptimize(table.total(said, now));
}
BENCHMARK(sum_of_demand)->Arg(83)->Arg(295)->Arg(400);

/// Bytes of gossip with four places, and what two models add.
void gossip_with_demand(benchmark::State& state) {
  gossip said;
  for (int i = 0; i < 4; ++i) {
    said.places.push_back({absl::StrCat("large.", i), 2, 800});
  }
  if (state.range(0) != 0) {
    said.demand = {{"lm", "large", 2.3F, 2840.7F, 232.3F, 0.3F},
                   {"lm", "small", 5.3F, 3370.7F, 580.3F, 0}};
  }
  const node_message message{"front-1", "hall", 7, 9, 0.125F, said};
  for (auto _ : state) benchmark::DoNotOptimize(encode(message));
  state.counters["bytes"] = static_cast<double>(encode(message).size());
}
BENCHMARK(gossip_with_demand)->Arg(0)->Arg(1);

}  // namespace
}  // namespace spokesail

BENCHMARK_MAIN();
