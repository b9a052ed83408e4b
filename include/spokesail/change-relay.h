// Delivery of server changes from a relay to its followers: bookkeeping on both
// sides, with gap detection and retransmission.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "spokesail/range-coverage.h"

namespace spokesail {

/// The changes that a follower has, as it reports them to its relay.
struct follower_position {
  /// The follower has all changes up to this revision.
  int64_t known = 0;
  /// The follower has received changes that start after this revision and could
  /// not apply them because earlier ones are missing; 0 if there are none.
  int64_t unapplied_after = 0;
  bool operator==(const follower_position&) const = default;
};

/// Tracks what a relay has sent to each follower. Callers supply the time and
/// do the sending.
class change_sender {
 public:
  /// The revisions up to which a node has all changes.
  struct known_revisions {
    int64_t servers = 0;
    int64_t config = 0;
    bool operator==(const known_revisions&) const = default;
  };

  /// A follower that is behind, and the revision after which changes are to be
  /// sent to it.
  struct pending_update {
    std::string follower;
    int64_t from = 0;
    bool operator==(const pending_update&) const = default;
  };

  /// Handles a request of a follower. Returns the revision after which changes
  /// are to be sent to it.
  int64_t on_request(const std::string& follower,
                     const follower_position& position, absl::Time now);

  /// Records a message to a follower that carries all changes after `from` up
  /// to `to`, and the configuration revision `config`.
  void on_sent(const std::string& follower, int64_t from, int64_t to,
               int64_t config, absl::Time now);

  /// All followers, with the revision after which changes are to be sent to
  /// each. Drops followers that have sent no request for a while.
  std::vector<pending_update> all_followers(absl::Time now);

  /// Returns the followers that lack something of `current`. Drops followers
  /// that have sent no request for a while.
  std::vector<pending_update> pending_updates(const known_revisions& current,
                                              absl::Time now);

 private:
  /// One message to a follower.
  struct message {
    int64_t from = 0;
    int64_t to = 0;
    absl::Time at;
  };
  void drop_silent_followers(absl::Time now);
  /// Whether a message counts as lost, judged by the follower's request.
  static bool is_lost(const message& sent, const follower_position& position,
                      absl::Time now);
  /// When a follower last sent a request, and what it was last sent.
  struct follower_state {
    absl::Time last_request;
    known_revisions sent_up_to;
    /// Messages that the follower has not confirmed, oldest first.
    std::deque<message> unconfirmed;
  };
  std::map<std::string, follower_state> followers;
};

/// Detects missed changes on the follower's side. Callers supply the time and
/// do the sending.
class change_receiver {
 public:
  /// Handles a message with all changes after `from`, where this node has those
  /// up to `known`. Returns whether they may be applied, which needs that none
  /// in between is missing. The sender of changes knows all removals after
  /// `removals_since`, so that earlier ones may be missing too.
  bool on_message(int64_t from, int64_t removals_since, int64_t known);

  /// Handles a message with all servers in a range of ids as of `revision`.
  /// Once the ranges received cover all ids, returns the state that this node
  /// then has, if that is newer than `known`.
  std::optional<listed_state> on_range(const id_range& ids,
                                       const listed_state& state,
                                       int64_t known);

  /// The latest revision as of which a range with this id was received; 0 if
  /// none was that is newer than what this node knows.
  int64_t listed_as_of(const std::string& id) const {
    return this->ranges.revision_of(id);
  }

  /// The position to report in a request to the relay.
  follower_position position(int64_t known) const;

  /// Whether to send a request now instead of at the next period; call it after
  /// a message that could not be applied. If it returns true, it records that a
  /// request is sent.
  bool request_out_of_turn(int64_t known, absl::Time now);

 private:
  /// Start revision of the latest changes that could not be applied.
  int64_t unapplied_after = 0;
  range_coverage ranges;
  absl::Time last_request = absl::InfinitePast();
};

}  // namespace spokesail
