#include "spokesail/config-announcements.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Announcements that are kept; a node that is further behind reads the latest
/// configuration at once.
constexpr size_t max_announcements = 64;

}  // namespace

void config_announcements::add(int64_t revision, absl::Time verified_at) {
  absl::Time& latest =
      this->announced.try_emplace(revision, absl::InfinitePast()).first->second;
  latest = std::max(latest, verified_at);
  if (this->announced.size() > max_announcements) {
    this->announced.erase(this->announced.begin());
  }
}

absl::Time config_announcements::take_verified_at(int64_t revision) {
  absl::Time latest = absl::InfinitePast();
  const auto end = this->announced.upper_bound(revision);
  for (auto at = this->announced.begin(); at != end; ++at) {
    latest = std::max(latest, at->second);
  }
  this->announced.erase(this->announced.begin(), end);
  return latest;
}

}  // namespace spokesail
