#include "spokesail/limit-share.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Maximum number of available slots of a node at a server.
constexpr double max_open_slots = 100;

/// Shortest and longest interval between slots.
const absl::Duration min_period = limit_share::slot_lifetime / max_open_slots;
constexpr absl::Duration max_period = absl::Hours(1);

absl::Duration period_of(double per_s, int nodes) {
  const double rate = limit_share::fraction * per_s / std::max(1, nodes);
  const double seconds = 1 / std::max(rate, 1e-9);
  return std::clamp(absl::Seconds(seconds), min_period, max_period);
}

}  // namespace

bool limit_share::has(const server_instance& server, double per_s, int nodes,
                      absl::Time now, random_stream& random) {
  const absl::Duration period = period_of(per_s, nodes);
  auto found = this->by_server.find(server);
  if (found == this->by_server.end()) {
    const absl::Time first = now + random.unit() * period;
    found = this->by_server.emplace(server, slots{first, period, {}}).first;
  }
  slots& s = found->second;
  if (s.next > now) {
    // Scales the remaining wait instead of drawing a new offset, so that nodes
    // that learn of a change at the same time do not align their slots.
    s.next = now + absl::FDivDuration(period, s.period) * (s.next - now);
  }
  s.period = period;
  const absl::Time expiry_cutoff = now - slot_lifetime;
  if (s.next <= expiry_cutoff) {
    // Skips slots that expired since the last call and keeps the phase.
    const int64_t missed = (expiry_cutoff - s.next) / period + 1;
    s.next += missed * period;
  }
  for (; s.next <= now; s.next += period) s.open.push_back(s.next);
  while (!s.open.empty() && s.open.front() <= expiry_cutoff) s.open.pop_front();
  return !s.open.empty();
}

std::optional<absl::Time> limit_share::use(const server_instance& server,
                                           absl::Time now) {
  const auto found = this->by_server.find(server);
  if (found == this->by_server.end()) return std::nullopt;
  std::deque<absl::Time>& open = found->second.open;
  while (!open.empty() && open.front() + slot_lifetime <= now) open.pop_front();
  if (open.empty()) return std::nullopt;
  const absl::Time until = open.front() + slot_lifetime;
  open.pop_front();
  return until;
}

void limit_share::forget(
    const std::function<bool(const server_instance&)>& exists) {
  std::erase_if(this->by_server,
                [&](const auto& item) { return !exists(item.first); });
}

}  // namespace spokesail
