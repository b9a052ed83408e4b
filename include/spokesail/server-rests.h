// Servers that want no requests from this node for a while.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <optional>

#include "spokesail/hash.h"
#include "spokesail/server-limits.h"

namespace spokesail {

/// A period in which a server wants no requests from this node.
struct server_rest {
  /// When the server first asked for it.
  absl::Time since = absl::InfinitePast();
  /// When this node sends to the server again.
  absl::Time until = absl::InfinitePast();
  auto operator<=>(const server_rest&) const = default;
};

/// Delay after which a caller should return that is refused at `now` because
/// all servers rest; `first` is the rest that ends first. Callers return after
/// its end, in the order in which they were refused, spread over a fraction of
/// the rest.
absl::Duration rest_retry_delay(const server_rest& first, absl::Time now);

/// Tracks the rest that each server instance has asked this node for. Unlike a
/// rate limit, a rest applies to one node only, so it is not shared with peers.
class server_rests {
 public:
  /// Longest rest that is observed at once. A server that needs longer asks
  /// again when it is used next.
  static constexpr absl::Duration max_rest = absl::Hours(1);

  /// Records a rest of `length` that an answer received at `now` asked for.
  /// Each answer binds on its own, so a shorter one does not end a longer one.
  /// The rest is extended by a random fraction, so that nodes which were turned
  /// away together do not return together.
  void note(const server_instance& server, absl::Duration length,
            absl::Time now, random_stream& random);

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
