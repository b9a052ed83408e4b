// Everything that can happen to a node. Each event carries its time.
#pragma once

#include <absl/time/time.h>

#include <string>
#include <variant>
#include <vector>

#include "spokesail/controller.h"
#include "spokesail/document.h"
#include "spokesail/membership.h"
#include "spokesail/requests.h"
#include "spokesail/view.h"

namespace spokesail {

/// Time has passed.
struct tick_event {};

/// The platform's watch or list gave an object.
struct object_event {
  object seen;
};

/// A list of a whole kind is complete: what it lacks is gone.
struct list_event {
  std::string kind;
  std::vector<object> objects;
  int64_t version = 0;
};

/// A peer passed objects on.
struct peer_objects_event {
  std::vector<object> objects;
};

/// A peer asks for what is newer than it knows; answered under `token`.
struct pull_event {
  uint64_t token = 0;
  std::vector<object_stamp> known;
};

/// A probe of a host ended.
struct probe_event {
  std::string host;
  std::string address;
  bool reachable = false;
  host_report report;
  host_load load;
  absl::Time sent;
};

/// A beat came in; it is answered under `token`.
struct heartbeat_event {
  uint64_t token = 0;
  heartbeat content;
};

/// A beat that was sent at `sent` was answered.
struct heartbeat_ack_event {
  heartbeat_ack content;
  absl::Time sent;
};

/// Which part of the node waits for a platform call.
enum class call_owner { lease, placement, bundle, poll };

/// A platform call ended.
struct platform_event {
  call_owner owner = call_owner::poll;
  platform_answer answer;
};

/// An order ended.
struct order_event {
  std::string host;
  order_status status = order_status::unreachable;
};

/// A caller's request came in.
struct request_event {
  request_info info;
};

/// An attempt ended.
struct attempt_event {
  uint64_t request = 0;
  std::string attempt;
  attempt_end end = attempt_end::broken;
  /// Whether the backend server could not be reached at all.
  bool unreachable = false;
};

/// A caller hung up.
struct caller_gone_event {
  uint64_t request = 0;
};

/// The process was told to stop.
struct stop_event {};

/// An operator asks for the node's status, answered under `token`.
struct status_event {
  uint64_t token = 0;
};

using event_body =
    std::variant<tick_event, object_event, list_event, peer_objects_event,
                 pull_event, probe_event, heartbeat_event, heartbeat_ack_event,
                 platform_event, order_event, request_event, attempt_event,
                 caller_gone_event, stop_event, status_event>;

/// An event and when it came, on a clock that runs through suspends.
struct event {
  absl::Time at;
  event_body body;
};

}  // namespace spokesail
