#include "spokesail/config-reader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <filesystem>
#include <system_error>

#include "yaml.h"

namespace spokesail {
namespace {

namespace fs = std::filesystem;

constexpr int max_hosts = 64;
constexpr int max_replicas = 1000;
constexpr int64_t day_ms = 24LL * 3600 * 1000;

model_config read_model(yaml_map& m) {
  model_config out;
  out.name = m.name("name");
  out.version = m.text("version", out.version);
  out.adapters = m.string_list("adapters", {});
  out.hosts_per_replica =
      static_cast<int>(m.integer("hosts_per_replica", 1, 1, max_hosts));
  out.replicas = m.integers("replicas", 0, max_replicas);
  out.minimum_serving =
      static_cast<int>(m.integer("minimum_serving", 0, 0, max_replicas));
  out.importance = static_cast<int>(m.integer("importance", 0, 0, 100));
  out.cross_domain = m.boolean("cross_domain", false);
  out.max_concurrent = static_cast<int>(
      m.integer("max_concurrent", out.max_concurrent, 1, 4096));
  for (const auto& [hall, replicas] : out.replicas) {
    if (replicas > 0 && out.minimum_serving > replicas) {
      m.add_fault(
          "minimum_serving", std::to_string(out.minimum_serving),
          absl::StrCat("at most the ", replicas, " replicas of ", hall));
    }
  }
  m.check_unknown_keys();
  return out;
}

service_config build_service_state(yaml_map& m) {
  service_config out;
  out.name = m.name("name");
  out.max_concurrent = static_cast<int>(
      m.integer("max_concurrent", out.max_concurrent, 1, 4096));
  out.repeatable_methods =
      m.string_list("repeatable_methods", out.repeatable_methods);
  m.check_unknown_keys();
  return out;
}

workspace_config read_workspace(yaml_map& m) {
  workspace_config out;
  out.name = m.name("name");
  out.weight = static_cast<int>(m.integer("weight", out.weight, 1, 1000));
  out.rate = m.number("rate", out.rate, 0, 1e6);
  out.max_priority =
      static_cast<int>(m.integer("max_priority", out.max_priority, 0, 9));
  m.check_unknown_keys();
  return out;
}

limits_config read_limits(yaml_map m) {
  limits_config out;
  out.queue_length =
      static_cast<int>(m.integer("queue_length", out.queue_length, 1, 100000));
  out.concurrent_loads = static_cast<int>(
      m.integer("concurrent_loads", out.concurrent_loads, 1, 1000));
  out.preload_spares = m.boolean("preload_spares", out.preload_spares);
  out.default_deadline =
      m.milliseconds("default_deadline_ms", out.default_deadline, 100, day_ms);
  out.repair_grace =
      m.milliseconds("repair_grace_ms", out.repair_grace, 0, day_ms);
  m.check_unknown_keys();
  return out;
}

/// Adds `value` to `all`; reports a fault if its name is already in use.
template <typename T>
void add_named(std::vector<T>& all, T value, yaml_map& m,
               const std::string& kind) {
  for (const auto& other : all) {
    if (other.name == value.name) {
      m.add_fault("name", value.name, "a unique " + kind + " name");
    }
  }
  all.push_back(std::move(value));
}

void read_file(const std::string& file, configuration& out, bool& limits_seen,
               std::vector<yaml_fault>& faults) {
  const size_t before = faults.size();
  yaml_map root(load_yaml(file, faults), file, "", faults);
  if (faults.size() > before) return;
  for (auto& m : root.maps("models")) {
    add_named(out.models, read_model(m), m, "model");
  }
  for (auto& m : root.maps("services")) {
    add_named(out.services, build_service_state(m), m, "service");
  }
  for (auto& m : root.maps("workspaces")) {
    add_named(out.workspaces, read_workspace(m), m, "workspace");
  }
  if (root.has("limits")) {
    if (limits_seen) {
      root.add_fault("limits", "a duplicate", "one in the whole directory");
    }
    limits_seen = true;
  }
  yaml_map limits = root.map("limits");
  if (root.has("limits")) out.limits = read_limits(limits);
  root.check_unknown_keys();
}

template <typename T>
void diff_named(const std::string& kind, const std::vector<T>& from,
                const std::vector<T>& to, std::vector<std::string>& lines) {
  const auto find_in = [](const std::vector<T>& all, const T& one) {
    return std::find_if(all.begin(), all.end(),
                        [&](const T& other) { return other.name == one.name; });
  };
  for (const auto& one : from) {
    if (find_in(to, one) == to.end()) {
      lines.push_back(absl::StrCat("- ", kind, " ", one.name));
    }
  }
  for (const auto& one : to) {
    const auto previous = find_in(from, one);
    if (previous == from.end()) {
      lines.push_back(absl::StrCat("+ ", kind, " ", one.name));
    } else if (!(*previous == one)) {
      lines.push_back(absl::StrCat("~ ", kind, " ", one.name));
    }
  }
}

}  // namespace

boost::leaf::result<configuration> read_config(const std::string& directory) {
  yaml_error error;
  configuration out;
  std::vector<std::string> files;
  std::error_code failed;
  for (const auto& entry : fs::directory_iterator(directory, failed)) {
    if (entry.path().extension() == ".yaml") files.push_back(entry.path());
  }
  if (failed || files.empty()) {
    error.faults.push_back(
        {directory, 0, "", "no configuration", "a directory with .yaml files"});
  }
  std::sort(files.begin(), files.end());
  bool limits_seen = false;
  for (const auto& file : files) {
    read_file(file, out, limits_seen, error.faults);
  }
  if (!error.faults.empty()) return boost::leaf::new_error(std::move(error));
  return out;
}

std::vector<std::string> config_diff(const configuration& from,
                                     const configuration& to) {
  std::vector<std::string> lines;
  diff_named("model", from.models, to.models, lines);
  diff_named("service", from.services, to.services, lines);
  diff_named("workspace", from.workspaces, to.workspaces, lines);
  if (!(from.limits == to.limits)) lines.push_back("~ limits");
  return lines;
}

}  // namespace spokesail
