// The configuration, as a node follows it in the platform's store.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>

#include "node-context.h"
#include "store-feed.h"

namespace spokesail {

/// Puts configurations in force, and keeps the proof of how old they are.
class config_feed : public store_feed {
 public:
  explicit config_feed(node_context& node);

  /// Asks for the configuration of at least this revision to be read.
  void request_revision(int64_t revision) {
    this->requested_revision = revision;
  }

  /// Called whenever another configuration is in force.
  std::function<void()> on_change;

  absl::Duration wait(bool first) override;
  bool may_list() const override { return true; }
  bool must_list() const override;
  int64_t known_revision() const override { return 0; }
  bool allows_stale_copy() const override;
  bool contains_requested(const object_listing& listing) const override;
  void apply_listing(const object_listing& listing, absl::Time proof) override;
  absl::Duration apply_changes(const object_changes& changes,
                               absl::Time sent) override;

 private:
  void apply_config(const object& o);
  /// Takes the configuration in force as proven at `proof`, unless a later one
  /// is there that could not be read.
  void advance_verified_at(absl::Time proof);

  node_context& node;
  /// Revision of the configuration that a relay has told of.
  int64_t requested_revision = 0;
  /// Revision of the last configuration that could not be read.
  int64_t unreadable_revision = 0;
  absl::Time listed_at = absl::InfinitePast();
  /// Wait of the watch under way.
  absl::Duration current_watch_wait = absl::ZeroDuration();
};

}  // namespace spokesail
