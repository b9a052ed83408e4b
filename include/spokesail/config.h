// The operators' configuration: models, plain services and workspaces.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace spokesail {

/// A model, served by replicas that each span several hosts.
struct model_config {
  std::string name;
  std::string version = "1";
  std::vector<std::string> adapters;
  int hosts_per_replica = 1;
  /// Desired number of replicas by data hall.
  std::map<std::string, int> replicas;
  /// A planned change never reduces a hall below this many serving replicas.
  int minimum_serving = 0;
  /// Models with a higher value go first when hosts or weight loads are scarce.
  int importance = 0;
  /// Whether a replica may span fabric domains if no single domain has room.
  bool cross_domain = false;
  /// Maximum number of requests that one replica runs at once.
  int max_concurrent = 8;
  bool operator==(const model_config&) const = default;
};

/// A plain service, which runs no model engine.
struct service_config {
  std::string name;
  /// Maximum number of requests in flight at one host.
  int max_concurrent = 16;
  /// Methods that may be retried when it is unknown whether they ran.
  std::vector<std::string> repeatable_methods = {"GET", "HEAD"};
  bool operator==(const service_config&) const = default;
};

/// A customer of the system and its share of capacity.
struct workspace_config {
  std::string name;
  /// Weight of its share of a contended group, relative to other workspaces.
  int weight = 1;
  /// Accepted requests per second at one entry host; 0 for no limit.
  double rate = 0;
  /// Highest request priority that its callers may use, 0 to 9.
  int max_priority = 9;
  bool operator==(const workspace_config&) const = default;
};

/// Limits that apply to all data halls.
struct limits_config {
  /// Maximum requests that wait for one model or service at one entry host.
  int queue_length = 256;
  /// Maximum weight loads that run at once in one data hall.
  int concurrent_loads = 4;
  /// Whether spare hosts load the weights of a model of their domain in
  /// advance.
  bool preload_spares = true;
  /// Deadline of a request that specifies none.
  absl::Duration default_deadline = absl::Seconds(120);
  /// How long a group waits for a lost member before it is replaced.
  absl::Duration repair_grace = absl::Seconds(3);
  bool operator==(const limits_config&) const = default;
};

/// One complete accepted configuration.
struct configuration {
  std::vector<model_config> models;
  std::vector<service_config> services;
  std::vector<workspace_config> workspaces;
  limits_config limits;
  bool operator==(const configuration&) const = default;
};

/// The head document: identifies the bundle in force and the operator who
/// accepted it.
struct config_head {
  int64_t revision = 0;
  std::string digest;
  std::string operator_name;
  std::string accepted_at;
  bool operator==(const config_head&) const = default;
};

/// Finds an entry by name; null if there is none.
const model_config* find_model(const configuration& c, const std::string& name);
const service_config* find_service(const configuration& c,
                                   const std::string& name);
const workspace_config* find_workspace(const configuration& c,
                                       const std::string& name);

void to_json(nlohmann::json& j, const configuration& c);
void from_json(const nlohmann::json& j, configuration& c);
void to_json(nlohmann::json& j, const config_head& h);
void from_json(const nlohmann::json& j, config_head& h);

}  // namespace spokesail
