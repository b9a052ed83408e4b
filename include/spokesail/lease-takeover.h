// The order and delays in which nodes read and take over a lease that has no
// known holder.
#pragma once

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace spokesail {

/// A node's rank among the first candidates, from 0; nothing if it is not among
/// them. `order` lists all candidates, best first.
std::optional<int> lease_rank(const std::vector<std::string>& order,
                              const std::string& self);

/// How long a candidate waits after a lease has expired. A node without a rank
/// waits longer; `random_unit`, from 0 to 1, is its random share of the extra
/// wait.
absl::Duration takeover_delay(std::optional<int> rank, double random_unit);

/// How long after its start a node that has learned of no holder waits before
/// it reads the lease from the store. Candidates read it in order of rank, so
/// that the first takes the lease and informs the others before they read. When
/// 295 nodes started at once and each read after a random time within two
/// seconds, half of them read the lease, and a node on an eighth of a core
/// could become the first holder.
absl::Duration first_read_delay(std::optional<int> rank, double random_unit);

/// How long a node whose configuration was out of date waits, once it is
/// current again, before it competes for the lease. The lease that it knows has
/// long expired, and so it has for all nodes of a data hall that was cut off:
/// without a wait each of them would try to take it before it receives the
/// holder's state.
absl::Duration return_delay(std::optional<int> rank, double random_unit);

/// Upper bound of `return_delay`.
inline constexpr absl::Duration max_return_delay = absl::Milliseconds(4500);

}  // namespace spokesail
