// Notices groups that stand still, from the streams that this node passes on.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <string>

#include "node-context.h"

namespace spokesail {

/// Breaks off exchanges whose time is up or whose group has fallen silent.
class stall_watch {
 public:
  explicit stall_watch(node_context& node) : node(node) {}

  /// Looks at all exchanges. To be called at every tick.
  void check(absl::Time now);

  /// Called with each member of a group that has fallen silent.
  std::function<void(const std::string&)> on_suspect;

 private:
  void give_up(const exchange& seen, absl::Time now);

  node_context& node;
  absl::Time last_check = absl::InfinitePast();
};

}  // namespace spokesail
