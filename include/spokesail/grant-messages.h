// Messages that request and grant sends to servers with limited rates.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "spokesail/server-limits.h"

namespace spokesail {

/// A number of requests to one start of a server.
struct server_request_count {
  std::string server;
  /// Tells the starts of one id apart; 0 if it is not known.
  int64_t incarnation = 0;
  int count = 0;
  bool operator==(const server_request_count&) const = default;
};

/// Asks the holder of the lease for requests that may be sent.
struct grant_request {
  /// Given back with the answer, so that its time counts from the question.
  uint64_t nonce = 0;
  std::vector<server_request_count> wanted;
  /// The sender's state of these servers' rate limits.
  std::vector<limit_report> limits = {};
  bool operator==(const grant_request&) const = default;
};

/// What the holder grants, for a fixed time from the question on.
struct grant_response {
  uint64_t nonce = 0;
  std::vector<server_request_count> granted;
  /// Limits for which the holder's state is newer than the asker's.
  std::vector<limit_report> limits = {};
  bool operator==(const grant_response&) const = default;
};

}  // namespace spokesail
