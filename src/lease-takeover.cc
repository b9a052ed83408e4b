// The turns of the candidates for a lease.
#include "spokesail/lease-takeover.h"

#include <algorithm>

namespace spokesail {
namespace {

/// So many candidates have a turn of their own; the others wait longer.
constexpr ptrdiff_t max_ranked_candidates = 12;

/// Candidates take a lease over this long one after the other: a store's answer
/// and a message to the peers fit in between.
constexpr absl::Duration takeover_step = absl::Milliseconds(60);

/// The first candidate reads the lease when it has had time to hear of a
/// holder, and the next ones when the first could have told of itself.
constexpr absl::Duration earliest_read = absl::Milliseconds(250);
constexpr absl::Duration read_step = absl::Milliseconds(120);

/// Other nodes read it after all candidates, spread over a time.
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

absl::Duration takeover_delay(std::optional<int> rank, double chance) {
  const double turns = rank ? *rank : max_ranked_candidates * (1 + chance);
  return turns * takeover_step;
}

absl::Duration first_read_delay(std::optional<int> rank, double chance) {
  if (rank) return earliest_read + *rank * read_step;
  return unranked_read + chance * unranked_read_jitter;
}

}  // namespace spokesail
