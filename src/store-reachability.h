// Whether the platform's store answers a node, and when it last came back.
#pragma once

#include <absl/time/time.h>

#include <string>

#include "node-context.h"

namespace spokesail {

/// Takes note of calls to the store that were answered, or were not.
class store_reachability {
 public:
  explicit store_reachability(node_context& node) : node(node) {}

  /// Notes the end of a call; `error` says why it had no answer.
  void record_call(bool answered, const std::string& error);

  /// When the store came back after it was away for long enough to let entries
  /// lapse; infinite past if it never was.
  absl::Time recovered_at() const { return this->recovery_time; }

 private:
  node_context& node;
  absl::Time outage_start = absl::InfinitePast();
  absl::Time recovery_time = absl::InfinitePast();
};

}  // namespace spokesail
