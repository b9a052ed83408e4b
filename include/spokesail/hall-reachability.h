// Which data halls can be reached from this one.
#pragma once

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace spokesail {

/// The data halls that were found out of reach, as of a time.
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
/// them have stopped. That the nodes of a hall are silent does not show that
/// its servers are out of reach, so some servers of a silent hall are probed: a
/// hall is out of reach only while none of them answers. Callers of this class
/// supply the time.
class hall_reachability {
 public:
  /// A hall that sent nothing for this many of its message periods is silent;
  /// two lost messages do not make it so.
  static constexpr double max_missed_periods = 3.2;
  /// What another node found counts for this long.
  static constexpr absl::Duration relayed_lifetime = absl::Milliseconds(1500);
  /// Missed periods after which servers of a hall are probed, so that it is
  /// known whether they answer by the time that it counts as silent.
  static constexpr double missed_periods_to_probe = max_missed_periods - 1;
  /// Interval at which servers of such a hall are probed, and how many.
  static constexpr absl::Duration probe_period = absl::Milliseconds(250);
  static constexpr size_t servers_per_probe = 2;
  /// Number of the last probes that count: if some servers of the hall have
  /// crashed, one of them still answers.
  static constexpr size_t max_probes = 4;
  /// How long a probe counts.
  static constexpr absl::Duration probe_lifetime = absl::Seconds(1);

  /// Sets the period at which this node receives messages of each other hall;
  /// infinite if it receives none. Silence counts from when it began to.
  void set_period(absl::Duration period, absl::Time now);

  /// Records a message of another hall.
  void on_heard(const std::string& hall, absl::Time now);

  /// Applies what another node of this hall found, unless it is older than what
  /// is known.
  void on_relayed(const silent_halls& found);

  /// The halls whose servers are out of reach; as of `now` if this node listens
  /// itself.
  silent_halls silent(absl::Time now) const;

  /// The halls that are silent, or about to be, of which this node must probe
  /// servers now; none if it does not listen. They count as probed.
  std::vector<std::string> take_halls_to_probe(absl::Time now);

  /// Records whether a server of such a hall answered a probe.
  void on_probe(const std::string& hall, bool answered, absl::Time now);

 private:
  struct probe {
    bool answered = false;
    absl::Time at;
  };
  /// Probes of a hall since its last message.
  struct hall_probes {
    std::deque<probe> last;
    absl::Time begun_at = absl::InfinitePast();
  };

  bool listening() const { return this->period != absl::InfiniteDuration(); }
  /// Whether a hall has sent nothing for this many of its message periods.
  bool nodes_silent(const std::string& hall, double missed_periods,
                    absl::Time now) const;
  /// Whether servers of a silent hall answer.
  bool servers_answer(const std::string& hall, absl::Time now) const;

  absl::Duration period = absl::InfiniteDuration();
  absl::Time listening_since = absl::InfinitePast();
  std::map<std::string, absl::Time> last_heard;
  /// Of silent halls.
  std::map<std::string, hall_probes> probes;
  silent_halls relayed;
};

}  // namespace spokesail
