// What backend servers report about themselves.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace spokesail {

/// A host's phase in the life cycle of its serving group.
enum class member_phase { none, joining, ready, open, closing, broken };

/// A phase's name, for logs and documents.
const char* phase_name(member_phase phase);

/// A host's report of the group that it belongs to.
struct group_membership {
  std::string group;
  /// Grows with each new list of members.
  int64_t epoch = 0;
  /// Position in the list of members; 0 is the head, which receives the
  /// group's requests.
  int rank = 0;
  member_phase phase = member_phase::none;
  bool operator==(const group_membership&) const = default;
};

/// A backend server's entry in the platform.
struct server_entry {
  /// Unique among the servers that run at one time; a server that restarts may
  /// have the same.
  std::string id;
  std::string service;
  /// IP address and port.
  std::string address;
  std::string hall;
  /// Fabric domain of its host; empty for plain services.
  std::string domain;
  int slots = 0;
  /// Whether it has announced that it will stop.
  bool draining = false;
  /// Models whose weights are stored on its host.
  std::vector<std::string> staged;
  group_membership membership;
  /// Distinguishes the starts of one id and grows from each to the next; 0 if
  /// the server does not report it.
  int64_t incarnation = 0;
  /// Remaining time for which it was still slow after its start when it wrote
  /// this.
  absl::Duration cold_remaining = absl::ZeroDuration();
  bool operator==(const server_entry&) const = default;
};

/// A server's answer to a status query. The load in it lags.
struct server_report {
  /// Of the start that answers, as in its entry; 0 if it does not report it.
  int64_t incarnation = 0;
  /// Orders that it has begun since its start.
  int64_t orders_started = 0;
  bool order_running = false;
  int waiting = 0;
  int running = 0;
  /// Above 1 when the server is slow.
  double pace = 1;
  group_membership membership;
  bool operator==(const server_report&) const = default;
};

/// What a group order requests of a server.
enum class group_order_kind { join, open, close, leave, stage };

/// An order's name, for logs.
const char* order_name(group_order_kind kind);

/// An order to a backend server about its group.
struct group_order {
  group_order_kind kind = group_order_kind::join;
  std::string server;
  std::string address;
  std::string group;
  int64_t epoch = 0;
  std::string model;
  /// Ids of the members of a join, its head first.
  std::vector<std::string> members;
  /// Refused unless the server has begun exactly this many orders; a delayed
  /// order is thereby invalidated by any later one.
  int64_t expected_orders = 0;
  /// Fencing number of the sender's lease.
  int64_t fence = 0;
  /// Whether a close aborts requests that still run.
  bool abort_running = false;
  bool operator==(const group_order&) const = default;
};

/// How an order ended. After `unknown` it may still be carried out later, or
/// have been already.
enum class order_result {
  begun,
  already_done,
  conflict,
  outdated_epoch,
  other_server,
  rejected,
  unreachable,
  unknown
};

/// A result's name, for logs.
const char* order_result_name(order_result result);

}  // namespace spokesail
