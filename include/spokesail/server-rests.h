// Servers that want no requests from this node for a while.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <optional>

#include "spokesail/server-limits.h"

namespace spokesail {

/// A period in which a server wants no requests from this node.
struct server_rest {
  /// When the server first asked for it.
  absl::Time since = absl::InfinitePast();
  absl::Time until = absl::InfinitePast();
  auto operator<=>(const server_rest&) const = default;
};

/// Tracks the rest that each server instance has asked this node for. Unlike a
/// rate limit, a rest applies to one node only, so it is not shared with peers.
class server_rests {
 public:
  /// Longest rest that is observed at once. A server that needs longer asks
  /// again when it is used next.
  static constexpr absl::Duration max_rest = absl::Hours(1);

  /// Records a rest of `length` that an answer received at `now` asked for.
  /// Each answer binds on its own, so a shorter one does not end a longer one.
  void note(const server_instance& server, absl::Duration length,
            absl::Time now);

  /// The current rest of a server; nothing if it has none.
  std::optional<server_rest> find(const server_instance& server,
                                  absl::Time now) const;

  /// Removes rests that have ended.
  void expire(absl::Time now);

  /// Number of rests stored, including some that have ended.
  size_t size() const { return this->rests.size(); }
  bool empty() const { return this->rests.empty(); }

 private:
  std::map<server_instance, server_rest> rests;
};

}  // namespace spokesail
