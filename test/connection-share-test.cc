// Guards against a total of connections from all nodes above the limit of a
// server.
#include "spokesail/connection-share.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spokesail {
namespace {

TEST(connection_share, is_unlimited_without_a_limit) {
  EXPECT_GT(connection_share(0, 400), 1000000);
}

TEST(connection_share, is_at_least_one) {
  EXPECT_EQ(connection_share(51, 400), 1);
}

/// Every node opens as many connections to one server as it may.
RC_GTEST_PROP(connection_share, total_stays_within_the_limit, ()) {
  const int max_connections = *rc::gen::inRange(2, 2000);
  const int nodes = *rc::gen::inRange(1, max_connections);
  RC_ASSERT(connection_share(max_connections, nodes) * nodes <=
            max_connections);
}

/// The same while the nodes do not know of a tenth of them yet.
RC_GTEST_PROP(connection_share, total_stays_within_the_limit_with_unknown_nodes,
              ()) {
  const int nodes = *rc::gen::inRange(10, 400);
  const int max_connections = *rc::gen::inRange(2 * nodes, 20 * nodes);
  const int known = nodes - nodes / 10;
  RC_ASSERT(connection_share(max_connections, known) * nodes <=
            max_connections);
}

}  // namespace
}  // namespace spokesail
