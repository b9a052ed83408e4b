// Configurations that a relay announced before this node had read them.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>

namespace spokesail {

/// Answers the load of configurations that follow each other faster than a node
/// reads them. When it has read one, its relay already has the next, and a
/// relay with another revision does not verify this node's configuration. What
/// the relay said of the earlier one still holds: whoever has that revision, or
/// a later one, has all changes up to the time at which the relay verified it.
class config_announcements {
 public:
  /// Records that `revision` was in force at `verified_at`.
  void add(int64_t revision, absl::Time verified_at);

  /// The latest time at which a node with this revision has all changes, as far
  /// as was announced; infinite past if nothing was. Drops what is covered.
  absl::Time take_verified_at(int64_t revision);

 private:
  /// Times by revision.
  std::map<int64_t, absl::Time> announced;
};

}  // namespace spokesail
