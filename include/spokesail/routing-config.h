// What operators state about routes, backend services and workspaces.
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

/// One model that an engine service can run, and how its groups behave.
struct model_profile {
  std::string name;
  /// Hosts that one serving group needs.
  int group_size = 1;
  /// Part of the service's work that is expected to ask for this model, 0 to 1.
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
  /// Token steps that a pass with writers plays before it reads again.
  int decode_steps_per_pass = 1;
  /// Time of one step, and what each request and each thousand tokens of
  /// context add to it.
  double step_ms = 1;
  double step_ms_per_request = 0;
  double step_ms_per_1k_context = 0;
  /// Prompt tokens that are read in a millisecond.
  double prefill_tokens_per_ms = 1;
  /// Prompt tokens that one step reads at most.
  int prefill_chunk = 1;
  /// Mean tokens of prompts and answers, before any are seen.
  double mean_prompt_tokens = 0;
  double mean_answer_tokens = 0;
  /// How old the state in a server's report may be.
  absl::Duration report_lag;
  /// Loads from the weight store that may start a second, and run at once
  /// before they slow each other.
  double loads_per_s = 1;
  int loads_at_once = 1;
  /// Models whose weights one host keeps.
  int staged_models = 1;
  /// Time from an open order until the group serves.
  absl::Duration open_time;
  std::vector<model_profile> models;
  bool operator==(const engine_profile&) const = default;
};

/// A kind of backend servers.
struct backend_service {
  std::string name;
  /// Connections that one server takes from all callers together.
  int max_connections = 0;
  /// Requests a second that one server bears while it is slow after a start;
  /// 0 if it is never slow.
  double cold_requests_per_s = 0;
  /// Set for services of model engines.
  std::optional<engine_profile> engine;
  bool operator==(const backend_service&) const = default;
};

/// A service that takes part of a route's requests.
struct route_target {
  std::string service;
  int weight = 1;
  bool operator==(const route_target&) const = default;
};

/// How requests of one host name and path prefix are handled.
struct route_rule {
  std::string name;
  std::string host;
  std::string prefix;
  std::vector<route_target> targets;
  /// Whether a request may run more than once.
  bool repeatable = false;
  /// Whether answers are streams of events.
  bool streaming = false;
  /// Whether another server can go on with a broken stream.
  bool resumable = false;
  /// Whether requests need no key.
  bool public_access = false;
  /// Backend servers that one request may be sent to.
  int attempts = 1;
  /// 0 is the most urgent.
  int priority = 0;
  /// Longest time that a request is held.
  absl::Duration timeout = absl::Seconds(60);
  /// An answer (of a stream: its first event) within this is in time.
  absl::Duration goal = absl::Seconds(1);
  /// Longest pause between two events of a stream that is in time.
  absl::Duration event_gap_goal = absl::Seconds(1);
  bool operator==(const route_rule&) const = default;
};

/// A customer, known by its keys.
struct api_workspace {
  std::string name;
  std::vector<std::string> keys;
  int priority = 0;
  bool operator==(const api_workspace&) const = default;
};

/// Bounds on what callers may send, and how long they may take.
struct caller_limits {
  uint32_t head_bytes = 16 << 10;
  uint64_t body_bytes = 4 << 20;
  /// Longest time from the first byte of a request to the end of its head.
  absl::Duration head_timeout = absl::Seconds(3);
  /// Longest time that a connection rests between requests.
  absl::Duration idle_timeout = absl::Seconds(15);
  bool operator==(const caller_limits&) const = default;
};

/// One accepted configuration of routes, as a whole.
struct routing_config {
  int64_t version = 0;
  std::vector<route_rule> routes;
  std::vector<backend_service> services;
  std::vector<api_workspace> workspaces;
  caller_limits limits;
  bool operator==(const routing_config&) const = default;
};

/// Look-ups in a configuration, which it keeps. Immutable.
class routing_table {
 public:
  explicit routing_table(routing_config config);

  const routing_config& config() const { return this->content; }

  /// The route of `host` whose prefix begins `path` and is longest; null if
  /// there is none. The host is compared without case and port.
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

/// A model of an engine service; null if it does not run it.
const model_profile* find_model(const engine_profile& engine,
                                std::string_view name);

/// Hosts that one group needs, by the name of its model.
std::map<std::string, int> group_sizes(const engine_profile& engine);

}  // namespace spokesail
