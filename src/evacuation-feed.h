// Follows the evacuated data halls in the platform's store.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "node-context.h"
#include "store-feed.h"

namespace spokesail {

/// Applies an evacuation snapshot whose age counts back from `as_of`, and
/// logs each change; `source` names the sender.
void apply_evacuations(node_context& node, const evacuation_snapshot& snapshot,
                       absl::Time as_of, const std::string& source);

/// Keeps the node's evacuation state up to date. An object's name alone
/// identifies the evacuated hall; its content does not matter.
class evacuation_feed : public store_feed {
 public:
  explicit evacuation_feed(node_context& node);

  /// Whether a relay is expected to send the evacuations soon.
  std::function<bool()> expected_from_relay;

  /// The failure of this kind alone does not mean that the store is
  /// unreachable.
  bool indicates_reachability() const override { return false; }
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
  /// Adds the hall that an object names.
  void add_hall(evacuation_snapshot& snapshot, const object& o);

  node_context& node;
  /// Wait of the watch in flight.
  absl::Duration current_watch_wait = absl::ZeroDuration();
};

}  // namespace spokesail
