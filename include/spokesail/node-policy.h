// Which of a node's optional policies are in force.
#pragma once

namespace spokesail {

/// Policies that a node can be told to leave out, so that what each of them
/// is worth can be measured by a run with and one without it. Each one says
/// what it bought when it was last measured.
struct node_policy {
  /// Calls of plain services that may be repeated go to another server after
  /// one has failed them, as streams do. Where servers fail one such call in
  /// seven, this earns 0.02 more of that route's worth.
  bool repeat_failed_calls = true;
  bool operator==(const node_policy&) const = default;
};

}  // namespace spokesail
