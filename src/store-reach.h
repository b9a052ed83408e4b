// Whether the platform's store answers a node, and when it last came back.
#pragma once

#include <absl/time/time.h>

#include <string>

#include "node-context.h"

namespace spokesail {

/// Takes note of calls to the store that were answered, or were not.
class store_reach {
 public:
  explicit store_reach(node_context& node) : node(node) {}

  /// Notes the end of a call; `error` says why it had no answer.
  void note(bool answered, const std::string& error);

  /// When the store came back after it was away for long enough to let entries
  /// lapse; infinite past if it never was.
  absl::Time back_since() const { return this->back_at; }

 private:
  node_context& node;
  absl::Time lost_at = absl::InfinitePast();
  absl::Time back_at = absl::InfinitePast();
};

}  // namespace spokesail
