// Tracks whether the platform's store is reachable from this node.
#pragma once

#include <absl/time/time.h>

#include <string>

#include "node-context.h"

namespace spokesail {

/// Records which calls to the store were answered.
class store_reachability {
 public:
  explicit store_reachability(node_context& node) : node(node) {}

  /// Records the end of a call; `error` is the reason if it had no answer.
  void record_call(bool answered, const std::string& error);

  /// When the store became reachable after the last outage that was long enough
  /// for entries to expire; infinite past if there was none.
  absl::Time recovered_at() const { return this->recovery_time; }

 private:
  node_context& node;
  absl::Time outage_start = absl::InfinitePast();
  absl::Time recovery_time = absl::InfinitePast();
};

}  // namespace spokesail
