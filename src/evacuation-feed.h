// The evacuated data halls, as a node follows them in the platform's store.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "node-context.h"
#include "store-feed.h"

namespace spokesail {

/// Takes a word of evacuations whose age counts back from `as_of`, with a log
/// line for each change; `source` says whose word it is.
void apply_evacuations(node_context& node, const evacuation_snapshot& snapshot,
                       absl::Time as_of, const std::string& source);

/// Keeps what the node knows of evacuations up to date. An object's name alone
/// says which hall it is about, until it is gone.
class evacuation_feed : public store_feed {
 public:
  explicit evacuation_feed(node_context& node);

  /// Whether a relay is about to tell of the evacuations.
  std::function<bool()> expected_from_relay;

  /// A store that lacks this kind alone is not away.
  bool indicates_reachability() const override { return false; }
  absl::Duration wait(bool first) override;
  bool may_list() const override;
  bool must_list() const override;
  int64_t known_revision() const override;
  bool allows_stale_copy() const override { return false; }
  bool contains_requested(const object_listing&) const override {
    return false;
  }
  void apply_listing(const object_listing& listing, absl::Time proof) override;
  absl::Duration apply_changes(const object_changes& changes,
                               absl::Time sent) override;

 private:
  node_context& node;
  /// Wait of the watch under way.
  absl::Duration current_watch_wait = absl::ZeroDuration();
};

}  // namespace spokesail
