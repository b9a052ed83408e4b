// The static share: the part of servers' rate limits that a node uses without a
// grant.
#pragma once

#include <absl/time/time.h>

#include <deque>
#include <functional>
#include <map>

#include "spokesail/hash.h"
#include "spokesail/server-limits.h"

namespace spokesail {

/// Divides a fixed fraction of each server's limit evenly among the nodes, so
/// that requests can be sent without a lease holder and during network
/// partitions. A node's share can be far less than one request per second, so
/// it is issued as slots at a fixed interval. A random initial offset keeps the
/// nodes from sending at the same time. Unused slots expire and do not
/// accumulate. Does no I/O and does not wait.
class limit_share {
 public:
  /// Fraction of a limit that is divided among the nodes; the lease holder
  /// grants the rest.
  static constexpr double fraction = 0.3;
  /// Time after which an unused slot expires.
  static constexpr absl::Duration slot_lifetime = absl::Milliseconds(500);

  /// Issues the slots that are due and returns whether one is available. The
  /// server's limit is `per_s` requests per second, shared by `nodes` nodes.
  bool has(const server_instance& server, double per_s, int nodes,
           absl::Time now, random_stream& random);
  /// Consumes the oldest slot. Returns its expiry; nothing if no slot is
  /// available.
  std::optional<absl::Time> use(const server_instance& server, absl::Time now);

  /// Removes the servers for which `exists` returns false.
  void forget(const std::function<bool(const server_instance&)>& exists);

 private:
  /// The slots of one server.
  struct slots {
    /// Start of the next slot.
    absl::Time next;
    /// Interval between slots.
    absl::Duration period;
    /// Start times of the available slots, oldest first.
    std::deque<absl::Time> open;
  };

  std::map<server_instance, slots> by_server;
};

}  // namespace spokesail
