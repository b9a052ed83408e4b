// Grants that a node holds for servers that are cold or advertise a rate limit,
// and those that it requests.
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

/// One node's grants. Each ends a fixed time after the question that it
/// answers, whenever the answer came.
class grant_client {
 public:
  /// Servers that are asked for at once, and requests for each of them.
  static constexpr size_t max_servers = 32;
  static constexpr int max_requests = 4;
  /// Requests asked for at once for each server that advertises a limit.
  static constexpr int max_limited_requests = 32;

  explicit grant_client(grant_timing timing = {})
      : timing(timing), request_interval(timing.min_request_interval) {}

  /// Records demand for one request to a server, up to `most` requests per
  /// question.
  void add_demand(const std::string& server, int64_t incarnation,
                  int most = max_requests);

  /// Whether there is something to ask for, and it is time to.
  bool request_due(absl::Time now) const;
  /// The question that is due, under a number that was not used before; its
  /// wishes are done with.
  grant_request make_request(uint64_t nonce, absl::Time now);

  /// Takes an answer. Returns the requests that it grants; 0 if its question is
  /// not known, was answered, or is too long ago.
  int accept_response(const grant_response& said, absl::Time now);

  /// Whether a grant for a server is available.
  bool has(const std::string& server, absl::Time now) const;
  /// Uses one request up. Returns until when it may be sent; nothing if there
  /// is none.
  std::optional<absl::Time> use(const std::string& server, absl::Time now);

  /// Drops questions and grants that are over. Returns the requests that were
  /// granted and not used.
  int expire(absl::Time now);

  /// Requests that may be sent.
  int held(absl::Time now) const;
  const grant_timing& times() const { return this->timing; }

 private:
  struct grant_batch {
    absl::Time until;
    int count = 0;
  };

  grant_timing timing;
  std::map<std::string, server_request_count> demand_by_server;
  /// When each open question was asked.
  std::map<uint64_t, absl::Time> pending_requests;
  /// By server, in the order in which they end.
  std::map<std::string, std::deque<grant_batch>> grants;
  absl::Time last_request_at = absl::InfinitePast();
  /// Time from the last question to the next.
  absl::Duration request_interval;
  /// Whether a question was answered since the last.
  bool last_request_granted = true;
};

}  // namespace spokesail
