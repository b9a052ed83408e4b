// The operators' configuration of routes, backend services and workspaces.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spokesail {

/// One model that an engine service can run, and the timing of its groups.
struct model_profile {
  std::string name;
  /// Hosts that one serving group needs.
  int group_size = 1;
  /// Expected fraction of the service's load that is for this model, 0 to 1.
  double share = 1;
  /// Factor on all times of the engine.
  double pace = 1;
  /// Time to load the weights from the weight store.
  absl::Duration cold_load;
  /// Time to load weights that are staged on the host.
  absl::Duration staged_load;
  bool operator==(const model_profile&) const = default;
};

/// The published timing figures of a service's model engines.
struct engine_profile {
  /// Requests that one group runs at once.
  int slots = 1;
  /// Tokens that one group's memory holds.
  int64_t kv_tokens = 0;
  /// Decode steps of a pass with running requests, before the next prefill.
  int decode_steps_per_pass = 1;
  /// Time of one step, and the time that each request and each thousand tokens
  /// of context add to it.
  double step_ms = 1;
  double step_ms_per_request = 0;
  double step_ms_per_1k_context = 0;
  /// Prefill speed, in prompt tokens per millisecond.
  double prefill_tokens_per_ms = 1;
  /// Largest number of prompt tokens that one step prefills.
  int prefill_chunk = 1;
  /// Mean number of tokens of prompts and answers, before any were seen.
  double mean_prompt_tokens = 0;
  double mean_answer_tokens = 0;
  /// Maximum age of the state in a server's report.
  absl::Duration report_lag;
  /// Loads from the weight store that may start per second, and that may run at
  /// once before they slow each other down.
  double loads_per_s = 1;
  int loads_at_once = 1;
  /// Number of models whose weights one host keeps.
  int staged_models = 1;
  /// Time from an open order until the group serves.
  absl::Duration open_time;
  std::vector<model_profile> models;
  bool operator==(const engine_profile&) const = default;
};

/// A type of backend servers.
struct backend_service {
  std::string name;
  /// Connections that one server accepts from all nodes together.
  int max_connections = 0;
  /// Requests per second that one server can handle while it is slow after a
  /// start; 0 if it is never slow.
  double cold_requests_per_s = 0;
  /// Set for services of model engines.
  std::optional<engine_profile> engine;
  bool operator==(const backend_service&) const = default;
};

/// A service that receives a part of a route's requests.
struct route_target {
  std::string service;
  int weight = 1;
  bool operator==(const route_target&) const = default;
};

/// How requests with one host name and path prefix are handled.
struct route_rule {
  std::string name;
  std::string host;
  std::string prefix;
  std::vector<route_target> targets;
  /// Whether a request may run more than once.
  bool repeatable = false;
  /// Whether answers are event streams.
  bool streaming = false;
  /// Whether another server can resume a broken stream.
  bool resumable = false;
  /// Whether requests need no key.
  bool public_access = false;
  /// Maximum number of backend servers that one request is sent to.
  int attempts = 1;
  /// 0 is the most urgent.
  int priority = 0;
  /// Longest time that a request is held.
  absl::Duration timeout = absl::Seconds(60);
  /// An answer (of a stream: its first event) within this time is in time.
  absl::Duration goal = absl::Seconds(1);
  /// Longest gap between two events of a stream that is in time.
  absl::Duration event_gap_goal = absl::Seconds(1);
  bool operator==(const route_rule&) const = default;
};

/// A customer, identified by its keys.
struct api_workspace {
  std::string name;
  std::vector<std::string> keys;
  int priority = 0;
  bool operator==(const api_workspace&) const = default;
};

/// Limits on the size and duration of callers' requests.
struct caller_limits {
  uint32_t head_bytes = 16 << 10;
  uint64_t body_bytes = 4 << 20;
  /// Longest time from the first byte of a request to the end of its head.
  absl::Duration head_timeout = absl::Seconds(3);
  /// Longest time that a connection is idle between requests.
  absl::Duration idle_timeout = absl::Seconds(15);
  bool operator==(const caller_limits&) const = default;
};

/// One accepted configuration, as a whole.
struct routing_config {
  int64_t version = 0;
  std::vector<route_rule> routes;
  std::vector<backend_service> services;
  std::vector<api_workspace> workspaces;
  caller_limits limits;
  bool operator==(const routing_config&) const = default;
};

/// Index of a configuration, which it owns. Immutable.
class routing_table {
 public:
  explicit routing_table(routing_config config);

  const routing_config& config() const { return this->content; }

  /// The route of `host` with the longest prefix of `path`; null if there is
  /// none. Case and port of the host are ignored.
  const route_rule* find_route(std::string_view host,
                               std::string_view path) const;

  /// The workspace that holds `key`; null if none does.
  const api_workspace* find_workspace(std::string_view key) const;

  /// Null if there is no such service.
  const backend_service* find_service(std::string_view name) const;

 private:
  routing_config content;
  absl::flat_hash_map<std::string, std::vector<const route_rule*>> by_host;
  absl::flat_hash_map<std::string, const api_workspace*> by_key;
  absl::flat_hash_map<std::string, const backend_service*> by_service;
};

/// A model of an engine service; null if the service does not run it.
const model_profile* find_model(const engine_profile& engine,
                                std::string_view name);

/// Number of hosts that one group needs, by model name.
std::map<std::string, int> group_sizes(const engine_profile& engine);

}  // namespace spokesail
