#include "spokesail/config.h"

#include <nlohmann/json.hpp>

namespace spokesail {

using json = nlohmann::json;

namespace {

template <typename T>
const T* find_named(const std::vector<T>& all, const std::string& name) {
  for (const auto& one : all) {
    if (one.name == name) return &one;
  }
  return nullptr;
}

}  // namespace

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(model_config, name, version,
                                                adapters, hosts_per_replica,
                                                replicas, minimum_serving,
                                                importance, cross_domain,
                                                max_concurrent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service_config, name,
                                                max_concurrent,
                                                repeatable_methods)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(workspace_config, name, weight,
                                                rate, max_priority)

static void to_json(json& j, const limits_config& l) {
  j = {{"queue_length", l.queue_length},
       {"concurrent_loads", l.concurrent_loads},
       {"preload_spares", l.preload_spares},
       {"default_deadline_ms", absl::ToInt64Milliseconds(l.default_deadline)},
       {"repair_grace_ms", absl::ToInt64Milliseconds(l.repair_grace)}};
}

static void from_json(const json& j, limits_config& l) {
  const limits_config d;
  l.queue_length = j.value("queue_length", d.queue_length);
  l.concurrent_loads = j.value("concurrent_loads", d.concurrent_loads);
  l.preload_spares = j.value("preload_spares", d.preload_spares);
  l.default_deadline = absl::Milliseconds(j.value(
      "default_deadline_ms", absl::ToInt64Milliseconds(d.default_deadline)));
  l.repair_grace = absl::Milliseconds(
      j.value("repair_grace_ms", absl::ToInt64Milliseconds(d.repair_grace)));
}

void to_json(json& j, const configuration& c) {
  j = {{"models", c.models},
       {"services", c.services},
       {"workspaces", c.workspaces},
       {"limits", c.limits}};
}

void from_json(const json& j, configuration& c) {
  c.models = j.value("models", std::vector<model_config>{});
  c.services = j.value("services", std::vector<service_config>{});
  c.workspaces = j.value("workspaces", std::vector<workspace_config>{});
  c.limits = j.value("limits", limits_config{});
}

void to_json(json& j, const config_head& h) {
  j = {{"revision", h.revision},
       {"digest", h.digest},
       {"operator", h.operator_name},
       {"accepted_at", h.accepted_at}};
}

void from_json(const json& j, config_head& h) {
  h.revision = j.value("revision", int64_t{0});
  h.digest = j.value("digest", "");
  h.operator_name = j.value("operator", "");
  h.accepted_at = j.value("accepted_at", "");
}

const model_config* find_model(const configuration& c,
                               const std::string& name) {
  return find_named(c.models, name);
}

const service_config* find_service(const configuration& c,
                                   const std::string& name) {
  return find_named(c.services, name);
}

const workspace_config* find_workspace(const configuration& c,
                                       const std::string& name) {
  return find_named(c.workspaces, name);
}

}  // namespace spokesail
