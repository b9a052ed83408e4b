// Which requests crash the servers that run them, as far as one node knows.
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

/// Stands for one start of a server.
uint64_t incarnation_hash(const std::string& server, int64_t incarnation);

/// Counts the servers that ended under each request, and quarantines a request
/// once so many did that it must be the cause. Times are the caller's; nothing
/// here waits or sends.
///
/// A group runs many requests when it crashes and only one is guilty, and
/// servers end for causes of their own, so that three things clear a request: a
/// run that got further than where servers ended, a whole answer, and another
/// request that ran on the same servers and on more that ended. Those that
/// waited at a server count less than those that it had begun to answer.
///
/// In virtual time (200 days of 35 s, 9 nodes, 12 groups of which one crashes
/// every 1.7 s and two in five at once, no guilty request), a plain count of
/// three ends refuses 1,691 of 1.4 million requests, three ends that no run got
/// past 9, and this none.
class crash_tracker {
 public:
  /// Servers that have to end under a request that they had begun to answer.
  /// Two is what a caller's attempt may meet by chance while hosts fail one
  /// after the other.
  static constexpr size_t begun_crash_threshold = 3;
  /// Servers that have to end under it if some had not begun. Both attempts of
  /// a caller that tries again may meet three by chance.
  static constexpr size_t crash_threshold = 4;
  /// How many of them it has to have been sent to after another had ended.
  /// Without this, groups that crash at once would have requests with one and
  /// the same content refused.
  static constexpr size_t repeated_crash_threshold = 2;
  /// A request is remembered for this long after a server last ended under it,
  /// or it passed. Long enough for callers that come back after minutes; a
  /// release may have mended what it ran into.
  static constexpr absl::Duration retention = absl::Minutes(30);
  /// Requests that are remembered at most, 1 KB each or less.
  static constexpr size_t max_requests = 8192;
  /// The part of them that may belong to one workspace, so that none can push
  /// out what is known of the others' requests.
  static constexpr size_t workspace_divisor = 4;

  /// Takes note that a server ended under a request.
  void add_crash(const request_identity& request, uint64_t server,
                 const server_crash& end, absl::Time now);

  /// Takes note that a run got so far. Requests under which no server ended
  /// are not remembered by it.
  void add_progress(const request_identity& request, int64_t point,
                    absl::Time now);

  /// Takes what another node knows of a request.
  void merge_update(const crash_update& said, absl::Time now);

  /// Whether a request is not to be sent to any server.
  bool quarantined(const request_identity& request) const;

  /// How long a request stays quarantined if nothing clears it.
  absl::Duration remaining(const request_identity& request,
                           absl::Time now) const;

  /// Servers that ended under a request, as it counts by itself.
  size_t crash_count(const request_identity& request) const;

  /// Whether a request is remembered.
  bool contains(const request_identity& request) const {
    return this->records.count(request) != 0;
  }

  /// Whether one more server that ends can quarantine a request.
  bool suspected(const request_identity& request) const {
    return this->crash_count(request) + 1 >= begun_crash_threshold;
  }

  /// What to tell of a request; nothing if it is not remembered.
  std::optional<crash_update> update_for(const request_identity& request,
                                         absl::Time now) const;

  /// All requests under which enough servers ended, whether or not others
  /// explain it, in order.
  const std::set<request_identity>& requests_over_threshold() const {
    return this->over_threshold;
  }

  /// A hash of these, the same on all nodes that know the same.
  uint64_t digest() const;

  /// Requests that this node has learned something of, or knows better than
  /// one that told it, since this was last asked.
  std::vector<request_identity> take_changes();

  /// Forgets what is too old.
  void expire(absl::Time now);

  bool empty() const { return this->records.empty(); }
  size_t size() const { return this->records.size(); }

 private:
  struct record {
    crash_evidence evidence;
    absl::Time updated_at = absl::InfinitePast();
  };
  /// Replaces what is known of a request.
  void store_record(const request_identity& request, record next);
  /// Makes room for one more request of a workspace.
  void evict_if_full(uint64_t workspace);
  /// Drops the request of a workspace that matters least.
  void evict_least(uint64_t workspace);
  /// Whether so many servers ended that a request may be quarantined.
  static bool reaches_threshold(const crash_evidence& evidence);
  /// Whether a request whose count is greater ran on the server too.
  bool explained_by_other(const request_identity& request,
                          uint64_t server) const;

  std::map<request_identity, record> records;
  /// Remembered requests by workspace.
  std::map<uint64_t, size_t> by_workspace;
  std::set<request_identity> over_threshold;
  std::set<request_identity> changes;
};

}  // namespace spokesail
