#include "spokesail/connection-share.h"

#include <algorithm>
#include <limits>

namespace spokesail {
namespace {

/// Fraction of the connections that is divided among the nodes. The rest is
/// reserved for control orders, load reports, and nodes that the others do not
/// know of yet.
constexpr double divided_fraction = 0.9;

}  // namespace

int connection_share(int max_connections, int nodes) {
  if (max_connections <= 0) return std::numeric_limits<int>::max();
  const double per_node =
      divided_fraction * max_connections / std::max(1, nodes);
  return std::max(1, static_cast<int>(per_node));
}

}  // namespace spokesail
