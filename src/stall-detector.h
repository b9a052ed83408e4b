// Detects stalled groups from the streams that this node relays.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>

#include "exchange.h"
#include "node-context.h"

namespace spokesail {

/// Aborts exchanges whose deadline has passed or whose group has lost a member.
/// When the streams of a group are silent for longer than its engine explains,
/// its members are probed; one that does not respond proves the loss.
class stall_detector {
 public:
  explicit stall_detector(node_context& node) : node(node) {}

  /// Checks all exchanges. Must be called at every tick.
  void check(absl::Time now);

  /// Handles a peer's report that a group lost servers. If this node has
  /// streams there, it probes those servers at once; otherwise it would notice
  /// the silence up to half a second later and probe all members.
  void handle_suspicion(const suspicion& report);

  /// Called with a server that does not respond.
  std::function<void(const std::string&)> on_suspect;
  /// Called with a loss that this node itself found.
  std::function<void(const suspicion&)> on_loss;

 private:
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
  /// Whether this node has an exchange with a group.
  bool has_exchange(const std::string& group) const;
  /// Aborts exchanges whose deadline has passed.
  void end_overdue(absl::Time now);
  /// Aborts repeatable exchanges whose connections hang because this node has
  /// lost its links.
  void end_lost_paths(absl::Time now);
  /// Probes servers if nothing is received from any.
  void check_paths(absl::Time now);
  /// The state of all groups with exchanges, by name.
  std::map<std::string, group_activity> observe_groups(absl::Time now);
  /// Probes the members of a group that is silent for too long, or abandons the
  /// group.
  void check_group(const std::string& group, const group_activity& activity,
                   absl::Time now);
  /// The longest silence of a group's streams that does not indicate a fault.
  absl::Duration predict_silence(const endpoint_target& endpoint) const;
  /// Probes one member by requesting its report. If none comes, abandons the
  /// group and, if `notify_peers` is set, reports the loss to the peers.
  boost::asio::awaitable<void> probe_member(std::string group,
                                            std::string server,
                                            bool notify_peers);
  /// Aborts all exchanges with a group and avoids it for a while;
  /// `unresponsive` is the unresponsive member, if one was found.
  void abandon_group(const std::string& group, const std::string& reason,
                     const std::string& unresponsive = "");

  node_context& node;
  absl::Time last_check = absl::InfinitePast();
  /// When the members of a group were last probed.
  std::map<std::string, absl::Time> last_probe;
};

}  // namespace spokesail
