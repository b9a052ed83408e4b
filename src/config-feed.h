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
  void want(int64_t revision) { this->wanted = revision; }

  /// Called whenever another configuration is in force.
  std::function<void()> on_change;

  absl::Duration wait(bool first) override;
  bool may_list() const override { return true; }
  bool must_list() const override;
  int64_t known_revision() const override { return 0; }
  bool may_copy() const override;
  bool holds_wanted(const object_listing& listing) const override;
  void take_listing(const object_listing& listing, absl::Time proof) override;
  absl::Duration take_changes(const object_changes& changes,
                              absl::Time sent) override;

 private:
  void take_config(const object& o);
  /// Takes the configuration in force as proven at `proof`, unless a later one
  /// is there that could not be read.
  void take_proof(absl::Time proof);

  node_context& node;
  /// Revision of the configuration that a relay has told of.
  int64_t wanted = 0;
  /// Revision of the last configuration that could not be read.
  int64_t unreadable = 0;
  absl::Time listed_at = absl::InfinitePast();
  /// Wait of the watch under way.
  absl::Duration waited = absl::ZeroDuration();
};

}  // namespace spokesail
