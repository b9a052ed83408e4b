// Finds endpoints that are slower, or fail more, than others of their kind.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "spokesail/endpoint-speed.h"

namespace spokesail {

/// An endpoint (a group or a plain server) in its current epoch.
struct endpoint_id {
  /// Endpoints of one kind are compared with each other: those of one model, or
  /// of one plain service.
  std::string kind;
  std::string endpoint;
  /// Increases whenever a group is formed anew or a server starts.
  int64_t epoch = 0;
};

/// An endpoint that has become slow, or is no longer slow.
struct speed_change {
  endpoint_speed speed;
  /// Time since the last sample of this node; infinite if it has none.
  absl::Duration age;
};

/// Learns slowness from the responses seen by this node and by its peers in the
/// data hall. Slowness is relative: a delay that all endpoints of a kind share
/// comes from load or from the prediction's error and makes none of them slow.
class speed_table {
 public:
  /// Smallest slowness that is reported or acted upon.
  static constexpr double min_slowness = 1.5;
  /// Upper bound on slowness, so that a slow endpoint still gets requests when
  /// the others are full.
  static constexpr double max_slowness = 6;
  /// Minimum number of samples for any effect: one late response does not make
  /// an endpoint slow.
  static constexpr double min_samples = 4;
  /// With this many samples of its own, a node ignores its peers' reports,
  /// since an endpoint may be slow for some nodes only.
  static constexpr double enough_samples = 10;
  /// Age at which a sample counts for half.
  static constexpr absl::Duration half_life = absl::Seconds(4);
  /// Age at which a sample is dropped, so that a formerly slow endpoint, which
  /// gets few requests, is tried again.
  static constexpr absl::Duration sample_ttl = absl::Seconds(12);
  /// A peer's report expires after this time, which spans several gossip
  /// periods, unless `set_peer_lifetime` gives it longer.
  static constexpr absl::Duration peer_timeout = absl::Milliseconds(1500);

  /// Sets how long peers' reports count, which grows with the time between
  /// them.
  void set_peer_lifetime(absl::Duration time) { this->peer_lifetime = time; }
  /// Maximum number of endpoints that one node reports, which bounds its
  /// datagrams.
  static constexpr size_t max_reported = 16;

  /// Records a response that took `ratio` times as long as expected.
  void add_sample(const endpoint_id& id, double ratio, absl::Time now);
  /// Records a request that either side ended before a response came, after
  /// `ratio` times the expected time. Counts only if a response was overdue by
  /// then, since it would have taken even longer.
  void add_unanswered(const endpoint_id& id, double ratio, absl::Time now);
  /// Records a request that the endpoint failed.
  void record_failure(const endpoint_id& id, absl::Time now);
  /// Drops the samples of an endpoint's earlier epochs.
  void set_epoch(const endpoint_id& id, absl::Time now);
  /// Replaces a peer's report.
  void update_peer(const std::string& peer, std::vector<endpoint_speed> speeds,
                   absl::Time now);

  /// Whether there are no samples and no reports.
  bool empty() const { return this->records.empty() && this->peers.empty(); }

  /// Cost factor of an endpoint against one that is not slow; 1 if it is not
  /// slow.
  double slowness(const std::string& endpoint, absl::Time now);
  /// What this node has seen and reports to its peers.
  std::vector<endpoint_speed> reported(absl::Time now);
  /// Returns the changes since the last call.
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
    /// Until then, peers may report an earlier epoch, and are ignored.
    absl::Time ignore_peers_until = absl::InfinitePast();
    std::deque<sample> samples;
  };
  /// Statistics of a record's samples.
  struct summary {
    double ratio = 1;
    double failed_share = 0;
    double weight = 0;
    bool has_latency = false;
  };
  struct peer_report {
    std::vector<endpoint_speed> speeds;
    absl::Time at;
  };
  using speed_map = absl::flat_hash_map<std::string, endpoint_speed>;

  record& find_record(const endpoint_id& id, absl::Time now);
  void refresh(absl::Time now);
  void expire(absl::Time now);
  static summary summarize(const record& r, absl::Time now);
  /// The slowness of each endpoint by this node's own samples.
  speed_map compare(absl::Time now) const;
  /// Merges in the peers' reports.
  speed_map combine(const speed_map& measured, absl::Time now) const;
  std::vector<endpoint_speed> select_reported(const speed_map& measured) const;
  void record_changes(const speed_map& next, absl::Time now);

  absl::Duration peer_lifetime = peer_timeout;
  absl::flat_hash_map<std::string, record> records;
  absl::flat_hash_map<std::string, peer_report> peers;
  /// Results of the last refresh: the slow endpoints, and what is reported.
  speed_map slow;
  std::vector<endpoint_speed> current_report;
  std::vector<speed_change> changes;
  absl::Time last_refresh = absl::InfinitePast();
};

/// How many of `endpoints` candidates for a request are penalized for slowness
/// at most.
size_t max_slow_endpoints(size_t endpoints);

/// The slowness factors to use for the endpoints of one kind in one data hall.
/// Only the slowest few are penalized, and none if most are slow, since the
/// remaining ones would be overloaded.
std::vector<double> bound_slowness(std::vector<double> slowness);

}  // namespace spokesail
