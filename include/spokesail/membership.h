// The entry hosts of all halls, and which are alive according to heartbeats.
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
  /// Where it listens for peers: IP address and port.
  std::string peer_address;
  /// Where it listens for callers: IP address and port.
  std::string http_address;
  bool operator==(const member_info&) const = default;
};

/// A prober's observation of one host, as sent to peers.
struct host_observation {
  std::string host;
  bool reachable = false;
  /// When the probe was sent or, for an unreachable host, when it became
  /// unreachable; on the sender's clock.
  absl::Time at;
  host_report report;
  bool operator==(const host_observation&) const = default;
};

/// A host's load, as sent to peers.
struct load_observation {
  std::string host;
  host_load load;
  bool operator==(const load_observation&) const = default;
};

/// The heartbeat that an entry host sends to another, every period and after
/// each change.
struct heartbeat {
  /// Only the name, once the receiver knows the rest.
  member_info from;
  /// Differs between starts of the process.
  uint64_t boot = 0;
  int64_t sequence = 0;
  /// When it was sent, on the sender's clock.
  absl::Time sent;
  int64_t revision = 0;
  /// Digest of the sender's view of the platform's objects.
  uint64_t view_digest = 0;
  bool ready = false;
  bool stopping = false;
  /// Changes whenever the observations of the sender's probes change.
  int64_t observations_epoch = 0;
  /// The sender's probes confirmed all observations at this time or later, on
  /// its clock.
  absl::Time probed_at;
  /// Whether `observations` holds all observations of the sender's probes.
  bool has_observations = false;
  std::vector<host_observation> observations;
  /// All loads that are not zero.
  std::vector<load_observation> loads;
  /// Models with an open group in the sender's hall.
  std::vector<std::string> open_models;
  bool operator==(const heartbeat&) const = default;
};

/// The answer to a heartbeat.
struct heartbeat_ack {
  /// Only the name within a hall, where heartbeats carry the rest.
  member_info from;
  uint64_t boot = 0;
  /// When the heartbeat was received, on the answering host's clock.
  absl::Time taken;
  /// The epoch of the observations that the answering host now has.
  int64_t observations_epoch = 0;
  int64_t revision = 0;
  bool ready = false;
  bool stopping = false;
  std::vector<std::string> open_models;
  bool operator==(const heartbeat_ack&) const = default;
};

/// Converts times on a peer's clock to times on this node's.
///
/// A peer receives a message after this node has sent it. Treating both as the
/// same moment makes the peer's times look earlier than they were, never later,
/// whatever delays or pauses occurred. The largest difference seen is the
/// closest estimate.
class clock_offset {
 public:
  /// Records that a message sent at `sent` was received by the peer at `peer`
  /// on its clock.
  void learn(absl::Time sent, absl::Time peer);
  /// The local time for a time on the peer's clock, or earlier; infinite past
  /// while no offset is known.
  absl::Time local(absl::Time peer) const;
  bool known() const { return this->last_learned != absl::InfinitePast(); }

 private:
  absl::Duration offset = -absl::InfiniteDuration();
  absl::Time last_learned = absl::InfinitePast();
};

/// One entry host as known to this node.
struct member {
  member_info info;
  uint64_t boot = 0;
  int64_t sequence = 0;
  clock_offset clock;
  /// When the latest message was sent, on the local clock.
  absl::Time last_message_at = absl::InfinitePast();
  int64_t revision = 0;
  uint64_t view_digest = 0;
  bool ready = false;
  bool stopping = false;
  std::vector<std::string> open_models;
  /// Epoch of the member's observations that this node has.
  int64_t observations_epoch = -1;
  /// Epoch of this node's observations that the member has.
  int64_t acked_epoch = -1;
  /// Since when the member's view has differed from this node's.
  absl::Time differs_since = absl::InfiniteFuture();
};

/// The known entry hosts, by name.
class membership {
 public:
  membership() = default;
  membership(member_info self, absl::Duration window)
      : self(std::move(self)), window(window) {}

  /// Adds a peer named in the settings; its name is learned from its first
  /// message.
  void add_address(const std::string& hall, const std::string& peer_address);

  /// Handles a heartbeat. Returns false if it is older than one handled before,
  /// or if its sender's address is not known.
  bool on_heartbeat(const heartbeat& b);

  /// Handles the answer to a heartbeat that was sent at `sent`.
  void on_ack(const heartbeat_ack& ack, absl::Time sent);

  /// Names of the hall's members that are alive at `now`, this node included.
  std::vector<std::string> alive_in_hall(absl::Time now) const;

  /// The members of other halls that are alive.
  std::vector<const member*> alive_elsewhere(absl::Time now) const;

  /// Addresses to send heartbeats to: every peer of the hall, and one node of
  /// each other hall.
  std::vector<std::string> heartbeat_addresses(absl::Time now) const;

  bool alive(const member& m, absl::Time now) const;
  member* find(const std::string& name);
  const member* find_address(const std::string& peer_address) const;
  const std::map<std::string, member>& all() const { return this->members; }
  const member_info& own() const { return this->self; }

 private:
  /// Whether a message carries its sender's address, or this node has it
  /// already.
  bool sender_known(const member_info& from, uint64_t boot) const;
  member& update_member(const member_info& info, uint64_t boot);

  member_info self;
  absl::Duration window = absl::Seconds(3);
  std::map<std::string, member> members;
  /// Hall by peer address, from the settings and from heartbeats.
  std::map<std::string, std::string> addresses;
};

}  // namespace spokesail
