#include "spokesail/server-rests.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Largest random extension of a rest, as a fraction of it.
constexpr double max_extension = 0.1;

/// Part of a rest over which the callers refused during it return.
constexpr double return_fraction = 0.25;

}  // namespace

absl::Duration rest_retry_delay(const server_rest& first, absl::Time now) {
  const absl::Duration elapsed = now - first.since;
  return first.until - now + return_fraction * elapsed;
}

void server_rests::note(const server_instance& server, absl::Duration length,
                        absl::Time now, random_stream& random) {
  if (length <= absl::ZeroDuration()) return;
  server_rest& rest = this->rests[server];
  if (rest.until <= now) rest.since = now;
  const double extension = max_extension * random.unit();
  rest.until =
      std::max(rest.until, now + (1 + extension) * std::min(length, max_rest));
}

std::optional<server_rest> server_rests::find(const server_instance& server,
                                              absl::Time now) const {
  const auto found = this->rests.find(server);
  if (found == this->rests.end() || found->second.until <= now) {
    return std::nullopt;
  }
  return found->second;
}

void server_rests::expire(absl::Time now) {
  std::erase_if(this->rests,
                [now](const auto& item) { return item.second.until <= now; });
}

}  // namespace spokesail
