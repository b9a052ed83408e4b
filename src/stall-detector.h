// Notices groups that stand still, from the streams that this node passes on.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>

#include "exchange.h"
#include "node-context.h"

namespace spokesail {

/// Breaks off exchanges whose time is up, or whose group has lost a member.
/// When the streams of a group are silent for longer than its engine explains,
/// its members are asked; one that does not answer proves the loss.
class stall_detector {
 public:
  explicit stall_detector(node_context& node) : node(node) {}

  /// Looks at all exchanges. To be called at every tick.
  void check(absl::Time now);

  /// Takes a peer's word that a group lost servers: those are asked at once if
  /// this node has streams there, where it would else notice the silence up to
  /// half a second later and ask all members.
  void handle_suspicion(const suspicion& said);

  /// Called with a server that does not answer.
  std::function<void(const std::string&)> on_suspect;
  /// Called with a loss that this node found by itself.
  std::function<void(const suspicion&)> on_loss;

 private:
  /// What this node sees of one group's streams.
  struct group_activity {
    absl::Time last_event = absl::InfinitePast();
    /// When the first of the requests whose first event is overdue was sent.
    absl::Time first_sent = absl::InfiniteFuture();
    /// Longest silence that the engine's figures explain.
    absl::Duration expected_silence;
    const endpoint_target* endpoint = nullptr;
    /// Whether a stream that has begun, or should have, is silent.
    bool expects_event = false;

    /// How long nothing has come: since the last event, or since the sending
    /// where there was none.
    absl::Duration silence(absl::Time now) const {
      const bool none = this->last_event == absl::InfinitePast();
      return now - (none ? this->first_sent : this->last_event);
    }
  };
  /// Whether this node has an exchange with a group.
  bool uses(const std::string& group) const;
  /// Breaks off exchanges whose time is up.
  void end_overdue(absl::Time now);
  /// What this node sees of all groups with exchanges, by name.
  std::map<std::string, group_activity> observe_groups(absl::Time now);
  /// Asks the members of a group that is silent for too long, or gives it up.
  void check_group(const std::string& group, const group_activity& sight,
                   absl::Time now);
  /// The longest silence of a group's streams that is no fault.
  absl::Duration predict_silence(const endpoint_target& endpoint) const;
  /// Asks one member for its report; gives the group up if none comes, and
  /// tells the peers if none did.
  boost::asio::awaitable<void> probe_member(std::string group,
                                            std::string server,
                                            bool notify_peers);
  /// Breaks off all exchanges with a group and passes it over for a while;
  /// `lost` is the member that does not answer, if one was found.
  void abandon_group(const std::string& group, const std::string& why,
                     const std::string& lost = "");

  node_context& node;
  absl::Time last_check = absl::InfinitePast();
  /// When the members of a group were last asked.
  std::map<std::string, absl::Time> last_probe;
};

}  // namespace spokesail
