// The data halls that are closed to requests, as known to one node.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <set>
#include <string>

#include "spokesail/evacuation.h"

namespace spokesail {

/// What an update of the evacuations has changed.
struct evacuation_change {
  std::set<std::string> begun;
  std::set<std::string> ended;
  bool operator==(const evacuation_change&) const = default;
};

/// The evacuated data halls. State never returns to an earlier revision. A hall
/// whose evacuation has ended stays closed until the known state of the servers
/// is newer than the time at which this node learned of the end: the servers
/// may have become cold just before.
class hall_evacuations {
 public:
  /// Applies a snapshot received at `now`; its age counts back from `as_of`.
  evacuation_change apply(const evacuation_snapshot& received, absl::Time as_of,
                          absl::Time now);

  /// Whether any snapshot has been applied.
  bool known() const { return this->learned; }
  /// The latest time at which the halls are known to have been current.
  absl::Time verified_at() const { return this->last_verified; }
  absl::Duration age(absl::Time now) const { return now - this->last_verified; }
  /// The snapshot to send to other nodes, with its age at `now`.
  evacuation_snapshot snapshot(absl::Time now) const;

  /// Whether a hall must not receive requests, given that all changes of
  /// servers up to `servers_verified_at` are known.
  bool closed(const std::string& hall, absl::Time servers_verified_at) const;
  /// All halls that must not receive requests.
  std::set<std::string> closed_halls(absl::Time servers_verified_at) const;

 private:
  bool learned = false;
  int64_t revision = 0;
  std::set<std::string> halls;
  absl::Time last_verified = absl::InfinitePast();
  /// Halls whose evacuation has ended, with the time at which this node learned
  /// of the end.
  std::map<std::string, absl::Time> ended_at;
};

}  // namespace spokesail
