// Parts of the platform's bounds at which a node looks elsewhere for news.
#include "spokesail/staleness.h"

#include <algorithm>

namespace spokesail {
namespace {

/// A relay whose own proof is older than this part of the time in which a
/// configuration has to be in force is itself cut off: the rest is for reading
/// the store instead. The holder's watch proves the configuration every 0.4 s,
/// each relay on the way adds the time between two questions, and a relay whose
/// holder dies needs two more of them before it watches the store itself. Where
/// the time is 4 s, a store whose watches hang for a second makes nobody else
/// watch; 1.3 s for all made each of 295 nodes list and watch it.
constexpr double relay_stale_share = 0.65;

/// A node without a relay that has proved itself watches the store once its
/// own proof is this part of that time old: two relays may fail it one after
/// the other.
constexpr double unconfirmed_share = 0.6;

/// Neither may take more than this part of the time after which a key that was
/// taken away must not be honoured; old news make a node refuse all keys.
constexpr double max_revoke_share = 0.5;

/// The same for the changes of servers, as parts of the time that a leaving
/// server serves on for. A relay may answer and still not bring them. Those
/// that others hear from look first, so that one of a hall reads the store and
/// not all that hear from it.
constexpr double relay_servers_share = 0.5;
constexpr double servers_share = 0.6;

absl::Duration config_limit(double share, const staleness_bounds& bounds) {
  return std::min(share * bounds.config_deadline,
                  max_revoke_share * bounds.revoke_deadline);
}

/// Whether the evacuated halls, if they are followed, were last known longer
/// ago than this part of the time within which they are to be empty.
bool evacuations_stale(const news_age& age, double share,
                       const staleness_bounds& bounds) {
  return bounds.evacuate_deadline &&
         age.evacuations > share * *bounds.evacuate_deadline;
}

}  // namespace

bool relay_stale(const news_age& said, const staleness_bounds& bounds) {
  return said.config > config_limit(relay_stale_share, bounds) ||
         said.servers > relay_stale_share * bounds.drain_deadline ||
         evacuations_stale(said, relay_stale_share, bounds);
}

bool must_watch_store(const news_age& known, const staleness_bounds& bounds,
                      const relay_status& position) {
  const double share =
      position.may_have_followers ? relay_servers_share : servers_share;
  if (known.servers > share * bounds.drain_deadline) return true;
  if (evacuations_stale(known, share, bounds)) return true;
  return !position.relay_confirmed &&
         known.config > config_limit(unconfirmed_share, bounds);
}

bool servers_stale(const news_age& known, const staleness_bounds& bounds) {
  return known.servers > servers_share * bounds.drain_deadline;
}

}  // namespace spokesail
