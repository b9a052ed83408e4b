// Which data halls are closed to requests, as a node knows it.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <set>
#include <string>

#include "spokesail/evacuation.h"

namespace spokesail {

/// What a word of evacuations has changed.
struct evacuation_change {
  std::set<std::string> begun;
  std::set<std::string> ended;
  bool operator==(const evacuation_change&) const = default;
};

/// The evacuated data halls. Knowledge never goes back to an earlier revision.
/// A hall that is no longer evacuated stays closed until what is known of the
/// servers is from after that was learned: they may have turned cold just
/// before.
class hall_evacuations {
 public:
  /// Takes a word whose age counts back from `as_of`, learned at `now`.
  evacuation_change apply(const evacuation_snapshot& snapshot, absl::Time as_of,
                          absl::Time now);

  /// Whether any word has been taken.
  bool known() const { return this->learned; }
  /// The latest time as of which the halls are known.
  absl::Time verified_at() const { return this->last_verified; }
  absl::Duration age(absl::Time now) const { return now - this->last_verified; }
  /// What is known, for others; its age is that at `now`.
  evacuation_snapshot snapshot(absl::Time now) const;

  /// Whether a hall may get no requests, where all changes of servers up to
  /// `servers_verified_at` are known.
  bool closed(const std::string& hall, absl::Time servers_verified_at) const;
  /// All halls that may get none.
  std::set<std::string> closed_halls(absl::Time servers_verified_at) const;

 private:
  bool learned = false;
  int64_t revision = 0;
  std::set<std::string> halls;
  absl::Time last_verified = absl::InfinitePast();
  /// Halls that were evacuated, by when this node learned of the end.
  std::map<std::string, absl::Time> ended_at;
};

}  // namespace spokesail
