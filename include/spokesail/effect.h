// Effects: the actions that the reducer requests of the daemon, as data.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "spokesail/event.h"

namespace spokesail {

/// Start or stop watching the platform.
struct watch_effect {
  bool enabled = false;
  bool operator==(const watch_effect&) const = default;
};

/// Read the watched kinds once, without a watch.
struct poll_effect {
  bool operator==(const poll_effect&) const = default;
};

/// Make one platform call.
struct platform_effect {
  call_owner owner = call_owner::poll;
  platform_call call;
  bool operator==(const platform_effect&) const = default;
};

/// Probe a backend server.
struct probe_effect {
  std::string host;
  std::string address;
  /// Whether the server is a plain service, which has a health check but no
  /// report.
  bool service = false;
  bool operator==(const probe_effect&) const = default;
};

/// Send an order to a backend server.
struct order_effect {
  order content;
  bool operator==(const order_effect&) const = default;
};

/// Send a heartbeat to a peer.
struct heartbeat_effect {
  std::string address;
  heartbeat content;
  bool operator==(const heartbeat_effect&) const = default;
};

/// Acknowledge a heartbeat.
struct heartbeat_ack_effect {
  uint64_t token = 0;
  heartbeat_ack content;
  bool operator==(const heartbeat_ack_effect&) const = default;
};

/// Send objects to a peer.
struct push_effect {
  std::string address;
  std::vector<object> objects;
  bool operator==(const push_effect&) const = default;
};

/// Request from a peer the objects that are newer than the known ones.
struct pull_effect {
  std::string address;
  std::vector<object_stamp> known;
  bool operator==(const pull_effect&) const = default;
};

/// Reply to a peer's request for newer objects.
struct pull_reply_effect {
  uint64_t token = 0;
  std::vector<object> objects;
  bool operator==(const pull_reply_effect&) const = default;
};

/// Start an attempt.
struct start_attempt_effect {
  attempt_start content;
  bool operator==(const start_attempt_effect&) const = default;
};

/// Cancel an attempt and close its connection.
struct cancel_attempt_effect {
  std::string attempt;
  bool operator==(const cancel_attempt_effect&) const = default;
};

/// End a request with its outcome.
struct finish_request_effect {
  uint64_t request = 0;
  outcome result;
  bool operator==(const finish_request_effect&) const = default;
};

/// One field of a log line.
struct log_field {
  std::string key;
  std::string value;
  bool operator==(const log_field&) const = default;
};

/// Write a log line and, if `audited`, an entry in the platform's audit trail.
struct log_effect {
  std::string name;
  std::vector<log_field> fields;
  bool audited = false;
  bool operator==(const log_effect&) const = default;
};

/// Reply to a status query with JSON text.
struct status_reply_effect {
  uint64_t token = 0;
  std::string text;
  bool operator==(const status_reply_effect&) const = default;
};

/// Publish the node's readiness and gauges.
struct gauges_effect {
  bool ready = false;
  int64_t revision = 0;
  int open_groups = 0;
  int stranded_accelerators = 0;
  int members = 0;
  int queued = 0;
  bool leads = false;
  bool operator==(const gauges_effect&) const = default;
};

/// Exit the process: after a stop, all requests have ended.
struct exit_effect {
  bool operator==(const exit_effect&) const = default;
};

using effect =
    std::variant<watch_effect, poll_effect, platform_effect, probe_effect,
                 order_effect, heartbeat_effect, heartbeat_ack_effect,
                 push_effect, pull_effect, pull_reply_effect,
                 start_attempt_effect, cancel_attempt_effect,
                 finish_request_effect, log_effect, status_reply_effect,
                 gauges_effect, exit_effect>;

}  // namespace spokesail
