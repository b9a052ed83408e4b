// Grants that a node holds for servers that are cold or advertise a rate limit,
// and those that it requests.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "spokesail/cold-grant.h"
#include "spokesail/cold-timing.h"

namespace spokesail {

/// One node's grants. Each ends a fixed time after the question that it
/// answers, whenever the answer came.
class cold_allowance {
 public:
  /// Servers that are asked for at once, and requests for each of them.
  static constexpr size_t most_servers = 32;
  static constexpr int most_requests = 4;
  /// Requests asked for at once for each server that advertises a limit.
  static constexpr int most_limited_requests = 32;

  explicit cold_allowance(cold_timing timing = {})
      : timing(timing), pause(timing.ask_period) {}

  /// Records demand for one request to a server, up to `most` requests per
  /// question.
  void wish(const std::string& server, int64_t incarnation,
            int most = most_requests);

  /// Whether there is something to ask for, and it is time to.
  bool due(absl::Time now) const;
  /// The question that is due, under a number that was not used before; its
  /// wishes are done with.
  cold_request ask(uint64_t nonce, absl::Time now);

  /// Takes an answer. Returns the requests that it grants; 0 if its question is
  /// not known, was answered, or is too long ago.
  int take(const cold_grant& said, absl::Time now);

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
  const cold_timing& times() const { return this->timing; }

 private:
  struct portion {
    absl::Time until;
    int count = 0;
  };

  cold_timing timing;
  std::map<std::string, server_count> wishes;
  /// When each open question was asked.
  std::map<uint64_t, absl::Time> questions;
  /// By server, in the order in which they end.
  std::map<std::string, std::deque<portion>> grants;
  absl::Time asked = absl::InfinitePast();
  /// Time from the last question to the next.
  absl::Duration pause;
  /// Whether a question was answered since the last.
  bool answered = true;
};

}  // namespace spokesail
