// Structured logs of a node: one key=value line an event, bounded in rate,
// written by another thread so that a slow reader never blocks the loop.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "spokesail/effect.h"

namespace spokesail {

/// How much an event matters when lines have to be left out.
enum class log_category {
  /// A decision on one request; bounded.
  request,
  /// A change of what the process believes, or an error; bounded far higher.
  state_change
};

/// A node's log. Not safe from more than one thread.
class node_log {
 public:
  /// Starts to write to standard output; `node` stands on each line.
  explicit node_log(const std::string& node);
  ~node_log();
  node_log(const node_log&) = delete;
  node_log& operator=(const node_log&) = delete;

  /// Writes a line, or counts it if its event has had its share of lines in
  /// this second.
  void write(log_category weight, const char* event,
             const std::vector<log_field>& fields, absl::Time now);

  /// Writes a line on a change of what the process believes.
  void state_change(const char* event, const std::vector<log_field>& fields,
                    absl::Time now) {
    this->write(log_category::state_change, event, fields, now);
  }

  /// Lines that were left out since the start.
  uint64_t omitted_lines() const { return this->omitted_total; }

 private:
  /// One event's lines in this second.
  struct quota {
    int written = 0;
    uint64_t omitted = 0;
  };
  /// Starts the count anew and tells of the lines that were left out.
  void begin_second(absl::Time now);

  std::map<std::string, quota> quotas;
  absl::Time second = absl::InfinitePast();
  uint64_t omitted_total = 0;
};

}  // namespace spokesail
