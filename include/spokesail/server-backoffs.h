// Servers that have asked this node to back off.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <optional>

#include "spokesail/hash.h"
#include "spokesail/server-instance.h"

namespace spokesail {

/// A period in which a server wants no requests from this node.
struct server_backoff {
  /// When the server first asked for it.
  absl::Time since = absl::InfinitePast();
  /// When this node sends to the server again.
  absl::Time until = absl::InfinitePast();
  auto operator<=>(const server_backoff&) const = default;
};

/// Delay after which a caller should return that is refused at `now` because
/// all servers are in backoff; `first` is the backoff that ends first. Callers
/// return after its end, in the order in which they were refused, spread over a
/// fraction of the backoff.
absl::Duration backoff_retry_delay(const server_backoff& first, absl::Time now);

/// Tracks the backoff that each server instance has asked this node for. Unlike
/// a rate limit, a backoff applies to one node only, so it is not shared with
/// peers.
class server_backoffs {
 public:
  /// Longest backoff that is observed at once. A server that needs longer asks
  /// again when it is used next.
  static constexpr absl::Duration max_backoff = absl::Hours(1);

  /// Records a backoff of `length` that an answer received at `now` asked for.
  /// Each answer binds on its own, so a shorter backoff does not end a longer
  /// one. The backoff is extended by a random fraction, so that nodes which
  /// were turned away together do not return together.
  void note(const server_instance& server, absl::Duration length,
            absl::Time now, random_stream& random);

  /// The current backoff of a server; nothing if it has none.
  std::optional<server_backoff> find(const server_instance& server,
                                     absl::Time now) const;

  /// Removes backoffs that have ended.
  void expire(absl::Time now);

  /// Number of backoffs stored, including some that have ended.
  size_t size() const { return this->backoffs.size(); }
  bool empty() const { return this->backoffs.empty(); }

 private:
  std::map<server_instance, server_backoff> backoffs;
};

}  // namespace spokesail
