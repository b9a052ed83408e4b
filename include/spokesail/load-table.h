// Requests in flight by group and server, of this node and of its peers.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace spokesail {

/// The requests that one node has in flight at one endpoint (a group or a
/// server).
struct endpoint_load {
  std::string endpoint;
  int running = 0;
  /// Prompt tokens sent there whose first event has not come.
  double pending_prefill_tokens = 0;
  bool operator==(const endpoint_load&) const = default;
};

/// Sums this node's and its peers' requests. A peer's report expires after a
/// fixed time. The sums are updated incrementally, so that a look-up costs the
/// same however many peers there are.
class load_table {
 public:
  /// A peer that reports nothing for this long is taken to have nothing in
  /// flight, unless `set_local_lifetime` gives the peers of this hall longer.
  /// Spans several gossip periods, so that a lost datagram has no effect.
  static constexpr absl::Duration peer_timeout = absl::Milliseconds(1500);

  /// Sets how long the reports of peers in this hall count, which grows with
  /// the time between them.
  void set_local_lifetime(absl::Duration time) { this->local_lifetime = time; }

  /// Counts a request sent to an endpoint, with the prefill of its prompt
  /// pending.
  void begin(const std::string& endpoint, double prompt_tokens);
  /// Counts the prefill of prompt tokens as finished.
  void finish_prefill(const std::string& endpoint, double prompt_tokens);
  /// Removes a request that has ended.
  void end(const std::string& endpoint);

  /// Replaces a peer's report. `remote` is set if the peer is in another data
  /// hall or reports for one.
  void update_peer(const std::string& peer, std::vector<endpoint_load> loads,
                   absl::Time now, bool remote = false);

  /// Drops a peer's report.
  void remove_peer(const std::string& peer);

  /// All requests at an endpoint, as far as this node knows.
  endpoint_load total(const std::string& endpoint, absl::Time now);

  /// Number of requests that this node has started.
  uint64_t requests_begun() const { return this->started_count; }
  /// This node's own requests, to report to its peers.
  std::vector<endpoint_load> own_loads() const;
  /// Number of this node's requests at one endpoint.
  int own_running(const std::string& endpoint) const;
  /// Requests in flight by endpoint, of this data hall or of all others.
  std::vector<endpoint_load> hall_sum(bool remote, absl::Time now);

 private:
  /// A peer's requests, and when it reported them.
  struct peer_load {
    std::vector<endpoint_load> loads;
    absl::Time at;
    bool remote = false;
  };
  using sums = absl::flat_hash_map<std::string, endpoint_load>;

  /// Adds a peer's requests to the sums, or subtracts them.
  void add_scaled(const peer_load& peer, int sign);
  /// Drops expired reports.
  void expire(absl::Time now);
  /// When a report expires.
  absl::Time expiry(const peer_load& peer) const;

  uint64_t started_count = 0;
  sums own_sums;
  /// Sums of the peers in this data hall and in the others.
  sums local_sums;
  sums remote_sums;
  absl::flat_hash_map<std::string, peer_load> peers;
  absl::Duration local_lifetime = peer_timeout;
  /// No report expires before this time.
  absl::Time next_expiry = absl::InfiniteFuture();
};

}  // namespace spokesail
