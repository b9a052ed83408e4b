#include "spokesail/connection-share.h"

#include <algorithm>
#include <limits>

namespace spokesail {
namespace {

/// Fraction of the connections that is divided among the nodes. The rest is
/// reserved for control orders, load reports, and nodes that the others do not
/// know of yet.
constexpr double divided_fraction = 0.9;

/// Fraction of the connections that may be in use before a node is limited to
/// its equal share.
constexpr double shared_fraction = 0.5 * divided_fraction;

}  // namespace

int connection_share(int max_connections, int nodes) {
  if (max_connections <= 0) return std::numeric_limits<int>::max();
  const double per_node =
      divided_fraction * max_connections / std::max(1, nodes);
  return std::max(1, static_cast<int>(per_node));
}

bool may_connect(int max_connections, int nodes,
                 const connections_in_use& used) {
  return used.own < connection_share(max_connections, nodes) ||
         used.total < shared_fraction * max_connections;
}

}  // namespace spokesail
