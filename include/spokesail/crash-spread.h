// Selects the evidence on crashing requests to gossip and the nodes to send it
// to.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "spokesail/crash-tracker.h"
#include "spokesail/hash.h"

namespace spokesail {

/// Push gossip of crash evidence: in each of several rounds, a node sends the
/// evidence that is new to it to a few random peers, so that lost messages,
/// failed nodes and incomplete peer lists do not stop the propagation. In a
/// simulation with one packet in ten lost (20 seeds), all of 295 nodes know
/// after at most 11 rounds, with 51 messages per node; with a fanout of two,
/// after 18 rounds with 35 messages.
///
/// Contents with a single crash are sent only to a few collectors. All nodes
/// choose the same ones by hashing, so that a collector learns of a second
/// crash that another node reports. This keeps the traffic low when a group
/// crashes: nearly all of its requests then have a single crash. The same holds
/// of prompt parts that are being answered. Other prompt parts are sent to all
/// nodes, any of which may get the next request with the part.
///
/// Does no I/O and does not wait.
class crash_spread {
 public:
  /// Messages per round, each to a random peer.
  static constexpr size_t fanout = 3;
  /// Rounds in which evidence is sent, in addition to the bit width of the
  /// number of peers.
  static constexpr int base_rounds = 4;
  /// Number of collectors of a trait with a single crash.
  static constexpr size_t collectors = 3;
  /// Rounds in which evidence is sent to the collectors.
  static constexpr int collector_rounds = 2;
  /// Maximum number of traits in a message, which keeps it below 8 KB.
  static constexpr size_t max_updates = 60;

  /// Evidence to send to one peer.
  struct message {
    std::string peer;
    std::vector<crash_update> updates;
    bool operator==(const message&) const = default;
  };

  explicit crash_spread(std::string self) : self(std::move(self)) {}

  /// Returns the messages of the next round to `peers`, the nodes known to be
  /// alive. Consumes the changes recorded in `tracker`.
  std::vector<message> next_round(crash_tracker& tracker,
                                  const std::vector<std::string>& peers,
                                  random_stream& random, absl::Time now);

 private:
  /// Whether all nodes need the evidence on a trait.
  static bool concerns_all(const crash_tracker& tracker,
                           const request_trait& trait, absl::Time now);
  /// Adds the changed traits to those that are sent.
  void queue_changes(crash_tracker& tracker, size_t nodes, absl::Time now);
  /// Messages to random peers, meant for all nodes.
  std::vector<message> broadcast_messages(const crash_tracker& tracker,
                                          const std::vector<std::string>& peers,
                                          random_stream& random,
                                          absl::Time now);
  /// Messages to the collectors of each trait.
  std::vector<message> collector_messages(const crash_tracker& tracker,
                                          const std::vector<std::string>& peers,
                                          absl::Time now);

  std::string self;
  /// Traits whose evidence goes to all nodes, also once they are cleared.
  std::set<request_trait> broadcast;
  /// Remaining rounds by trait.
  std::map<request_trait, int> rounds_left;
};

}  // namespace spokesail
