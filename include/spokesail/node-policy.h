// Switches for a node's optional policies.
#pragma once

namespace spokesail {

/// Policies that can be enabled or disabled in a node's settings.
struct node_policy {
  /// Repeatable calls of plain services are retried at another server after a
  /// failure, as streams are.
  bool repeat_failed_calls = true;
  /// When capacity is short, requests that can still meet their deadline are
  /// admitted first, and refused callers get a retry time at which capacity is
  /// expected.
  bool admit_in_time = false;
  /// The node measures which groups answer slower than their engine's profile
  /// predicts, and chooses them less often.
  bool learn_speeds = false;
  bool operator==(const node_policy&) const = default;
};

}  // namespace spokesail
