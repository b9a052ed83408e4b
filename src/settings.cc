#include "spokesail/settings.h"

#include "yaml.h"

namespace spokesail {
namespace {

constexpr int64_t minute_ms = 60 * 1000;

void read_timing(yaml_map timing, node_options& node) {
  node.heartbeat_period =
      timing.milliseconds("beat_ms", node.heartbeat_period, 50, minute_ms);
  node.probe_period =
      timing.milliseconds("probe_ms", node.probe_period, 50, minute_ms);
  node.probe_deadline = timing.milliseconds("probe_deadline_ms",
                                            node.probe_deadline, 50, minute_ms);
  node.presence_window = timing.milliseconds(
      "presence_window_ms", node.presence_window, 100, minute_ms);
  node.member_window = timing.milliseconds("member_window_ms",
                                           node.member_window, 100, minute_ms);
  node.poll_after =
      timing.milliseconds("poll_after_ms", node.poll_after, 500, minute_ms);
  node.stop_delay =
      timing.milliseconds("stop_delay_ms", node.stop_delay, 0, minute_ms);
  lease_timing& lease = node.controller.lease;
  lease.duration =
      timing.milliseconds("lease_ms", lease.duration, 1000, 10 * minute_ms);
  lease.renew_period = timing.milliseconds("lease_renew_ms", lease.renew_period,
                                           100, 10 * minute_ms);
  lease.margin =
      timing.milliseconds("lease_margin_ms", lease.margin, 100, minute_ms);
  node.controller.order_deadline = timing.milliseconds(
      "order_deadline_ms", node.controller.order_deadline, 100, minute_ms);
  node.controller.drain_settle = timing.milliseconds(
      "drain_settle_ms", node.controller.drain_settle, 100, minute_ms);
  if (lease.renew_period + lease.margin >= lease.duration) {
    timing.add_fault("lease_renew_ms", absl::FormatDuration(lease.renew_period),
                     "less than lease_ms without lease_margin_ms");
  }
  if (node.presence_window < node.probe_period + node.heartbeat_period) {
    timing.add_fault("presence_window_ms",
                     absl::FormatDuration(node.presence_window),
                     "at least probe_ms and beat_ms together");
  }
  timing.check_unknown_keys();
}

void read_limits(yaml_map limits, entry_limits& out) {
  out.connections =
      static_cast<int>(limits.integer("connections", out.connections, 8, 8192));
  out.body_bytes = limits.integer("body_bytes", out.body_bytes, 1024, 64 << 20);
  out.read_deadline = limits.milliseconds("read_deadline_ms", out.read_deadline,
                                          100, minute_ms);
  limits.check_unknown_keys();
}

}  // namespace

boost::leaf::result<settings> read_settings(const std::string& file) {
  yaml_error error;
  settings out;
  yaml_map root(load_yaml(file, error.faults), file, "", error.faults);
  if (!error.faults.empty()) return boost::leaf::new_error(std::move(error));
  out.self.name = root.name("name");
  out.self.hall = root.name("hall");
  out.self.http_address = root.address("http_address", true);
  out.self.peer_address = root.address("peer_address", true);
  yaml_map platform = root.map("platform");
  out.platform_address = platform.address("address", true);
  out.platform_deadline = platform.milliseconds(
      "deadline_ms", out.platform_deadline, 100, minute_ms);
  platform.check_unknown_keys();
  for (auto& peer : root.maps("peers")) {
    out.peers.push_back({peer.name("hall"), peer.address("address", true)});
    peer.check_unknown_keys();
  }
  read_limits(root.map("limits"), out.limits);
  out.node.self = out.self;
  read_timing(root.map("timing"), out.node);
  root.check_unknown_keys();
  if (!error.faults.empty()) return boost::leaf::new_error(std::move(error));
  return out;
}

}  // namespace spokesail
