// How old what a node knows of the store may become, and what it does then.
#pragma once

#include <absl/time/time.h>

#include <optional>

namespace spokesail {

/// Time since what a node knows was last proved to be all that there is.
struct news_age {
  /// Since the configuration was known to be in force.
  absl::Duration config = absl::InfiniteDuration();
  /// Since all changes of servers were known.
  absl::Duration servers = absl::InfiniteDuration();
  /// Since the evacuated data halls were known.
  absl::Duration evacuations = absl::InfiniteDuration();
  bool operator==(const news_age&) const = default;
};

/// What the platform asks of nodes, from their settings.
struct staleness_bounds {
  /// A configuration has to be in force everywhere within this.
  absl::Duration config_deadline = absl::Seconds(2);
  /// A key that was taken away must not be honoured this long after.
  absl::Duration revoke_deadline = absl::Seconds(5);
  /// A server that is leaving gets no new requests this long after it said so.
  absl::Duration drain_deadline = absl::Seconds(2);
  /// No server of a data hall gets requests this long after operators have
  /// evacuated it. Nothing if evacuations are not followed.
  std::optional<absl::Duration> evacuate_deadline = std::nullopt;
  bool operator==(const staleness_bounds&) const = default;
};

/// Whether a relay that says this of itself is passed over.
bool relay_stale(const news_age& said, const staleness_bounds& bounds);

/// What else decides whether a node reads the store itself.
struct relay_status {
  /// Whether its relay has told fresh news since it was chosen.
  bool relay_confirmed = false;
  /// Whether it is one of the first of its hall, from whom others hear.
  bool may_have_followers = false;
  bool operator==(const relay_status&) const = default;
};

/// Whether a node that knows this has to read the store itself.
bool must_watch_store(const news_age& known, const staleness_bounds& bounds,
                      const relay_status& position);

/// Whether a node may be late to learn that a server is leaving.
bool servers_stale(const news_age& known, const staleness_bounds& bounds);

}  // namespace spokesail
