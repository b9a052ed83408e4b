// Messages that request and issue grants for servers that are cold or advertise
// a rate limit.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "spokesail/server-limits.h"

namespace spokesail {

/// A number of requests to a server instance.
struct server_request_count {
  std::string server;
  /// Distinguishes restarts under the same id; 0 if unknown.
  int64_t incarnation = 0;
  int count = 0;
  bool operator==(const server_request_count&) const = default;
};

/// Requests grants from the lease holder.
struct grant_request {
  /// Returned in the response, so that the sender can count the lifetime of the
  /// grants from its request.
  uint64_t nonce = 0;
  /// Number of requests that the sender has demand for, by server.
  std::vector<server_request_count> wanted;
  /// The sender's state of these servers' rate limits.
  std::vector<limit_report> limits = {};
  bool operator==(const grant_request&) const = default;
};

/// Grants requests for a fixed time after the grant request.
struct grant_response {
  uint64_t nonce = 0;
  std::vector<server_request_count> granted;
  /// Rate limits for which the lease holder has newer state than the requester.
  std::vector<limit_report> limits = {};
  bool operator==(const grant_response&) const = default;
};

}  // namespace spokesail
