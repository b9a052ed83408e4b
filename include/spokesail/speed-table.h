// Which places answer slower, or fail more, than others of their kind.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "spokesail/endpoint-speed.h"

namespace spokesail {

/// A place (a group or a plain server) as it stands to its node.
struct endpoint_id {
  /// Places of one kind are compared with each other: those of one model, or
  /// of one plain service.
  std::string kind;
  std::string endpoint;
  /// Grows whenever a group is formed anew or a server starts.
  int64_t epoch = 0;
};

/// A place that has become slow, or is fast again.
struct speed_change {
  endpoint_speed speed;
  /// Time since the last sample of this node; infinite if it has none.
  absl::Duration age;
};

/// Learns slowness from answers, of this node and of its peers in the data
/// hall. It is relative: what all places of a kind share is the prediction's
/// error, or load, and slowness of none of them.
class speed_table {
 public:
  /// The least slowness that is told on or acted upon.
  static constexpr double min_slowness = 1.5;
  /// The most that a place counts as slow, so that it still gets requests when
  /// the others are full.
  static constexpr double max_slowness = 6;
  /// Samples below which nothing follows: one late answer is no slow place.
  static constexpr double min_samples = 4;
  /// With this many samples of its own a node leaves its peers' words aside,
  /// since a place may be slow for some nodes only.
  static constexpr double enough_samples = 10;
  /// A sample counts for half after this long.
  static constexpr absl::Duration half_life = absl::Seconds(4);
  /// A sample is forgotten after this long, so that a place that was slow, and
  /// gets few requests for it, is tried again.
  static constexpr absl::Duration sample_ttl = absl::Seconds(12);
  /// A peer's word counts for this long; several gossip periods.
  static constexpr absl::Duration peer_timeout = absl::Milliseconds(1500);
  /// Places that one node tells of at most, which bounds its datagrams.
  static constexpr size_t most_told = 16;

  /// Takes note of an answer that took `ratio` times what was expected.
  void add_sample(const endpoint_id& seen, double ratio, absl::Time now);
  /// Takes note of a request that was ended, by whomever, before any answer,
  /// after `ratio` times what was expected. It says something only if that is
  /// late: the answer would have taken longer still.
  void add_unanswered(const endpoint_id& seen, double ratio, absl::Time now);
  /// Takes note of a request that the place failed.
  void record_failure(const endpoint_id& seen, absl::Time now);
  /// Forgets what is known of a place's earlier epochs.
  void set_epoch(const endpoint_id& seen, absl::Time now);
  /// Replaces what a peer says.
  void update_peer(const std::string& peer, std::vector<endpoint_speed> speeds,
                   absl::Time now);

  /// Whether nothing is known of any place.
  bool empty() const { return this->records.empty() && this->peers.empty(); }

  /// How much dearer a place is than one that is not slow; 1 if it is not.
  double slowness(const std::string& endpoint, absl::Time now);
  /// What this node has seen, as far as it tells its peers something.
  std::vector<endpoint_speed> reported(absl::Time now);
  /// Changes since the last call.
  std::vector<speed_change> take_changes();

 private:
  struct sample {
    absl::Time at;
    double ratio = 1;
    bool failed = false;
  };
  struct record {
    std::string kind;
    int64_t epoch = 0;
    /// Peers may speak of an earlier epoch until then.
    absl::Time ignore_peers_until = absl::InfinitePast();
    std::deque<sample> samples;
  };
  /// A record's samples in short.
  struct summary {
    double ratio = 1;
    double failed_share = 0;
    double weight = 0;
    bool timed = false;
  };
  struct peer_report {
    std::vector<endpoint_speed> speeds;
    absl::Time at;
  };
  using by_place = absl::flat_hash_map<std::string, endpoint_speed>;

  record& find_record(const endpoint_id& seen, absl::Time now);
  void refresh(absl::Time now);
  void expire(absl::Time now);
  static summary sum_up(const record& r, absl::Time now);
  /// Each place by this node's own samples.
  by_place compare(absl::Time now) const;
  /// Adds the peers' words.
  by_place combine(const by_place& seen, absl::Time now) const;
  std::vector<endpoint_speed> select_reported(const by_place& seen) const;
  void note_changes(const by_place& next, absl::Time now);

  absl::flat_hash_map<std::string, record> records;
  absl::flat_hash_map<std::string, peer_report> peers;
  /// As of the last refresh: the places that are slow, and what is told.
  by_place slow;
  std::vector<endpoint_speed> current_report;
  std::vector<speed_change> changes;
  absl::Time refreshed = absl::InfinitePast();
};

/// The most places, of `places` that a request can choose from, that are made
/// dearer for their slowness.
size_t max_slow_endpoints(size_t places);

/// The slowness that each place of one kind in one data hall counts with. Only
/// the slowest few count as slow, and none if most are: those left would be
/// overloaded.
std::vector<double> bound_slowness(std::vector<double> slowness);

}  // namespace spokesail
