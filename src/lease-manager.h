// Acquires, renews and releases the lease of the node that forms groups.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "node-context.h"
#include "node-message.h"
#include "spokesail/backoff.h"
#include "spokesail/lease.h"

namespace spokesail {

/// A node's part in the lease. It runs concurrently with the holder's duties,
/// since the store may be slow.
class lease_manager {
 public:
  explicit lease_manager(node_context& node);

  /// Acquires or renews the lease whenever that is due, until the process ends.
  boost::asio::awaitable<void> run();

  /// Releases the lease when the process stops.
  void stop();
  /// Lets the lease expire and does not compete for it for a while.
  void step_down();

  /// Handles the lease as reported by a peer that holds it.
  void observe(const lease_snapshot& reported);

  /// Whether this node holds the lease and is not releasing it.
  bool holds() const;
  /// Name of the node that holds the lease; empty if none is known.
  std::string holder() const;
  /// The lease to send to peers; nothing if this node does not hold it and has
  /// not just released it.
  std::optional<lease_snapshot> snapshot() const;
  /// Fencing number of the lease as last seen; this node's own while it holds
  /// it.
  int64_t fence() const { return this->lease.fence(); }

  /// Names of the nodes that could hold the lease, in the order in which they
  /// take it over.
  std::function<std::vector<std::string>()> candidates;

 private:
  /// Reports a document that is not a lease.
  void report_unreadable();
  /// Reads, acquires, renews or releases the lease if that is due.
  boost::asio::awaitable<void> renew_or_take_over();
  /// Whether this node may call the store for the lease now.
  bool may_call_store() const;
  /// Records since when the configuration is current.
  void update_current_since();
  /// Whether the lease is to be read now, since no peer has reported it.
  bool may_read();
  /// This node's rank among the first candidates; nothing if it is not among
  /// them.
  std::optional<int> rank() const;
  /// This node's takeover delay, as a multiple of the lease's takeover jitter.
  double takeover_jitter_share();
  /// Reads the lease from the store. False if the store does not answer.
  boost::asio::awaitable<bool> read();
  boost::asio::awaitable<void> write();
  /// Backs off from the store after a failed call.
  void back_off();

  node_context& node;
  /// Holder id of this start of this node.
  std::string self;
  spokesail::lease lease;
  /// Whether the lease's state is known, from the store or from a peer.
  bool known = false;
  bool releasing = false;
  /// Until when this node does not compete for the lease.
  absl::Time stepped_down_until = absl::InfinitePast();
  /// When this node could first have read the lease.
  absl::Time read_wait_start = absl::InfinitePast();
  /// Drawn once, from 0 to 1: share of the random delay with which a node that
  /// is no candidate reads the lease.
  double read_jitter;
  /// Since when the configuration is current enough to compete for the lease.
  absl::Time current_since = absl::InfiniteFuture();
  /// Until when the store is not called for the lease, after a failed call.
  absl::Time backoff_until = absl::InfinitePast();
  backoff retry_backoff;
};

}  // namespace spokesail
