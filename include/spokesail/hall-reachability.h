// Which data halls can be reached from this one.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <set>
#include <string>

namespace spokesail {

/// The data halls that were found silent, as of a time.
struct silent_halls {
  std::set<std::string> halls;
  absl::Time as_of = absl::InfinitePast();
  bool operator==(const silent_halls&) const = default;
};

/// Answers the load of callers in or beside a data hall that is cut off: a node
/// that chooses among servers of all halls would lose the time of a connection
/// attempt for each server that it cannot reach, and its callers with it. Each
/// node has too few requests to find out by itself, so the nodes that receive
/// the periodic messages of other halls tell the others of their hall which of
/// them have stopped. Callers of this class supply the time.
class hall_reachability {
 public:
  /// A hall that sent nothing for this many of its message periods is silent;
  /// two lost messages do not make it so.
  static constexpr double max_missed_periods = 3.2;
  /// What another node found counts for this long.
  static constexpr absl::Duration relayed_lifetime = absl::Milliseconds(1500);

  /// Sets the period at which this node receives messages of each other hall;
  /// infinite if it receives none. Silence counts from when it began to.
  void set_period(absl::Duration period, absl::Time now);

  /// Records a message of another hall.
  void on_heard(const std::string& hall, absl::Time now);

  /// Applies what another node of this hall found, unless it is older than what
  /// is known.
  void on_relayed(const silent_halls& found);

  /// The halls that are silent; as of `now` if this node listens itself.
  silent_halls silent(absl::Time now) const;

 private:
  bool listening() const { return this->period != absl::InfiniteDuration(); }

  absl::Duration period = absl::InfiniteDuration();
  absl::Time listening_since = absl::InfinitePast();
  std::map<std::string, absl::Time> last_heard;
  silent_halls relayed;
};

}  // namespace spokesail
