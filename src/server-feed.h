// Follows the servers' entries in the platform's store.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "node-context.h"
#include "store-feed.h"
#include "store-reachability.h"

namespace spokesail {

/// Keeps the node's directory of servers up to date.
class server_feed : public store_feed {
 public:
  server_feed(node_context& node, const store_reachability& reachability);

  /// Called whenever the servers have changed.
  std::function<void()> on_change;
  /// Whether a relay is expected to send all servers soon.
  std::function<bool()> expected_from_relay;
  /// Whether changes of servers are needed without delay.
  std::function<bool()> low_latency_needed;

  absl::Duration wait(bool first) override;
  bool may_list() const override;
  bool must_list() const override;
  int64_t known_revision() const override;
  bool allows_stale_copy() const override { return false; }
  bool contains_requested(const object_listing&) const override {
    return false;
  }
  void apply_listing(const object_listing& listing,
                     absl::Time verified_at) override;
  absl::Duration apply_changes(const object_changes& changes,
                               absl::Time sent) override;

 private:
  void apply_entries(const std::vector<object>& objects, int64_t revision);
  /// Applies an entry from an answer that is complete as of a revision.
  void apply_entry(const object& o, int64_t as_of);
  /// Converts an entry of a revision, with its times on this node's clock.
  listed_server to_listed(const server_entry& entry, int64_t revision) const;
  /// Parses an entry. Returns nothing, and logs why, if it describes no usable
  /// server.
  std::optional<server_entry> parse_entry(const object& o);
  /// Removes a server whose entry is unusable, even if earlier entries of it
  /// were not. It counts as of `as_of` if its own revision cannot be read.
  void remove_unusable(const object& o, int64_t as_of);
  /// Records that all changes up to a time are known.
  void advance_verified_at(absl::Time verified_at);
  /// Applies the end of an entry, which counts as present until `keep_until`.
  void apply_removal(const object& o, int64_t revision, absl::Time keep_until);
  /// Until when entries that are missing after an outage are kept; infinite
  /// past if there was none.
  absl::Time keep_missing_until() const;

  node_context& node;
  const store_reachability& reachability;
};

}  // namespace spokesail
