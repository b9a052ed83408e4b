#include "spokesail/server-rests.h"

#include <algorithm>

namespace spokesail {

void server_rests::note(const server_instance& server, absl::Duration length,
                        absl::Time now) {
  if (length <= absl::ZeroDuration()) return;
  server_rest& rest = this->rests[server];
  if (rest.until <= now) rest.since = now;
  rest.until = std::max(rest.until, now + std::min(length, max_rest));
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
