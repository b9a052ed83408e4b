// Measures one admission decision with many groups and a full queue.
#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

#include "spokesail/request-admission.h"

namespace spokesail {
namespace {

engine_profile bench_engine() {
  engine_profile out;
  out.slots = 34;
  out.decode_steps_per_pass = 5;
  out.step_ms = 6;
  out.prefill_tokens_per_ms = 46;
  out.mean_prompt_tokens = 714;
  out.mean_answer_tokens = 115;
  out.models = {{"small", 4, 1, 1, absl::Seconds(12), absl::Seconds(1)}};
  return out;
}

admission_request bench_request(uint64_t id, absl::Time now) {
  admission_request out;
  out.id = id;
  out.pool = "lm/small";
  out.kind = absl::StrCat("route-", id % 3);
  out.workspace = absl::StrCat("workspace-", id % 24);
  out.caller = absl::StrCat("caller-", id);
  out.rank = static_cast<int>(id % 10);
  out.size = {714, 115};
  out.cost_ms = 50;
  out.bytes = 1000;
  out.arrived = now;
  out.due = now + absl::Milliseconds(250);
  out.deadline = now + absl::Seconds(6);
  return out;
}

/// Decides on the last request in the queue, for a number of groups and of
/// waiting requests.
void decide(benchmark::State& state) {
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  const engine_profile engine = bench_engine();
  std::vector<group_option> options;
  for (int i = 0; i < state.range(0); ++i) {
    options.push_back({absl::StrCat("g", i), i % 34, 100.0 * i, 1, 0});
  }
  const admission_view view = {
      engine, engine.models[0], options, options.size(), 83, {}};
  request_admission admission;
  random_stream random{std::mt19937_64(1)};
  uint64_t id = 0;
  const auto waiting = static_cast<uint64_t>(state.range(1));
  while (id < waiting) admission.enqueue(bench_request(++id, now), now);
  const auto last = bench_request(id, now);
  for (auto _ : state) {
    const auto decision = admission.decide(last, view, now, random);
    if (decision.action != admission_action::wait) admission.enqueue(last, now);
  }
  state.counters["waiting"] =
      static_cast<double>(admission.waiting("lm/small"));
}
BENCHMARK(decide)->Args({60, 1})->Args({60, 24})->Args({60, 64});

}  // namespace
}  // namespace spokesail

BENCHMARK_MAIN();
