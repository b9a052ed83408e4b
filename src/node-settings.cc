#include "node-settings.h"

#include "yaml.h"

namespace spokesail {
namespace {

constexpr double max_seconds = 3600;

constexpr size_t bytes_per_mb = size_t{1} << 20;
constexpr double bytes_per_megabit = 1e6 / 8;

/// Fraction of the drain time for which the group of a server that has
/// announced its stop stays in use. The rest is for running streams to end.
constexpr double leave_hold_fraction = 0.7;

absl::Duration seconds(yaml_map& map, const std::string& key,
                       absl::Duration fallback) {
  return absl::Seconds(
      map.number(key, absl::ToDoubleSeconds(fallback), 0.001, max_seconds));
}

absl::Duration milliseconds(yaml_map& map, const std::string& key,
                            absl::Duration fallback) {
  return absl::Milliseconds(map.number(
      key, absl::ToDoubleMilliseconds(fallback), 1, max_seconds * 1000));
}

void read_bounds(yaml_map bounds, node_settings& out) {
  staleness_bounds& staleness = out.bounds;
  staleness.config_deadline =
      milliseconds(bounds, "config_ms", staleness.config_deadline);
  staleness.revoke_deadline =
      milliseconds(bounds, "revoke_ms", staleness.revoke_deadline);
  staleness.drain_deadline =
      milliseconds(bounds, "drain_ms", staleness.drain_deadline);
  out.keys_fail_closed =
      bounds.boolean("keys_fail_closed", out.keys_fail_closed);
  out.stop_grace = seconds(bounds, "stop_grace_s", out.stop_grace);
  out.retries.ratio = bounds.number("repeat_ratio", out.retries.ratio, 0, 10);
  out.retries.window = seconds(bounds, "repeat_window_s", out.retries.window);
  out.retries.slack = bounds.number("repeat_slack", out.retries.slack, 0, 1e9);
  const absl::Duration none = absl::ZeroDuration();
  const absl::Duration evacuate = milliseconds(bounds, "evacuate_ms", none);
  if (evacuate > none) staleness.evacuate_deadline = evacuate;
  group_controller_options& groups = out.groups;
  groups.leaving_member_grace = leave_hold_fraction * staleness.drain_deadline;
  groups.stall_time = milliseconds(bounds, "stall_ms", groups.stall_time);
  groups.load_window = seconds(bounds, "load_window_s", groups.load_window);
  groups.load_excess = bounds.number("load_excess", groups.load_excess, 0, 10);
  bounds.check_unknown_keys();
}

void read_policy(yaml_map map, node_settings& out) {
  node_policy& policy = out.policy;
  policy.repeat_failed_calls =
      map.boolean("repeat_failed_calls", policy.repeat_failed_calls);
  policy.admit_in_time = map.boolean("admit_in_time", policy.admit_in_time);
  policy.learn_speeds = map.boolean("learn_speeds", policy.learn_speeds);
  group_controller_options& groups = out.groups;
  groups.follow_demand = map.boolean("follow_demand", groups.follow_demand);
  groups.spare_share = map.number("spare_share", groups.spare_share, 0, 0.9);
  groups.spares_serve = map.boolean("spares_serve", groups.spares_serve);
  groups.smaller_yield = map.boolean("smaller_yield", groups.smaller_yield);
  groups.warm_spares = map.boolean("warm_spares", groups.warm_spares);
  map.check_unknown_keys();
}

}  // namespace

boost::leaf::result<node_settings> read_node_settings(const std::string& file) {
  yaml_error error;
  node_settings out;
  // After a holder is lost, another node takes over within the lease's duration
  // plus the spread. Shorter leases cost more store writes, longer ones more
  // group downtime.
  out.lease.duration = absl::Milliseconds(2200);
  out.lease.renew_period = absl::Milliseconds(700);
  out.lease.margin = absl::Milliseconds(500);
  out.lease.takeover_jitter = absl::Milliseconds(400);
  yaml_map root(load_yaml(file, error.faults), file, "", error.faults);
  if (!error.faults.empty()) return boost::leaf::new_error(std::move(error));
  out.node = root.name("node");
  out.hall = root.name("hall");
  yaml_map listen = root.map("listen");
  out.caller_address = listen.address("callers", true);
  out.ready_address = listen.address("ready", true);
  out.metrics_address = listen.address("metrics", true);
  out.peer_address = listen.address("peers", true);
  listen.check_unknown_keys();
  out.platform_address = root.address("platform", true);
  out.seeds = root.string_list("seeds", {});
  // Narrowed to float as in messages, so that equal nodes compare equal.
  out.cores = static_cast<float>(root.number("cores", out.cores, 0.001, 1024));
  out.link_bytes_per_s =
      root.number("link_mbps", 0, 0, 1e6) * bytes_per_megabit;
  out.max_sockets = static_cast<int>(
      root.integer("max_sockets", out.max_sockets, 64, 1 << 20));
  out.memory = static_cast<size_t>(root.integer("memory_mb", 0, 0, 1 << 20)) *
               bytes_per_mb;
  read_bounds(root.map("bounds"), out);
  read_policy(root.map("policy"), out);
  root.check_unknown_keys();
  if (!error.faults.empty()) return boost::leaf::new_error(std::move(error));
  return out;
}

}  // namespace spokesail
