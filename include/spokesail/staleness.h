// How stale a node's knowledge of the store may become, and when it has to read
// the store itself.
#pragma once

#include <absl/time/time.h>

#include <optional>

namespace spokesail {

/// Time since a node's knowledge was last known to be complete and current.
struct snapshot_age {
  /// Since the configuration was known to be in force.
  absl::Duration config = absl::InfiniteDuration();
  /// Since all changes of servers were known.
  absl::Duration servers = absl::InfiniteDuration();
  /// Since the evacuated data halls were known.
  absl::Duration evacuations = absl::InfiniteDuration();
  bool operator==(const snapshot_age&) const = default;
};

/// Time limits that the platform sets for nodes, from their settings.
struct staleness_bounds {
  /// A configuration has to be in force on all nodes within this time.
  absl::Duration config_deadline = absl::Seconds(2);
  /// A revoked key must not be accepted any more this long after its
  /// revocation.
  absl::Duration revoke_deadline = absl::Seconds(5);
  /// A server that is leaving gets no new requests this long after it announced
  /// that.
  absl::Duration drain_deadline = absl::Seconds(2);
  /// No server of a data hall gets requests this long after operators have
  /// evacuated it. Empty if evacuations are not followed.
  std::optional<absl::Duration> evacuate_deadline = std::nullopt;
  bool operator==(const staleness_bounds&) const = default;
};

/// The latest time at which a watch proved its kind to be current. It was sent
/// at `sent` with a maximum `wait` and answered at `answered`, with changes or,
/// once it had waited, without.
absl::Time verified_by_watch(absl::Time sent, absl::Duration wait,
                             absl::Time answered, bool changed);

/// The latest time at which a relay's response proves its data to be current:
/// the relay gave `age` when it answered a request of `requested`, and may have
/// answered at once.
absl::Time verified_by_relay(absl::Time requested, absl::Duration age);

/// Whether a key of a configuration of this age may be accepted. A key that was
/// revoked is then refused in time, whatever delays or pauses there are: its
/// revocation came after the configuration was verified, and a request is
/// checked after it was sent.
bool keys_trusted(absl::Duration config_age, const staleness_bounds& bounds);

/// Whether a relay that reports these ages is too stale to be used.
bool relay_stale(const snapshot_age& reported, const staleness_bounds& bounds);

/// Further conditions that decide whether a node reads the store itself.
struct relay_status {
  /// Whether its relay has sent a fresh update since it was chosen.
  bool relay_confirmed = false;
  /// Whether it is one of its hall's top-ranked nodes, which other nodes may
  /// use as their relay.
  bool may_have_followers = false;
  bool operator==(const relay_status&) const = default;
};

/// Whether a node with knowledge of these ages has to read the store itself.
bool must_watch_store(const snapshot_age& known, const staleness_bounds& bounds,
                      const relay_status& status);

/// Whether a node may learn too late that a server is leaving.
bool servers_stale(const snapshot_age& known, const staleness_bounds& bounds);

}  // namespace spokesail
