// Interface for one kind of object that a node follows in the platform's store.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <utility>

#include "spokesail/object-store.h"

namespace spokesail {

/// Tells store_sync when to list and watch one kind of object, and applies the
/// results.
class store_feed {
 public:
  store_feed(std::string kind, const char* list_name, const char* watch_name)
      : kind(std::move(kind)), list_name(list_name), watch_name(watch_name) {}
  virtual ~store_feed() = default;
  store_feed(const store_feed&) = delete;
  store_feed& operator=(const store_feed&) = delete;

  /// Whether an unanswered call counts as an outage of the store.
  virtual bool indicates_reachability() const { return true; }
  /// Maximum wait of the next watch; `first` if it is the first in a row.
  virtual absl::Duration wait(bool first) = 0;
  /// Whether the kind may be listed now.
  virtual bool may_list() const = 0;
  /// Whether a node that does not watch has to list the kind again.
  virtual bool must_list() const = 0;
  /// The revision known from a relay, for the next watch; 0 if none.
  virtual int64_t known_revision() const = 0;
  /// Whether a copy that may be stale can have the requested revision.
  virtual bool allows_stale_copy() const = 0;
  /// Whether a listing from such a copy has the requested revision.
  virtual bool contains_requested(const object_listing& listing) const = 0;
  /// Applies a complete listing that was current at `verified_at`; infinite
  /// past if that time is unknown.
  virtual void apply_listing(const object_listing& listing,
                             absl::Time verified_at) = 0;
  /// Applies the answer to a watch that was sent at `sent`. Returns the delay
  /// before the next watch.
  virtual absl::Duration apply_changes(const object_changes& changes,
                                       absl::Time sent) = 0;

  const std::string kind;
  /// Names under which metrics count the calls.
  const char* const list_name;
  const char* const watch_name;
};

}  // namespace spokesail
