// Delays of the candidates for a lease, by rank.
#include "spokesail/lease-takeover.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Number of candidates with a rank of their own; all others wait longer.
constexpr ptrdiff_t max_ranked_candidates = 12;

/// Delay between two ranks in a takeover: long enough for an answer of the
/// store and a message to the peers.
constexpr absl::Duration takeover_step = absl::Milliseconds(60);

/// The first candidate reads the lease once it has had time to learn of a
/// holder, and each next one when the previous could have announced itself.
constexpr absl::Duration earliest_read = absl::Milliseconds(250);
constexpr absl::Duration read_step = absl::Milliseconds(120);

/// Other nodes read it after all candidates, spread over this time.
constexpr absl::Duration unranked_read = absl::Milliseconds(2500);
constexpr absl::Duration unranked_read_jitter = absl::Milliseconds(2000);

}  // namespace

std::optional<int> lease_rank(const std::vector<std::string>& order,
                              const std::string& self) {
  const auto size = static_cast<ptrdiff_t>(order.size());
  const auto last = order.begin() + std::min(max_ranked_candidates, size);
  const auto at = std::find(order.begin(), last, self);
  if (at == last) return std::nullopt;
  return static_cast<int>(at - order.begin());
}

absl::Duration takeover_delay(std::optional<int> rank, double random_unit) {
  const double steps = rank ? *rank : max_ranked_candidates * (1 + random_unit);
  return steps * takeover_step;
}

absl::Duration return_delay(std::optional<int> rank, double random_unit) {
  if (rank) return *rank * takeover_step;
  return unranked_read + random_unit * unranked_read_jitter;
}

absl::Duration first_read_delay(std::optional<int> rank, double random_unit) {
  if (rank) return earliest_read + *rank * read_step;
  return unranked_read + random_unit * unranked_read_jitter;
}

}  // namespace spokesail
