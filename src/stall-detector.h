// Detects stalled groups from the streams that this node relays.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "exchange.h"
#include "node-context.h"

namespace spokesail {

/// Aborts exchanges whose deadline has passed or whose group has lost a member,
/// and raises doubts about those whose server may not answer. When the streams
/// of a group are silent for longer than its engine explains, its members are
/// probed. One that has ended proves the loss; one that only does not answer
/// may go on.
class stall_detector {
 public:
  explicit stall_detector(node_context& node) : node(node) {}

  /// Checks all exchanges. Must be called at every tick.
  void check(absl::Time now);

  /// Handles a peer's report that a group lost servers. If this node has
  /// streams there, it probes those servers at once; otherwise it would notice
  /// the silence up to half a second later and probe all members.
  void handle_suspicion(const suspicion& report);

  /// Called with a server that does not answer.
  std::function<void(const std::string&)> on_suspect;
  /// Called with a loss that this node itself found.
  std::function<void(const suspicion&)> on_loss;

 private:
  /// Why a group may not answer.
  struct group_suspicion {
    /// Since when its silence has no explanation.
    absl::Time since;
    /// The member that did not answer; empty if all have.
    std::string member;
    /// Whether that member cannot be reached.
    bool unreachable = false;
  };
  /// State of one group's streams.
  struct group_activity {
    absl::Time last_event = absl::InfinitePast();
    /// When the first of the requests with an overdue first event was sent.
    absl::Time first_overdue_sent = absl::InfiniteFuture();
    /// Longest silence that the engine's figures explain.
    absl::Duration expected_silence;
    const endpoint_target* endpoint = nullptr;
    /// Whether events are due: a stream has begun, or its first event is
    /// overdue.
    bool expects_event = false;

    /// Time since the last event, or since the first overdue request was sent
    /// if there was no event.
    absl::Duration silence(absl::Time now) const {
      const bool none = this->last_event == absl::InfinitePast();
      return now - (none ? this->first_overdue_sent : this->last_event);
    }
  };
  /// The exchanges with a group that this node has not aborted.
  std::vector<exchange*> exchanges_with(const std::string& group) const;
  /// Aborts exchanges whose deadline has passed.
  void end_overdue(absl::Time now);
  /// Why it is in doubt that an exchange will be answered; none if it is not.
  abort_cause doubt_about(const exchange& ex, absl::Time now) const;
  /// The suspicion of an exchange's group; null if there is none, or if the
  /// exchange has received something since.
  const group_suspicion* suspicion_of(const exchange& ex) const;
  /// Reports doubts to those who wait for the exchanges.
  void raise_doubts(absl::Time now);
  /// Probes servers if nothing is received from any.
  void check_paths(absl::Time now);
  /// The state of all groups with exchanges, by name.
  std::map<std::string, group_activity> observe_groups(absl::Time now);
  /// Probes the members of a group that is silent for too long, or suspects the
  /// group.
  void check_group(const std::string& group, const group_activity& activity,
                   absl::Time now);
  /// The longest silence of a group's streams that does not indicate a fault.
  absl::Duration predict_silence(const endpoint_target& endpoint) const;
  /// Probes one member and draws the conclusion. Reports a loss to the peers if
  /// `notify_peers` is set.
  boost::asio::awaitable<void> probe_member(std::string group,
                                            std::string server,
                                            bool notify_peers);
  /// Avoids a group for a while and raises doubts about its exchanges.
  void suspect_group(const std::string& group, const std::string& reason,
                     group_suspicion suspicion);
  /// Ends or renews the suspicion of a group that this node has exchanges with.
  void check_suspicion(const std::string& group, const group_activity& activity,
                       absl::Time now);
  /// Aborts all exchanges with a group that has lost `member`.
  void abandon_group(const std::string& group, const std::string& member);
  /// Forgets groups that this node has no exchanges with any more.
  void forget_groups(const std::map<std::string, group_activity>& groups);
  void log_group(const char* event, const std::string& group,
                 const std::string& reason);

  node_context& node;
  absl::Time last_check = absl::InfinitePast();
  /// When the members of a group were last probed.
  std::map<std::string, absl::Time> last_probe;
  /// By group. Ends when the member answers or the group sends an event.
  std::map<std::string, group_suspicion> suspicions;
};

}  // namespace spokesail
