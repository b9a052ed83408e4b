// Follows the configuration in the platform's store.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>

#include "node-context.h"
#include "store-feed.h"

namespace spokesail {

/// Puts new configurations in force and records when the current one was last
/// verified.
class config_feed : public store_feed {
 public:
  explicit config_feed(node_context& node);

  /// Requests that the configuration of at least this revision be read.
  void request_revision(int64_t revision) {
    this->requested_revision = revision;
  }

  /// Called after a new configuration has been put in force.
  std::function<void()> on_change;
  /// Whether a relay is expected to announce the first configuration.
  std::function<bool()> expected_from_relay;

  absl::Duration wait(bool first) override;
  bool may_list() const override;
  bool must_list() const override;
  int64_t known_revision() const override { return 0; }
  bool allows_stale_copy() const override;
  bool contains_requested(const object_listing& listing) const override;
  void apply_listing(const object_listing& listing,
                     absl::Time verified_at) override;
  absl::Duration apply_changes(const object_changes& changes,
                               absl::Time sent) override;

 private:
  void apply_config(const object& o);
  /// Records that the configuration in force was current at `verified_at`,
  /// unless the store has a later one that could not be read.
  void advance_verified_at(absl::Time verified_at);

  node_context& node;
  /// Latest revision of the configuration announced by a relay.
  int64_t requested_revision = 0;
  /// Revision of the last configuration that could not be read.
  int64_t unreadable_revision = 0;
  absl::Time listed_at = absl::InfinitePast();
  /// Maximum wait of the current watch.
  absl::Duration current_watch_wait = absl::ZeroDuration();
};

}  // namespace spokesail
