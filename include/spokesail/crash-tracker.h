// Finds out what crashes the servers that run requests: a whole request, or a
// part of the prompt that many requests share.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "spokesail/crash-evidence.h"
#include "spokesail/recent-traits.h"

namespace spokesail {

/// Hash of a server instance.
uint64_t incarnation_hash(const std::string& server, int64_t incarnation);

/// What the evidence on the traits of a request means for it.
enum class crash_verdict {
  /// It may run.
  clear,
  /// One of its traits may crash servers: of the requests with this trait, only
  /// one at a time may run.
  suspected,
  /// One of its traits crashes servers: it must not run.
  quarantined
};

/// A verdict and the trait that it is based on.
struct crash_judgement {
  crash_verdict verdict = crash_verdict::clear;
  request_trait trait;
  /// Of a suspicion: number of crashes for which no other trait is a better
  /// explanation.
  size_t crashes = 0;
  /// Of a quarantine: time until a request may run to see whether the trait
  /// still crashes servers.
  absl::Duration remaining = absl::ZeroDuration();
  bool operator==(const crash_judgement&) const = default;
};

/// Counts the servers that crashed under requests with each trait, and
/// quarantines a trait once there are enough crashes that it must be the cause.
/// Does no I/O and does not wait; callers pass the time.
///
/// A group that crashes runs many requests, of which only one is the cause, a
/// request has several traits, and servers also crash for other reasons. So
/// three things clear a trait: a request with it that later got further than
/// the event at which servers crashed, a complete answer, and another trait
/// under which more of the same servers crashed. A crash counts for less if the
/// server had not begun to answer.
///
/// In a simulation without a crashing request (200 runs of 35 s, 9 nodes, 12
/// groups of which one crashes every 1.7 s and two in five crash together),
/// quarantine after a plain count of three crashes refuses 1,691 of 1.4 million
/// requests, after three crashes that no attempt got past 9, and this class
/// none.
class crash_tracker {
 public:
  /// Number of crashes that quarantine a content, counting only servers that
  /// had begun to answer. The attempts for one request of a caller can meet two
  /// crashes by chance while hosts fail one after the other.
  static constexpr size_t begun_crash_threshold = 3;
  /// Number of crashes that quarantine a content, counting all servers. If the
  /// caller sends its request again, the attempts for both can meet three
  /// crashes by chance.
  static constexpr size_t crash_threshold = 4;
  /// Minimum number of crashes in attempts that were sent after an earlier
  /// crash. Without it, groups that crash at the same time would quarantine
  /// requests with the same content that were sent to all of them.
  static constexpr size_t repeated_crash_threshold = 2;
  /// Numbers of crashes that together quarantine a part.
  struct part_threshold {
    size_t crashes = 0;
    /// Number of servers among them that had begun to answer.
    size_t begun = 0;
    /// Number of crashes in trials among them.
    size_t repeated = 0;
  };
  /// Answers spend little time between their head and their first event, so
  /// that few crashes for other reasons happen there. Requests that were still
  /// queued are lost in each crash, and need several trials.
  static constexpr part_threshold part_thresholds[] = {
      {3, 3, 2}, {4, 4, 1}, {6, 0, 4}};
  /// Number of crashes that make a content or a part suspected.
  static constexpr size_t content_suspicion = 2;
  static constexpr size_t part_suspicion = 1;
  /// The same while requests with the trait are answered now and then, so that
  /// the crashes probably had another cause.
  static constexpr size_t recent_answer_suspicion = 4;
  static constexpr absl::Duration recent_answer_time = absl::Seconds(5);
  /// Time after an answer at this node in which a trait is neither suspected
  /// nor quarantined: reports of crashes that happened before the answer may
  /// still arrive, and the next answer refutes them.
  static constexpr absl::Duration current_answer_time = absl::Milliseconds(250);
  /// Time after the last crash until one request with a quarantined trait may
  /// run again, since a release may have fixed the cause of the crashes or
  /// another trait may have been it. Doubled for each crash above those that
  /// quarantine it.
  static constexpr absl::Duration first_quarantine = absl::Minutes(2);
  /// Time for which a trait is kept after the last crash or refutation. Long
  /// enough for callers that retry after minutes.
  static constexpr absl::Duration retention = absl::Minutes(30);
  /// Maximum number of traits that are kept, each of at most 1 KB.
  static constexpr size_t max_traits = 8192;
  /// A workspace can have at most 1/4 of them, so that it cannot evict all
  /// traits of the others. The same holds of the prompt parts of a service.
  static constexpr size_t scope_divisor = 4;

  /// Records that a server crashed under a request with a trait.
  void add_crash(const request_trait& trait, uint64_t server,
                 const server_crash& crash, absl::Time now);

  /// Records that an attempt of a request with a trait has progressed from one
  /// event to another. Refutes the crashes in between that are known.
  void add_progress(const request_trait& trait, int64_t from, int64_t to,
                    absl::Time now);

  /// Merges the evidence of another node.
  void merge_update(const crash_update& update, absl::Time now);

  /// What the evidence on its traits means for a request.
  crash_judgement judge(const std::vector<request_trait>& traits,
                        absl::Time now) const;

  /// Whether requests that have only this one of the known traits are
  /// quarantined, unless enough time has passed to try one again.
  bool quarantined(const request_trait& trait) const {
    return this->quarantined(trait, {trait});
  }

  /// Whether requests are quarantined because of the trait, possibly only those
  /// that also have another part with the same crashes.
  bool blamed(const request_trait& trait) const;

  /// Whether requests with a trait may run only one at a time.
  bool suspected(const request_trait& trait, absl::Time now) const;

  /// Time until one request with a quarantined trait may run again; zero or
  /// less if it may.
  absl::Duration remaining(const request_trait& trait, absl::Time now) const;

  /// Number of servers that crashed under a trait and are not refuted,
  /// including those that another trait explains.
  size_t crash_count(const request_trait& trait) const;

  /// Whether there is evidence on a trait.
  bool contains(const request_trait& trait) const {
    return this->records.count(trait) != 0;
  }

  /// The evidence on a trait, to be sent to other nodes; nothing if there is
  /// none.
  std::optional<crash_update> update_for(const request_trait& trait,
                                         absl::Time now) const;

  /// All traits with enough crashes to be quarantined, including those whose
  /// crashes another trait explains.
  const std::set<request_trait>& traits_over_threshold() const {
    return this->over_threshold;
  }

  /// A hash of these traits, for the comparison with other nodes.
  uint64_t digest() const;

  /// Returns and clears the set of traits whose evidence has changed, or for
  /// which another node sent less evidence than is known here.
  std::vector<request_trait> take_changes();

  /// Removes the traits whose retention time is over.
  void expire(absl::Time now);

  /// Grows with each change of the evidence.
  uint64_t revision() const { return this->change_count; }

  bool empty() const { return this->records.empty(); }
  size_t size() const { return this->records.size(); }

 private:
  struct record {
    crash_evidence evidence;
    /// Time of the last crash or refutation.
    absl::Time updated_at = absl::InfinitePast();
  };
  /// Inserts or replaces the record of a trait.
  void store_record(const request_trait& trait, record value);
  /// Evicts records so that one more of a scope fits.
  void evict_if_full(uint64_t scope);
  /// Evicts the record of a scope with the fewest crashes, and of these the
  /// oldest.
  void evict_least(uint64_t scope);
  /// Whether there are enough crashes to quarantine a trait.
  static bool reaches_threshold(trait_kind kind,
                                const crash_evidence& evidence);
  /// Whether requests with all of `traits` are quarantined because of one of
  /// these.
  bool quarantined(const request_trait& trait,
                   const std::vector<request_trait>& traits) const;
  /// Whether a trait that a request does not have explains a crash.
  enum class explanation {
    none,
    /// Another trait may explain it as well.
    equal,
    /// Another trait has more crashes, or was the only one to be answered.
    better
  };
  /// Whether a trait other than `traits` explains why a server crashed that ran
  /// a request with `trait`.
  explanation explain(const request_trait& trait, uint64_t server,
                      const std::vector<request_trait>& traits) const;
  /// Number of crashes under a trait without a better explanation by a trait
  /// other than `traits`.
  size_t count_unexplained(const request_trait& trait,
                           const std::vector<request_trait>& traits) const;
  /// Whether this number of such crashes makes a trait suspected.
  bool suspicious(const request_trait& trait, size_t crashes,
                  absl::Time now) const;

  std::map<request_trait, record> records;
  /// Number of records by scope.
  std::map<uint64_t, size_t> by_scope;
  /// Traits with enough crashes to be quarantined.
  std::set<request_trait> over_threshold;
  /// Traits that take_changes() returns next.
  std::set<request_trait> changes;
  uint64_t change_count = 0;
  /// Prompt parts, and contents with evidence, of requests that were answered.
  recent_traits answered;
};

}  // namespace spokesail
