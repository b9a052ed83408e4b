// A kind of objects in the platform's store that a node follows.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <utility>

#include "spokesail/object-store.h"

namespace spokesail {

/// What store_sync asks of a kind, and what it hands over.
class store_feed {
 public:
  store_feed(std::string kind, const char* list_name, const char* watch_name)
      : kind(std::move(kind)), list_name(list_name), watch_name(watch_name) {}
  virtual ~store_feed() = default;
  store_feed(const store_feed&) = delete;
  store_feed& operator=(const store_feed&) = delete;

  /// Whether an unanswered call tells that the store is away.
  virtual bool indicates_reachability() const { return true; }
  /// Longest wait of the next watch, which may be the first in a row.
  virtual absl::Duration wait(bool first) = 0;
  /// Whether the kind may be listed now.
  virtual bool may_list() const = 0;
  /// Whether a node that does not watch has to list the kind again.
  virtual bool must_list() const = 0;
  /// The revision known from elsewhere, for the next watch; 0 if none.
  virtual int64_t known_revision() const = 0;
  /// Whether a copy that may be old can hold what is wanted.
  virtual bool allows_stale_copy() const = 0;
  /// Whether a listing from such a copy holds it.
  virtual bool contains_requested(const object_listing& listing) const = 0;
  /// Takes a whole listing that is known to have held at `proof`.
  virtual void apply_listing(const object_listing& listing,
                             absl::Time proof) = 0;
  /// Takes the answer to a watch of `sent`. Returns the pause before the next.
  virtual absl::Duration apply_changes(const object_changes& changes,
                                       absl::Time sent) = 0;

  const std::string kind;
  /// What its calls are counted as.
  const char* const list_name;
  const char* const watch_name;
};

}  // namespace spokesail
