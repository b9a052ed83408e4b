// Requests in flight by group and server, of this node and of its peers.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace spokesail {

/// What one node has in flight at one place (a group or a server).
struct endpoint_load {
  std::string endpoint;
  int running = 0;
  /// Prompt tokens sent there whose first event has not come.
  double pending_prefill_tokens = 0;
  bool operator==(const endpoint_load&) const = default;
};

/// Sums own and peers' requests. A peer's word counts for a bounded time. The
/// sums are kept as words come and go, so that a look-up costs the same
/// however many peers there are.
class load_table {
 public:
  /// A peer that says nothing for this long is taken to have nothing in
  /// flight; several gossip periods, so that a lost datagram does not matter.
  static constexpr absl::Duration peer_timeout = absl::Milliseconds(1500);

  /// Takes a request as sent to a place, its prompt unread.
  void begin(const std::string& endpoint, double prompt_tokens);
  /// Takes prompt tokens as read.
  void finish_prefill(const std::string& endpoint, double prompt_tokens);
  /// Takes a request as ended.
  void end(const std::string& endpoint);

  /// Replaces what a peer has in flight. `far` tells that it is in another
  /// data hall, or speaks for one.
  void update_peer(const std::string& peer, std::vector<endpoint_load> loads,
                   absl::Time now, bool far = false);

  /// Forgets a peer's word.
  void remove_peer(const std::string& peer);

  /// All requests at a place, as far as this node knows.
  endpoint_load total(const std::string& endpoint, absl::Time now);

  /// Requests of this node that have begun.
  uint64_t requests_begun() const { return this->begun_count; }
  /// This node's own, for its peers.
  std::vector<endpoint_load> own_loads() const;
  /// Requests of this node at one place.
  int own_running(const std::string& endpoint) const;
  /// What this data hall, or all others, have in flight by place.
  std::vector<endpoint_load> hall_sum(bool far, absl::Time now);

 private:
  /// A peer's requests, and when it told of them.
  struct peer_load {
    std::vector<endpoint_load> places;
    absl::Time at;
    bool far = false;
  };
  using sums = absl::flat_hash_map<std::string, endpoint_load>;

  /// Adds a peer's requests to the sums, or takes them out again.
  void count(const peer_load& peer, int sign);
  /// Takes out words that are too old.
  void expire(absl::Time now);

  uint64_t begun_count = 0;
  sums mine;
  /// Peers' requests, of this data hall and of the others.
  sums local_sums;
  sums remote_sums;
  absl::flat_hash_map<std::string, peer_load> peers;
  /// No word becomes too old before.
  absl::Time oldest = absl::InfiniteFuture();
};

}  // namespace spokesail
