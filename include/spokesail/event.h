// Events: the inputs of the reducer. Each event carries its time.
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

/// A watch of the platform delivered an object.
struct object_event {
  object updated_object;
};

/// A complete list of a kind. Known objects that it lacks have been deleted.
struct list_event {
  std::string kind;
  std::vector<object> objects;
  int64_t version = 0;
};

/// A peer sent objects.
struct peer_objects_event {
  std::vector<object> objects;
};

/// A peer requests the objects that are newer than the ones it knows. The
/// reply carries `token`.
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

/// A heartbeat arrived. The acknowledgement carries `token`.
struct heartbeat_event {
  uint64_t token = 0;
  heartbeat content;
};

/// A heartbeat that was sent at `sent` was acknowledged.
struct heartbeat_ack_event {
  heartbeat_ack content;
  absl::Time sent;
};

/// The part of the node that made a platform call.
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

/// A caller's request arrived.
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

/// A caller closed its connection.
struct caller_disconnected_event {
  uint64_t request = 0;
};

/// The process received a signal to stop.
struct stop_event {};

/// An operator requests the node's status. The reply carries `token`.
struct status_event {
  uint64_t token = 0;
};

using event_body =
    std::variant<tick_event, object_event, list_event, peer_objects_event,
                 pull_event, probe_event, heartbeat_event, heartbeat_ack_event,
                 platform_event, order_event, request_event, attempt_event,
                 caller_disconnected_event, stop_event, status_event>;

/// An event and its time, on a clock that keeps running while the machine is
/// suspended.
struct event {
  absl::Time at;
  event_body body;
};

}  // namespace spokesail
