// Lets requests with a suspected trait run one at a time in the whole fleet, so
// that a trait that crashes servers costs as few as possible until it is
// quarantined, and one that does not is cleared soon.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "spokesail/crash-evidence.h"

namespace spokesail {

/// Times that both ends of a trial agree on.
struct trial_timing {
  /// Maximum length of a trial. The next one may begin if its node has not
  /// ended it by then. Longer than a prompt waits and is read, even where
  /// groups were lost.
  static constexpr absl::Duration max_length = absl::Seconds(2);
  /// Interval at which a node asks for a trial while requests wait for it.
  static constexpr absl::Duration ask_interval = absl::Milliseconds(20);
  /// Time without a response after which another node is asked.
  static constexpr absl::Duration response_timeout = absl::Milliseconds(100);
  /// Number of nodes that are asked in turn. If none responds, the trial may
  /// begin, so that suspected requests are served behind failed links.
  static constexpr size_t max_issuers = 2;
};

/// A node's request to begin a trial, or its report that one has ended.
struct trial_request {
  request_trait trait;
  /// Identifies the trial; chosen at random by the node.
  uint64_t nonce = 0;
  bool ended = false;
  /// What the node knows of the trait; nothing if it knows no crash.
  std::optional<crash_update> update;
  bool operator==(const trial_request&) const = default;
};

/// The response to a request to begin a trial.
struct trial_response {
  request_trait trait;
  uint64_t nonce = 0;
  bool granted = false;
  /// What the issuer knows of the trait; nothing if it knows no crash.
  std::optional<crash_update> update;
  bool operator==(const trial_response&) const = default;
};

/// Grants the trials of traits for which other nodes ask this one. Does no I/O
/// and does not wait.
class trial_issuer {
 public:
  /// Maximum number of trials at the same time; more are not granted.
  static constexpr size_t max_trials = 1024;

  /// Whether a node may begin the trial. Granted again if it asks twice.
  bool begin(const request_trait& trait, uint64_t nonce, absl::Time now);

  void end(const request_trait& trait, uint64_t nonce);

  size_t size() const { return this->trials.size(); }

 private:
  struct trial {
    uint64_t nonce = 0;
    absl::Time until;
  };
  std::map<request_trait, trial> trials;
};

/// The requests of this node that wait for a trial or run in one. Does no I/O
/// and does not wait.
class trial_queue {
 public:
  /// Maximum number of waiting requests with one trait. Their trials would take
  /// longer than callers wait.
  static constexpr size_t max_waiting = 64;

  /// A message to the issuer of a trait.
  struct message {
    trial_request request;
    /// Which of the nodes that may grant the trial is asked, from 0 on.
    size_t issuer = 0;
    bool operator==(const message&) const = default;
  };

  /// Adds a request, by a number that is unique on this node. Returns false if
  /// too many are waiting.
  bool enter(const request_trait& trait, uint64_t request, uint64_t nonce,
             absl::Time now);

  /// Whether a request that has entered may run now. If so, its trial begins.
  bool try_begin(const request_trait& trait, uint64_t request, absl::Time now);

  /// Removes a request, and ends its trial if it has begun. `nonce` is for the
  /// trial of the next one.
  void leave(const request_trait& trait, uint64_t request, uint64_t nonce,
             absl::Time now);

  /// Records the response of an issuer.
  void accept(const trial_response& response, absl::Time now);

  /// The messages that are due; requests without the updates.
  std::vector<message> take_messages(absl::Time now);

  bool empty() const { return this->traits.empty() && this->ended.empty(); }
  /// Number of requests that wait or run in a trial.
  size_t size() const;

 private:
  struct trait_state {
    std::set<uint64_t> waiting;
    /// The request that runs in a trial; nothing if none does.
    std::optional<uint64_t> running;
    uint64_t nonce = 0;
    /// Until when a granted trial may begin; infinite past if none is granted.
    absl::Time granted_until = absl::InfinitePast();
    /// Which node is asked, since when it has not responded, and when it was
    /// last asked.
    size_t issuer = 0;
    absl::Time silent_since = absl::InfiniteFuture();
    absl::Time asked_at = absl::InfinitePast();

    /// Begins to ask for the next trial.
    void reset(uint64_t next_nonce);
  };

  std::map<request_trait, trait_state> traits;
  /// Reports of ended trials that are to be sent.
  std::vector<message> ended;
};

}  // namespace spokesail
