// In which turn nodes read and take a lease that nobody is known to hold.
#pragma once

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <vector>

namespace spokesail {

/// A node's place among the first candidates, from 0; nothing if it is none.
/// `order` gives all candidates, the best first.
std::optional<int> lease_rank(const std::vector<std::string>& order,
                              const std::string& self);

/// How long a candidate waits once a lease has run out. A node that is no
/// candidate waits longer, by `chance` from 0 to 1.
absl::Duration takeover_delay(std::optional<int> rank, double chance);

/// How long after its start a node that has heard of no holder reads the lease
/// from the store. The candidates do so in turn, so that the first of them
/// takes it and tells the others before they ask; of 295 nodes that start at
/// once half read it when each did so by chance within two seconds, and a node
/// on an eighth of a core could be the first.
absl::Duration first_read_delay(std::optional<int> rank, double chance);

}  // namespace spokesail
