// Requests and holds grants for servers that are cold or advertise a rate
// limit.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "spokesail/grant-messages.h"
#include "spokesail/grant-timing.h"

namespace spokesail {

/// The grants of one node. A grant expires a fixed time after it was requested,
/// however late the response arrived, so that delayed responses cannot raise
/// the rate. Does no I/O and does not wait.
class grant_client {
 public:
  /// Maximum number of servers in a grant request.
  static constexpr size_t max_servers = 32;
  /// Maximum number of requests for a cold server in a grant request.
  static constexpr int max_requests = 4;
  /// The same for a server that advertises a limit.
  static constexpr int max_limited_requests = 32;

  explicit grant_client(grant_timing timing = {})
      : timing(timing), request_interval(timing.min_request_interval) {}

  /// Records demand for one more request to a server, up to `max_count` until
  /// the next grant request. Ignored if `max_servers` other servers have
  /// demand.
  void add_demand(const std::string& server, int64_t incarnation,
                  int max_count = max_requests);

  /// Whether there is demand and the interval between grant requests is over.
  bool request_due(absl::Time now) const;
  /// Returns a grant request for the recorded demand, which is cleared. `nonce`
  /// must not have been used before.
  grant_request make_request(uint64_t nonce, absl::Time now);

  /// Adds the grants of a response. Returns the number of requests granted; 0
  /// if the nonce is unknown or already answered, or the grants have expired.
  int accept_response(const grant_response& response, absl::Time now);

  /// Whether a grant for a server is available.
  bool has(const std::string& server, absl::Time now) const;
  /// Consumes one granted request. Returns the time until which it may be sent;
  /// nothing if no grant is available.
  std::optional<absl::Time> use(const std::string& server, absl::Time now);

  /// Removes expired grants and unanswered grant requests. Returns the number
  /// of granted requests that expired unused.
  int expire(absl::Time now);

  /// Number of granted requests that are available.
  int held(absl::Time now) const;
  const grant_timing& times() const { return this->timing; }

 private:
  /// Requests to one server from one response.
  struct grant_batch {
    absl::Time until;
    int count = 0;
  };

  grant_timing timing;
  std::map<std::string, server_request_count> demand_by_server;
  /// Times of the unanswered grant requests, by nonce.
  std::map<uint64_t, absl::Time> pending_requests;
  /// By server, in the order in which they expire.
  std::map<std::string, std::deque<grant_batch>> grants;
  absl::Time last_request_at = absl::InfinitePast();
  /// Interval from the last grant request to the next.
  absl::Duration request_interval;
  /// Whether a grant has arrived since the last grant request.
  bool last_request_granted = true;
};

}  // namespace spokesail
