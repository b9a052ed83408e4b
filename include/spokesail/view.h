// A node's copy of the platform's objects. Versions of an object only increase.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "spokesail/document.h"

namespace spokesail {

/// An object's key and version, to report to a peer what is known.
struct object_stamp {
  object_key key;
  int64_t version = 0;
  bool operator==(const object_stamp&) const = default;
};

/// The objects known to a node. Duplicate and reordered updates do no harm: an
/// object is replaced only by a higher version. Deletions are kept as
/// tombstones.
class object_view {
 public:
  /// Stores `seen` if it is newer than the known version. Returns whether it
  /// was.
  bool merge(const object& seen);

  /// Marks each object of `kind` that `listed` lacks as deleted, as of the
  /// list's `version`. Returns the deleted objects.
  std::vector<object> retain(const std::string& kind,
                             const std::vector<object>& listed,
                             int64_t version);

  /// The object, unless it is unknown or deleted.
  std::optional<object> find(const object_key& key) const;

  /// All objects of a kind that are not deleted, in order of name.
  std::vector<object> list(const std::string& kind) const;

  /// Keys and versions of everything known, deletions included.
  std::vector<object_stamp> stamps() const;

  /// Everything that is newer here than in `known`.
  std::vector<object> newer_than(const std::vector<object_stamp>& known) const;

  /// A value that is equal for two views with the same versions, in whatever
  /// order these arrived.
  uint64_t digest() const { return this->sum; }

  size_t size() const { return this->objects.size(); }

 private:
  std::map<object_key, object> objects;
  uint64_t sum = 0;
};

}  // namespace spokesail
