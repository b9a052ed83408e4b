// The node's state machine: maps state and event to new state and effects.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "spokesail/config.h"
#include "spokesail/controller.h"
#include "spokesail/effect.h"
#include "spokesail/event.h"
#include "spokesail/membership.h"
#include "spokesail/placement.h"
#include "spokesail/presence.h"
#include "spokesail/requests.h"
#include "spokesail/view.h"

namespace spokesail {

/// Timing and sizes of a node.
struct node_options {
  member_info self;
  uint64_t boot = 0;
  uint64_t seed = 1;
  absl::Duration heartbeat_period = absl::Milliseconds(1000);
  absl::Duration probe_period = absl::Milliseconds(500);
  absl::Duration probe_deadline = absl::Milliseconds(500);
  /// A host counts as present for this long after a probe reached it.
  absl::Duration presence_window = absl::Milliseconds(2500);
  /// A peer counts as alive for this long after its latest message.
  absl::Duration member_window = absl::Seconds(3);
  /// A node that has received nothing from a watcher for this long polls the
  /// platform.
  absl::Duration poll_after = absl::Seconds(4);
  /// How long a stopping node waits for the load balancer to notice.
  absl::Duration stop_delay = absl::Seconds(2);
  size_t watchers = 2;
  size_t probers = 2;
  controller_timing controller;
};

/// A probe target of this node.
struct probe_slot {
  std::string address;
  absl::Time sent = absl::InfinitePast();
  bool in_flight = false;
  /// When the last answered probe was sent.
  absl::Time answered = absl::InfinitePast();
};

/// The whole state of a node. It is moved through the reducer, never copied.
struct node_state {
  node_options options;
  random_stream random;
  object_view view;
  membership members;
  presence_table presence;
  controller hall_controller;
  request_table requests;

  std::optional<configuration> config;
  int64_t revision = 0;
  std::string config_digest;
  std::map<std::string, host_info> hosts;
  std::set<std::string> drained;
  placement groups;
  int64_t placement_version = 0;
  /// Since when each host has not been present.
  std::map<std::string, absl::Time> lost_since;

  std::map<std::string, probe_slot> probes;
  int64_t observations_epoch = 1;
  int64_t heartbeat_sequence = 0;
  absl::Time next_heartbeat = absl::InfinitePast();
  bool heartbeat_due = false;
  bool watching = false;
  bool bundle_requested = false;
  absl::Time bundle_requested_at = absl::InfinitePast();
  bool poll_pending = false;
  absl::Time last_platform_contact = absl::InfinitePast();
  absl::Time started = absl::InfinitePast();
  uint64_t write_count = 0;
  std::map<std::string, bool> was_open;
  std::map<std::string, absl::Time> closed_since;
  bool stopping = false;
  absl::Time stop_at = absl::InfiniteFuture();
  gauges_effect gauges;
  absl::Time last_event = absl::InfinitePast();
};

/// Creates the state of a node that starts at `now`.
node_state make_node(const node_options& options, absl::Time now);

/// The result of one event.
struct reduction {
  node_state state;
  std::vector<effect> effects;
};

/// Handles one event. The same state and event always give the same result.
reduction reduce(node_state state, const event& e);

/// Whether `g` may receive requests at `now`: the placement says that it is
/// serving, and every member has itself reported the group and incarnation as
/// ready.
bool group_open(const node_state& state, const group& g, absl::Time now);

}  // namespace spokesail
