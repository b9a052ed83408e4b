// The shares of the platform's time limits at which a node switches to another
// relay or reads the store itself.
#include "spokesail/staleness.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Age from which a relay's data counts as stale, as a share of a time limit,
/// such as that in which a configuration has to be in force. The rest of the
/// time is needed to read the store instead. The holder's watch confirms the
/// configuration every 0.4 s, each relay on the way adds one request period,
/// and a relay whose holder fails needs two more periods before it watches the
/// store itself. With a limit of 4 s, a store whose watches hang for a second
/// makes no other node watch; a fixed 1.3 s made each of 295 nodes list and
/// watch it.
constexpr double relay_stale_share = 0.65;

/// Age of the configuration from which a node whose relay has not been
/// confirmed watches the store, as a share of the same limit. Lower than that
/// of relays, since two relays may fail one after the other.
constexpr double unconfirmed_share = 0.6;

/// Upper bound of either age, as a share of the time after which a revoked key
/// must not be accepted: a node with a stale configuration refuses all keys.
constexpr double max_revoke_share = 0.5;

/// Age of the configuration up to which keys are trusted, as a share of the
/// time after which a revoked key must not be accepted. The rest is for clocks
/// that run at different rates.
constexpr double key_trust_share = 0.9;

/// Age of the list of servers from which a node watches the store, as a share
/// of the time for which a leaving server still serves, for nodes that may have
/// followers and for other nodes. A relay may answer and still not deliver
/// changes of servers. Nodes that others use as a relay watch the store first,
/// so that one node of a hall does so and not all of its followers.
constexpr double relay_servers_share = 0.5;
constexpr double servers_share = 0.6;

absl::Duration config_limit(double share, const staleness_bounds& bounds) {
  return std::min(share * bounds.config_deadline,
                  max_revoke_share * bounds.revoke_deadline);
}

/// Whether evacuations are followed and were last verified longer ago than
/// this share of the time within which the evacuated halls have to be empty.
bool evacuations_stale(const snapshot_age& age, double share,
                       const staleness_bounds& bounds) {
  return bounds.evacuate_deadline &&
         age.evacuations > share * *bounds.evacuate_deadline;
}

}  // namespace

absl::Time verified_by_watch(absl::Time sent, absl::Duration wait,
                             absl::Time answered, bool changed) {
  // An answer that came early, such as of a watch that was cut, may have been
  // under way for any time.
  const bool waited = answered >= sent + wait;
  return !changed && waited ? sent + wait : sent;
}

absl::Time verified_by_relay(absl::Time requested, absl::Duration age) {
  return requested - age;
}

bool keys_trusted(absl::Duration config_age, const staleness_bounds& bounds) {
  return config_age < key_trust_share * bounds.revoke_deadline;
}

bool relay_stale(const snapshot_age& reported, const staleness_bounds& bounds) {
  return reported.config > config_limit(relay_stale_share, bounds) ||
         reported.servers > relay_stale_share * bounds.drain_deadline ||
         evacuations_stale(reported, relay_stale_share, bounds);
}

bool must_watch_store(const snapshot_age& known, const staleness_bounds& bounds,
                      const relay_status& status) {
  const double share =
      status.may_have_followers ? relay_servers_share : servers_share;
  if (known.servers > share * bounds.drain_deadline) return true;
  if (evacuations_stale(known, share, bounds)) return true;
  return !status.relay_confirmed &&
         known.config > config_limit(unconfirmed_share, bounds);
}

bool servers_stale(const snapshot_age& known, const staleness_bounds& bounds) {
  return known.servers > servers_share * bounds.drain_deadline;
}

}  // namespace spokesail
