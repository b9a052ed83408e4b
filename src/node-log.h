// Structured log of a node: one key=value line per event, limited in rate and
// written by another thread, so that a slow reader never blocks the event loop.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "spokesail/effect.h"

namespace spokesail {

/// Selects the rate limit of an event.
enum class log_category {
  /// A decision on one request.
  request,
  /// A change of the node's state, or an error; has a far higher limit.
  state_change
};

/// A node's log. Not thread-safe.
class node_log {
 public:
  /// Starts logging to standard output; each line has the node's name `node`.
  explicit node_log(const std::string& node);
  ~node_log();
  node_log(const node_log&) = delete;
  node_log& operator=(const node_log&) = delete;

  /// Writes a line, or counts it as omitted if its event has reached its limit
  /// for this second.
  void write(log_category category, const char* event,
             const std::vector<log_field>& fields, absl::Time now);

  /// Writes a line about a change of the node's state or an error.
  void state_change(const char* event, const std::vector<log_field>& fields,
                    absl::Time now) {
    this->write(log_category::state_change, event, fields, now);
  }

  /// Number of lines omitted since the start.
  uint64_t omitted_lines() const { return this->omitted_total; }

 private:
  /// One event's lines in the current second.
  struct quota {
    int written = 0;
    uint64_t omitted = 0;
  };
  /// Resets the counts and logs how many lines were omitted.
  void reset_quotas(absl::Time now);

  std::map<std::string, quota> quotas;
  absl::Time second_start = absl::InfinitePast();
  uint64_t omitted_total = 0;
};

}  // namespace spokesail
