// The entry hosts of the halls: who is alive, from the beats they send.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "spokesail/presence.h"

namespace spokesail {

/// How to reach another entry host.
struct member_info {
  std::string name;
  std::string hall;
  /// Where it listens for its peers, IP number and port.
  std::string peer_address;
  /// Where it listens for callers, IP number and port.
  std::string http_address;
  bool operator==(const member_info&) const = default;
};

/// A prober's word on one host, as it goes to peers.
struct host_observation {
  std::string host;
  bool reachable = false;
  /// When the probe was sent, or since when the host is unreachable, on the
  /// sender's clock.
  absl::Time at;
  host_report report;
  bool operator==(const host_observation&) const = default;
};

/// A host's load, as it goes to peers.
struct load_observation {
  std::string host;
  host_load load;
  bool operator==(const load_observation&) const = default;
};

/// What one entry host tells another, at every period and on each change.
struct heartbeat {
  /// The name alone, once the receiver knows the rest.
  member_info from;
  /// Differs from one start of the process to the next.
  uint64_t boot = 0;
  int64_t sequence = 0;
  /// When it was sent, on the sender's clock.
  absl::Time sent;
  int64_t revision = 0;
  /// Digest of the sender's view of the platform's objects.
  uint64_t view_digest = 0;
  bool ready = false;
  bool stopping = false;
  /// Changes with each change of what the sender's probes found.
  int64_t observations_epoch = 0;
  /// The sender's probes found all this at this time or later, on its clock.
  absl::Time probed_at;
  /// Whether `words` gives everything the sender's probes found.
  bool has_observations = false;
  std::vector<host_observation> observations;
  /// Every load that is not zero.
  std::vector<load_observation> loads;
  /// Models with an open group in the sender's hall.
  std::vector<std::string> open_models;
  bool operator==(const heartbeat&) const = default;
};

/// The answer to a beat.
struct heartbeat_ack {
  /// The name alone within a hall, where beats tell the rest.
  member_info from;
  uint64_t boot = 0;
  /// When the beat was taken, on the answering host's clock.
  absl::Time taken;
  /// The epoch of the words that the answering host now knows.
  int64_t observations_epoch = 0;
  int64_t revision = 0;
  bool ready = false;
  bool stopping = false;
  std::vector<std::string> open_models;
  bool operator==(const heartbeat_ack&) const = default;
};

/// Turns times on a peer's clock into times on this node's.
///
/// A peer took this node's message at some time of its clock; that was after
/// this node sent it. Taking the two for the same moment makes the peer's times
/// look earlier than they were, never later, whatever waited in queues or was
/// paused. The largest such difference is the closest.
class clock_offset {
 public:
  /// A message sent at `sent` was taken by the peer at `peer` on its clock.
  void learn(absl::Time sent, absl::Time peer);
  /// The local time for a time on the peer's clock, or earlier; the infinite
  /// past while nothing is known.
  absl::Time local(absl::Time peer) const;
  bool known() const { return this->last_learned != absl::InfinitePast(); }

 private:
  absl::Duration offset = -absl::InfiniteDuration();
  absl::Time last_learned = absl::InfinitePast();
};

/// One entry host as this node knows it.
struct member {
  member_info info;
  uint64_t boot = 0;
  int64_t sequence = 0;
  clock_offset clock;
  /// When the last word was sent, on the local clock.
  absl::Time last_message_at = absl::InfinitePast();
  int64_t revision = 0;
  uint64_t view_digest = 0;
  bool ready = false;
  bool stopping = false;
  std::vector<std::string> open_models;
  /// Epoch of the member's words that this node has.
  int64_t observations_epoch = -1;
  /// Epoch of this node's words that the member has.
  int64_t acked_epoch = -1;
  /// Since when its view has differed from this node's.
  absl::Time differs_since = absl::InfiniteFuture();
};

/// The known entry hosts, by name.
class membership {
 public:
  membership() = default;
  membership(member_info self, absl::Duration window)
      : self(std::move(self)), window(window) {}

  /// A peer named in the settings; its name is learned from its first word.
  void add_address(const std::string& hall, const std::string& peer_address);

  /// Takes a beat. False if it is older than one already taken.
  bool on_heartbeat(const heartbeat& b);

  /// Takes the answer to a beat that was sent at `sent`.
  void on_ack(const heartbeat_ack& ack, absl::Time sent);

  /// Names of the hall's members that are alive at `now`, this node's too.
  std::vector<std::string> alive_in_hall(absl::Time now) const;

  /// The members of other halls that are alive.
  std::vector<const member*> alive_elsewhere(absl::Time now) const;

  /// Where beats go: every peer of the hall, and one node of each other hall.
  std::vector<std::string> heartbeat_addresses(absl::Time now) const;

  bool alive(const member& m, absl::Time now) const;
  member* find(const std::string& name);
  const member* find_address(const std::string& peer_address) const;
  const std::map<std::string, member>& all() const { return this->members; }
  const member_info& own() const { return this->self; }

 private:
  /// Whether a message says, or this node knows, how to reach its sender.
  bool sender_known(const member_info& from, uint64_t boot) const;
  member& update_member(const member_info& info, uint64_t boot);

  member_info self;
  absl::Duration window = absl::Seconds(3);
  std::map<std::string, member> members;
  /// Hall by peer address, from the settings and from beats.
  std::map<std::string, std::string> addresses;
};

}  // namespace spokesail
