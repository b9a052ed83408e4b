// Guards against a total of connections from all nodes above the limit of a
// server.
#include "spokesail/connection-share.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spokesail {
namespace {

TEST(connection_share, a_server_without_a_limit_takes_any_number) {
  EXPECT_GT(connection_share(0, 400), 1000000);
}

TEST(connection_share, each_node_may_have_one) {
  EXPECT_EQ(connection_share(51, 400), 1);
}

/// Every node opens as many connections to one server as it may.
RC_GTEST_PROP(connection_share, all_nodes_together_stay_within_the_limit, ()) {
  const int most = *rc::gen::inRange(2, 2000);
  const int nodes = *rc::gen::inRange(1, most);
  RC_ASSERT(connection_share(most, nodes) * nodes <= most);
}

/// The same while the nodes do not know of a tenth of them yet.
RC_GTEST_PROP(connection_share, a_few_unknown_nodes_do_not_break_it, ()) {
  const int nodes = *rc::gen::inRange(10, 400);
  const int most = *rc::gen::inRange(2 * nodes, 20 * nodes);
  const int known = nodes - nodes / 10;
  RC_ASSERT(connection_share(most, known) * nodes <= most);
}

}  // namespace
}  // namespace spokesail
