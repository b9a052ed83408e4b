// What operators state: models, plain services and workspaces.
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
  /// Wanted replicas by data hall.
  std::map<std::string, int> replicas;
  /// A planned change never takes a hall below this many serving replicas.
  int minimum_serving = 0;
  /// Higher goes first when hosts or weight loads are short.
  int importance = 0;
  /// Whether a replica may cross fabric domains when nothing else is left.
  bool cross_domain = false;
  /// Requests that one replica runs at once.
  int max_concurrent = 8;
  bool operator==(const model_config&) const = default;
};

/// A plain service beside the model engines.
struct service_config {
  std::string name;
  /// Requests in flight at one host.
  int max_concurrent = 16;
  /// Methods that may be sent again when their fate is unknown.
  std::vector<std::string> repeatable_methods = {"GET", "HEAD"};
  bool operator==(const service_config&) const = default;
};

/// A customer of the system and its share.
struct workspace_config {
  std::string name;
  /// Share of a contended group against other workspaces.
  int weight = 1;
  /// Accepted requests a second over one entry host; 0 for no limit.
  double rate = 0;
  /// Highest request priority that its callers may ask for, 0 to 9.
  int max_priority = 9;
  bool operator==(const workspace_config&) const = default;
};

/// Limits that hold everywhere.
struct limits_config {
  /// Requests waiting for one model or service at one entry host.
  int queue_length = 256;
  /// Weight loads that run at once in one data hall.
  int concurrent_loads = 4;
  /// Whether spare hosts load the weights of a model of their domain ahead.
  bool preload_spares = true;
  /// Deadline of a request that names none.
  absl::Duration default_deadline = absl::Seconds(120);
  /// How long a group waits for a lost member before it is replaced.
  absl::Duration repair_grace = absl::Seconds(3);
  bool operator==(const limits_config&) const = default;
};

/// One accepted configuration, as a whole.
struct configuration {
  std::vector<model_config> models;
  std::vector<service_config> services;
  std::vector<workspace_config> workspaces;
  limits_config limits;
  bool operator==(const configuration&) const = default;
};

/// The head document: which bundle is in force, and who accepted it.
struct config_head {
  int64_t revision = 0;
  std::string digest;
  std::string operator_name;
  std::string accepted_at;
  bool operator==(const config_head&) const = default;
};

/// Finds a value by its name; null if there is none.
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
