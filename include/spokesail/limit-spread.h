// Selects the reports of rate limits to gossip and the nodes to send them to.
#pragma once

#include <string>
#include <vector>

#include "spokesail/hash.h"
#include "spokesail/push-rounds.h"
#include "spokesail/server-limits.h"

namespace spokesail {

/// Push gossip of limit changes: in each of several rounds, a node sends
/// the changes that are new to it to a few random peers. Does no I/O and does
/// not wait.
class limit_spread {
 public:
  /// Messages per round.
  static constexpr size_t fanout = push_rounds<server_instance>::fanout;
  /// Maximum number of reports in a message.
  static constexpr size_t max_reports = 60;

  /// Reports to send to one peer.
  struct message {
    std::string peer;
    std::vector<limit_report> reports;
    bool operator==(const message&) const = default;
  };

  /// Returns the messages of the next round to `peers`. Consumes the changes
  /// recorded in `limits`.
  std::vector<message> next_round(server_limits& limits,
                                  const std::vector<std::string>& peers,
                                  random_stream& random, absl::Time now);

 private:
  push_rounds<server_instance> rounds;
};

}  // namespace spokesail
