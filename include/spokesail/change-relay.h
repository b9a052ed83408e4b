// What a relay tells its followers of changes, and what a follower makes of it.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace spokesail {

/// What a follower says of the changes that it has.
struct follower_position {
  /// It knows all changes up to this revision.
  int64_t known = 0;
  /// It was told of changes after this revision, which do not follow on those;
  /// 0 if of none.
  int64_t unapplied_after = 0;
  bool operator==(const follower_position&) const = default;
};

/// What a relay has told those that ask it. Times are the caller's; nothing
/// here sends.
class change_sender {
 public:
  /// What a relay knows: the revisions up to which it has all changes.
  struct known_revisions {
    int64_t servers = 0;
    int64_t config = 0;
    bool operator==(const known_revisions&) const = default;
  };

  /// Who is to be told unasked, and of all changes after which revision.
  struct pending_update {
    std::string follower;
    int64_t from = 0;
    bool operator==(const pending_update&) const = default;
  };

  /// Takes a question of a follower. Returns the revision from which on it is
  /// to be told.
  int64_t on_request(const std::string& follower,
                     const follower_position& position, absl::Time now);

  /// Takes note of a message to a follower that holds all changes after `from`
  /// up to `to`, and names the configuration's revision `config`.
  void on_sent(const std::string& follower, int64_t from, int64_t to,
               int64_t config, absl::Time now);

  /// The followers that lack what is known now. Those that have not asked for
  /// a while are forgotten.
  std::vector<pending_update> pending_updates(const known_revisions& now_known,
                                              absl::Time now);

 private:
  /// One message to a follower.
  struct message {
    int64_t from = 0;
    int64_t to = 0;
    absl::Time at;
  };
  /// Whether the follower that asks so will not hear of the message any more.
  static bool is_lost(const message& sent, const follower_position& position,
                      absl::Time now);
  /// Who asked this node lately, and what was last passed on.
  struct follower_state {
    absl::Time last_request;
    known_revisions sent_up_to;
    /// Messages that the follower has not said to know, in order.
    std::deque<message> unconfirmed;
  };
  std::map<std::string, follower_state> followers;
};

/// What a follower has missed. Times are the caller's; nothing here sends.
class change_receiver {
 public:
  /// Takes a message with all changes after `from`, at a node that knows those
  /// up to `known`. Returns whether it may apply them: whether none between
  /// them is missed.
  bool on_message(int64_t from, int64_t known);

  /// What to ask a relay.
  follower_position position(int64_t known) const;

  /// Whether to ask now rather than when the next question is due. To be asked
  /// when a message did not follow; takes note that a question is sent.
  bool request_out_of_turn(int64_t known, absl::Time now);

 private:
  /// After which revision the latest changes came that did not follow.
  int64_t unapplied_after = 0;
  absl::Time last_request = absl::InfinitePast();
};

}  // namespace spokesail
