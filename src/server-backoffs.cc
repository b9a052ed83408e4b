#include "spokesail/server-backoffs.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Largest random extension of a backoff, as a fraction of it.
constexpr double max_extension = 0.1;

/// Part of a backoff over which the callers refused during it return.
constexpr double return_fraction = 0.25;

}  // namespace

absl::Duration backoff_retry_delay(const server_backoff& first,
                                   absl::Time now) {
  const absl::Duration elapsed = now - first.since;
  return first.until - now + return_fraction * elapsed;
}

void server_backoffs::note(const server_instance& server, absl::Duration length,
                           absl::Time now, random_stream& random) {
  if (length <= absl::ZeroDuration()) return;
  server_backoff& backoff = this->backoffs[server];
  if (backoff.until <= now) backoff.since = now;
  const double extension = max_extension * random.unit();
  backoff.until = std::max(
      backoff.until, now + (1 + extension) * std::min(length, max_backoff));
}

std::optional<server_backoff> server_backoffs::find(
    const server_instance& server, absl::Time now) const {
  const auto found = this->backoffs.find(server);
  if (found == this->backoffs.end() || found->second.until <= now) {
    return std::nullopt;
  }
  return found->second;
}

void server_backoffs::expire(absl::Time now) {
  std::erase_if(this->backoffs,
                [now](const auto& item) { return item.second.until <= now; });
}

}  // namespace spokesail
