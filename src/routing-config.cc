// Look-ups in a configuration.
#include "spokesail/routing-config.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>

namespace spokesail {

routing_table::routing_table(routing_config config)
    : content(std::move(config)) {
  for (const auto& route : this->content.routes) {
    this->by_host[absl::AsciiStrToLower(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : this->by_host) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const route_rule* a, const route_rule* b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
  for (const auto& workspace : this->content.workspaces) {
    for (const auto& key : workspace.keys) this->by_key[key] = &workspace;
  }
  for (const auto& service : this->content.services) {
    this->by_service[service.name] = &service;
  }
}

const route_rule* routing_table::find_route(std::string_view host,
                                            std::string_view path) const {
  const size_t colon = host.find(':');
  const auto found = this->by_host.find(absl::AsciiStrToLower(std::string(
      colon == std::string_view::npos ? host : host.substr(0, colon))));
  if (found == this->by_host.end()) return nullptr;
  for (const route_rule* route : found->second) {
    if (path.substr(0, route->prefix.size()) == route->prefix) return route;
  }
  return nullptr;
}

const api_workspace* routing_table::find_workspace(std::string_view key) const {
  const auto found = this->by_key.find(std::string(key));
  return found == this->by_key.end() ? nullptr : found->second;
}

const backend_service* routing_table::find_service(
    std::string_view name) const {
  const auto found = this->by_service.find(std::string(name));
  return found == this->by_service.end() ? nullptr : found->second;
}

const model_profile* find_model(const engine_profile& engine,
                                std::string_view name) {
  const auto found =
      std::find_if(engine.models.begin(), engine.models.end(),
                   [&](const auto& model) { return model.name == name; });
  return found == engine.models.end() ? nullptr : &*found;
}

std::map<std::string, int> group_sizes(const engine_profile& engine) {
  std::map<std::string, int> sizes;
  for (const auto& model : engine.models) sizes[model.name] = model.group_size;
  return sizes;
}

}  // namespace spokesail
