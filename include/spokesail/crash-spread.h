// To whom a node tells what it knows of requests that crash servers.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "spokesail/crash-tracker.h"
#include "spokesail/hash.h"

namespace spokesail {

/// Spreads what a ledger learns: each node passes what is new to it on to a few
/// others drawn at random, for some rounds, so that a lost message, a node that
/// falls or one that nobody lists makes no difference. In virtual time, one
/// packet in ten lost, all of 295 nodes know after 11 rounds at most (20 seeds)
/// for 51 messages from each; told to two in each round, after 18 for 35.
///
/// A request under which one server ended is told only to a few nodes that all
/// choose alike, which see when another node tells of a second: when a group
/// crashes, nearly all of its requests are such.
///
/// Nothing here sends or waits.
class crash_spread {
 public:
  /// Nodes told in one round.
  static constexpr size_t fanout = 3;
  /// Rounds in which a node passes something on, beside one for each doubling
  /// of the fleet.
  static constexpr int base_rounds = 4;
  /// Nodes that are told of a single crash, and in how many rounds.
  static constexpr size_t collectors = 3;
  static constexpr int collector_rounds = 2;
  /// Requests in one message: less than 8 KB.
  static constexpr size_t max_updates = 60;

  /// A message to another node.
  struct message {
    std::string peer;
    std::vector<crash_update> news;
    bool operator==(const message&) const = default;
  };

  explicit crash_spread(std::string self) : self(std::move(self)) {}

  /// What to send in this round, with `peers` known to live. Takes the
  /// ledger's changes.
  std::vector<message> next_round(crash_tracker& ledger,
                                  const std::vector<std::string>& peers,
                                  random_stream& random, absl::Time now);

 private:
  /// Notes what has changed, to be passed on from now on.
  void queue_changes(crash_tracker& ledger, size_t nodes);
  /// What to tell all nodes.
  std::vector<message> broadcast_messages(const crash_tracker& ledger,
                                          const std::vector<std::string>& peers,
                                          random_stream& random,
                                          absl::Time now);
  /// What to tell the collectors of each request alone.
  std::vector<message> collector_messages(const crash_tracker& ledger,
                                          const std::vector<std::string>& peers,
                                          absl::Time now);

  std::string self;
  /// Requests that all nodes are told of, also once they are cleared.
  std::set<request_identity> broadcast;
  /// Rounds that are left, by request.
  std::map<request_identity, int> rounds_left;
};

}  // namespace spokesail
