// Measures group downtime and unusable ("stranded") accelerators under seeded
// failures, through the reducer in virtual time, for each domain policy.
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "fake-hall.h"
#include "spokesail/hash.h"

namespace spokesail::test {
namespace {

/// A hall, the replicas it has to serve, and how often its hosts fail.
struct scenario {
  const char* name;
  int domains;
  int hosts_per_domain;
  /// Replica sizes and numbers.
  std::vector<std::pair<int, int>> models;
  absl::Duration time;
  absl::Duration mean_between_failures;
  absl::Duration load_time;
};

struct results {
  double downtime = 0;
  double stranded = 0;
  size_t violations = 0;
};

results run(const scenario& s, policy_kind policy, bool preload,
            uint64_t seed) {
  fake_options options;
  options.seed = seed;
  options.nodes = 3;
  options.domains = s.domains;
  options.hosts_per_domain = s.hosts_per_domain;
  options.load_time = s.load_time;
  options.node.controller.policy = policy;
  fake_hall hall(options);
  configuration config = one_model(1, 0);
  config.models.clear();
  config.limits.concurrent_loads = 32;
  config.limits.preload_spares = preload;
  for (const auto& [size, replicas] : s.models) {
    model_config model;
    model.name = "m" + std::to_string(size);
    model.hosts_per_replica = size;
    model.replicas = {{"hall", replicas}};
    model.importance = size;
    config.models.push_back(model);
  }
  hall.accept(config);
  hall.run_for(absl::Minutes(3));
  hall.downtime = 0;
  hall.stranded = 0;
  random_stream random;
  random.engine.seed(seed);
  const absl::Time end = hall.now + s.time;
  std::vector<std::pair<absl::Time, std::string>> recoveries;
  while (hall.now < end) {
    const double wait = -std::log(1 - random.unit());
    hall.run_for(wait * s.mean_between_failures);
    std::erase_if(recoveries, [&](const auto& back) {
      if (back.first > hall.now) return false;
      hall.revive_host(back.second);
      return true;
    });
    auto it = hall.hosts.begin();
    std::advance(it, random.below(hall.hosts.size()));
    const std::string domain = it->second.info.domain;
    const bool whole_domain = random.below(20) == 0;
    for (auto& [name, host] : hall.hosts) {
      const bool hit =
          whole_domain ? host.info.domain == domain : name == it->first;
      if (!hit || !host.alive) continue;
      hall.kill_host(name);
      const double minutes = 2 + 8 * random.unit();
      recoveries.emplace_back(hall.now + absl::Minutes(minutes), name);
    }
  }
  return {hall.downtime, hall.stranded, hall.violations.size()};
}

void print(const scenario& s, int seeds, const char* only, bool preload) {
  const std::pair<const char*, policy_kind> policies[] = {
      {"first-fit", policy_kind::first_fit},
      {"best-fit", policy_kind::best_fit},
      {"whole-replica", policy_kind::whole_replica}};
  for (const auto& [name, kind] : policies) {
    if (only && std::strcmp(only, name) != 0) continue;
    results sum;
    for (int seed = 1; seed <= seeds; seed++) {
      const results f = run(s, kind, preload, static_cast<uint64_t>(seed));
      sum.downtime += f.downtime;
      sum.stranded += f.stranded;
      sum.violations += f.violations;
    }
    const double hours = absl::ToDoubleHours(s.time) * seeds;
    std::printf("%-8s %-14s %18.1f %26.0f %10zu\n", s.name, name,
                sum.downtime / hours, sum.stranded / hours, sum.violations);
  }
}

int bench_main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  // placement-bench [SEEDS [POLICY [cold|warm [today|target]]]]
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 5;
  // Today: one hall of about 17 workers. Target: 86 workers a hall.
  const scenario today = {"today",
                          3,
                          6,
                          {{2, 4}, {4, 1}},
                          absl::Hours(1),
                          absl::Minutes(4),
                          absl::Seconds(60)};
  const scenario target = {"target",
                           5,
                           18,
                           {{16, 4}, {2, 5}},
                           absl::Minutes(30),
                           absl::Minutes(1),
                           absl::Seconds(60)};
  std::printf("%-8s %-14s %18s %26s %10s\n", "size", "policy",
              "group-s down / h", "accelerator-s stranded / h", "violations");
  const char* only = argc > 2 ? argv[2] : nullptr;
  const bool preload = argc <= 3 || std::strcmp(argv[3], "cold") != 0;
  const bool small = argc <= 4 || std::strcmp(argv[4], "target") != 0;
  const bool large = argc <= 4 || std::strcmp(argv[4], "today") != 0;
  if (small) print(today, seeds, only, preload);
  if (large) print(target, seeds, only, preload);
  return 0;
}

}  // namespace
}  // namespace spokesail::test

int main(int argc, char** argv) {
  return spokesail::test::bench_main(argc, argv);
}
