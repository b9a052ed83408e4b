// Uses the library without the daemon: computes a placement of one model over
// two fabric domains and prints its groups.
#include <iostream>

#include "spokesail/placement.h"

int main() {
  spokesail::configuration config;
  spokesail::model_config model;
  model.name = "review";
  model.hosts_per_replica = 2;
  model.replicas = {{"north", 2}};
  config.models.push_back(model);

  const auto policy = spokesail::make_whole_replica_fit();
  spokesail::plan_input in;
  in.config = &config;
  in.hall = "north";
  in.now = absl::UnixEpoch();
  in.policy = policy.get();
  for (const std::string domain : {"a", "b"}) {
    for (const std::string number : {"1", "2", "3"}) {
      spokesail::host_view host;
      host.info.name = domain + number;
      host.info.domain = domain;
      host.report = spokesail::host_report{};
      in.hosts[host.info.name] = host;
    }
  }
  for (const auto& g : spokesail::plan(in).next.groups) {
    std::cout << g.name << ":";
    for (const auto& host : g.hosts) std::cout << " " << host;
    std::cout << "\n";
  }
  return 0;
}
