// Takes, renews and gives up the lease of the node that forms groups.
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

/// A node's part in the lease. Runs beside the holder's duty, since the store
/// may be slow.
class lease_manager {
 public:
  explicit lease_manager(node_context& node);

  /// Takes or renews the lease when it is time to, until the process ends.
  boost::asio::awaitable<void> run();

  /// Gives the lease up, for a process that stops.
  void stop();
  /// Lets the lease run out and leaves it to others for a while.
  void step_down();

  /// Takes the lease as a peer that holds it says it is.
  void observe(const lease_snapshot& said);

  /// Whether this node holds the lease and means to keep it.
  bool holds() const;
  /// Name of the node that holds the lease; empty if none is known to.
  std::string holder() const;
  /// The lease for the peers; nothing if this node does not hold it.
  std::optional<lease_snapshot> snapshot() const;
  /// Fence of the lease as last seen; this node's own while it holds it.
  int64_t fence() const { return this->lease.fence(); }

  /// Names of the nodes that could hold the lease, in the order in which they
  /// take it over.
  std::function<std::vector<std::string>()> candidates;

 private:
  /// Reads, takes or renews the lease if it is time to.
  boost::asio::awaitable<void> renew_or_take_over();
  /// Whether this node may ask for the lease now.
  bool may_call_store() const;
  /// Whether the lease is to be read now, as no peer has told of it.
  bool may_read();
  /// This node's place among the first candidates; nothing if it is none.
  std::optional<int> rank() const;
  /// This node's part of the wait before candidates take a lease over.
  double takeover_jitter_share();
  /// Reads the lease from the store. False if the store does not answer.
  boost::asio::awaitable<bool> read();
  boost::asio::awaitable<void> write();
  /// Leaves the store alone for a while, after a failed call.
  void back_off();

  node_context& node;
  /// This start of this node, as the lease's holder.
  std::string self;
  spokesail::lease lease;
  /// Whether the lease's state is known, from the store or from a peer.
  bool known = false;
  bool releasing = false;
  /// Until when this node leaves the lease to others.
  absl::Time stepped_down_until = absl::InfinitePast();
  /// When this node first could have read the lease.
  absl::Time read_wait_start = absl::InfinitePast();
  /// Drawn once, 0 to 1: how late a node that is no candidate reads it.
  double read_jitter;
  /// Until when the store is not called for the lease, after a failed call.
  absl::Time backoff_until = absl::InfinitePast();
  backoff retry_backoff;
};

}  // namespace spokesail
