// Request rate limits that servers advertise.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "spokesail/server-instance.h"

namespace spokesail {

/// The state of a server's request rate limit, which applies across all nodes.
struct limit_report {
  server_instance server;
  /// Requests per second; nothing if the limit has ended.
  std::optional<double> per_s;
  /// Time since the answer that set or ended the limit.
  absl::Duration age;
  bool operator==(const limit_report&) const = default;
};

/// Tracks the latest limit of each server instance, from answers to this node
/// and from reports of other nodes.
class server_limits {
 public:
  /// Updates the limit from an answer to a request that was sent at `sent`.
  /// Answers can arrive out of order, so an answer without a limit ends the
  /// current one only if its request was sent after the limit was last updated.
  void note_answer(const server_instance& server, std::optional<double> per_s,
                   absl::Time sent, absl::Time now);

  /// Merges a report from another node. Returns false if it is not newer than
  /// the stored state, or ends a limit that is not stored.
  bool merge_report(const limit_report& report, absl::Time now);

  /// The limit in effect, in requests per second, if any.
  std::optional<double> find(const server_instance& server) const;

  /// The stored state of a server, including an ended limit; nothing if none is
  /// stored.
  std::optional<limit_report> report(const server_instance& server,
                                     absl::Time now) const;

  /// Returns and clears the set of servers whose limit was added, ended or
  /// changed by more than 10% since the server was last returned.
  std::set<server_instance> take_changes();

  /// Removes the servers for which `exists` returns false.
  void forget(const std::function<bool(const server_instance&)>& exists);

  /// Number of servers with a limit in effect.
  size_t size() const;
  /// Whether no state is stored, not even of an ended limit.
  bool empty() const { return this->entries.empty(); }

 private:
  struct entry {
    std::optional<double> per_s;
    /// When the answer that set or ended the limit arrived.
    absl::Time answered_at;
    /// The limit when take_changes() last returned the server.
    std::optional<double> returned_per_s;
  };
  void set(const server_instance& server, std::optional<double> per_s,
           absl::Time answered_at);

  std::map<server_instance, entry> entries;
  std::set<server_instance> changes;
};

}  // namespace spokesail
