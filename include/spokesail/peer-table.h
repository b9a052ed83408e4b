// The other nodes of the fleet, as one node knows them.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "spokesail/gossip-pacer.h"
#include "spokesail/hash.h"
#include "spokesail/relay-choice.h"

namespace spokesail {

/// A node, as nodes describe each other.
struct peer_info {
  std::string name;
  /// IP number and port at which it receives messages.
  std::string address;
  std::string hall;
  /// Number of processor cores, which may be a fraction.
  float cores = 1;
  bool operator==(const peer_info&) const = default;
};

/// Identifies the set of nodes that a node knows in one data hall.
struct hall_digest {
  std::string hall;
  uint64_t digest = 0;
  /// Time since a node of that hall reported it. A node also asks for what
  /// others know of its own hall, whatever their age.
  absl::Duration age = absl::InfiniteDuration();
  bool operator==(const hall_digest&) const = default;
};

/// Asks a node which other nodes it knows.
struct peer_query {
  /// Copied into the response.
  uint64_t nonce = 0;
  /// Whether a few nodes of each hall are enough.
  bool sample = false;
  /// What the sender knows already; such halls are not sent again.
  std::vector<hall_digest> known;
  bool operator==(const peer_query&) const = default;
};

/// Nodes of one data hall.
struct hall_report {
  std::string hall;
  /// Time since a node of that hall knew them to be alive.
  absl::Duration age = absl::ZeroDuration();
  /// Whether the receiver knows the same nodes; `nodes` is then empty.
  bool unchanged = false;
  std::vector<peer_info> nodes;
  bool operator==(const hall_report&) const = default;
};

/// Response to a `peer_query`, or a part of one.
struct peer_report {
  uint64_t nonce = 0;
  /// Whether the sender has run for long enough to know its own hall.
  bool settled = false;
  /// Whether `halls` has only a few nodes of each.
  bool sample = false;
  std::vector<hall_report> halls;
  bool operator==(const peer_report&) const = default;
};

/// When a node compares its list with another node's: soon after a comparison
/// that brought a node it did not know, since there are then others, and rarely
/// while nothing is new.
class exchange_pacer {
 public:
  static constexpr absl::Duration min_delay = absl::Milliseconds(500);
  static constexpr absl::Duration max_delay = absl::Seconds(5);

  /// Time from this comparison until the next.
  absl::Duration next_delay() {
    const absl::Duration out = this->delay;
    this->delay = std::min(2 * this->delay, max_delay);
    return out;
  }

  /// Call when a node was learned of.
  void on_learned() { this->delay = min_delay; }

 private:
  absl::Duration delay = min_delay;
};

/// Keeps the list of nodes by anti-entropy: a node asks one other node at a
/// time what it knows, with digests of what it knows itself, and is sent the
/// halls that differ. Messages are small while nothing changes, and nobody has
/// to read the whole list from the store. Nodes of a hall hear each other
/// directly, so the state of a hall starts from its own nodes and is dated by
/// its age when it reaches other halls.
class peer_table {
 public:
  /// Nothing is sent to a peer of which nothing was learned for this long.
  static constexpr absl::Duration forget_time = absl::Seconds(60);
  /// Nodes of the asker's hall, and of each other hall, in a sample.
  static constexpr size_t sample_of_hall = 8;
  static constexpr size_t sample_of_other_halls = 2;
  /// Nodes in one report, about 25 KB.
  static constexpr size_t max_nodes_per_report = 400;

  explicit peer_table(peer_info self) : self(std::move(self)) {}

  /// Sets for how long a peer that sends nothing counts as alive; it grows with
  /// the time between the messages of a hall's nodes.
  void set_silence_timeout(absl::Duration time) {
    this->silence_timeout = time;
  }

  /// Records a message from a node, with its source address. Returns whether
  /// the node did not count as alive before.
  bool on_message(const peer_info& sender, absl::Time now);

  /// Records a node on the store's list. If `assume_alive`, a node that was
  /// never heard counts as alive for the usual time.
  void on_enrolled(const peer_info& node, bool assume_alive, absl::Time now);

  /// The query to send; `sample` if a few nodes of each hall are enough.
  peer_query query(uint64_t nonce, bool sample, absl::Time now) const;

  /// The response to a query of `asker`, in as many messages as it needs.
  std::vector<peer_report> answer(const peer_query& query,
                                  const std::string& asker,
                                  random_stream& random, absl::Time now) const;

  /// Applies a response to a query that was sent at `asked_at`. Returns whether
  /// it had a node that was not known.
  bool apply(const peer_report& report, absl::Time asked_at);

  /// Live peers of this node's data hall.
  std::vector<relay_candidate> live_local_peers(absl::Time now) const;
  /// Live peers of this hall and reachable peers of other halls.
  std::vector<std::string> reachable_peers(absl::Time now) const;
  /// Reachable peers of other halls, by hall.
  std::map<std::string, std::vector<relay_candidate>> remote_hall_peers(
      absl::Time now) const;
  /// Names of the reachable peers of this data hall or of all other halls.
  std::vector<std::string> reachable_in(bool remote_halls,
                                        absl::Time now) const;
  int count_reachable(bool remote_halls, absl::Time now) const;
  int count_live_remote(absl::Time now) const;
  bool reachable(const std::string& name, absl::Time now) const;

  /// A random live peer of this hall; empty if there is none.
  std::string random_local_peer(random_stream& random, absl::Time now) const;

  /// The node to compare the list with next: by turns a live one of this hall,
  /// and one of the other hall whose nodes were last reported longest ago.
  /// Empty if no node is known.
  std::string next_partner(random_stream& random, absl::Time now);

  /// Null if the node is unknown.
  const peer_info* find(const std::string& name) const;
  size_t size() const { return this->peers.size(); }

 private:
  struct record {
    peer_info info;
    /// Hash of `info`.
    uint64_t hash = 0;
    absl::Time last_heard = absl::InfinitePast();
    absl::Time last_enrolled = absl::InfinitePast();
    /// As of when another node reported it.
    absl::Time last_reported = absl::InfinitePast();
  };

  bool in_own_hall(const record& r) const {
    return r.info.hall == this->self.hall;
  }
  bool alive(const record& r, absl::Time now) const;
  bool reachable(const record& r, absl::Time now) const;
  static void set_info(record& r, const peer_info& info);
  /// Whether this node would report the node as one of its hall.
  bool is_reported(const record& r, absl::Time now) const;
  /// The nodes that this node would report as the hall's.
  std::vector<peer_info> known_in(const std::string& hall,
                                  absl::Time now) const;
  /// As of when this node knows the nodes of a hall.
  absl::Time known_as_of(const std::string& hall, absl::Time now) const;
  /// The digest of each hall of which nodes are known.
  std::map<std::string, uint64_t> digests(absl::Time now) const;
  /// The whole response to a query, or a few nodes of each hall.
  std::vector<peer_report> full_answer(const peer_query& query,
                                       absl::Time now) const;
  peer_report sample_answer(const peer_query& query, const std::string& asker,
                            random_stream& random, absl::Time now) const;
  /// Apply a report of one hall, as of a time.
  bool apply_hall(const hall_report& report, absl::Time as_of);
  bool apply_sample(const hall_report& report, absl::Time as_of);
  /// Names of the nodes that may be asked, by hall.
  std::map<std::string, std::vector<std::string>> askable(absl::Time now) const;

  peer_info self;
  absl::Duration silence_timeout = gossip_pacer::min_silence_timeout;
  std::map<std::string, record> peers;
  bool local_partner_next = true;
  /// As of when the nodes of each hall were last reported.
  std::map<std::string, absl::Time> reported_as_of;
};

}  // namespace spokesail
