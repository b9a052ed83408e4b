// Traits of requests that were answered a short time ago.
#pragma once

#include <absl/time/time.h>

#include <map>

#include "spokesail/request-trait.h"

namespace spokesail {

/// Remembers when a request with a trait last got an answer. Callers choose
/// what their requests contain, so the number of traits is bounded: the oldest
/// are dropped, half of them at a time. Does no I/O and does not wait.
class recent_traits {
 public:
  /// Number of traits after which the older half is dropped.
  static constexpr size_t half_size = 2048;

  /// Records that a request with the trait is being answered.
  void record(const request_trait& trait, absl::Time now);

  /// When this was last recorded; infinite past if it is not known.
  absl::Time last(const request_trait& trait) const;

  size_t size() const { return this->newer.size() + this->older.size(); }

 private:
  std::map<request_trait, absl::Time> newer;
  std::map<request_trait, absl::Time> older;
};

}  // namespace spokesail
