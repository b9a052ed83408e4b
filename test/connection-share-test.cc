// Guards against a total of connections from all nodes above the limit of a
// server.
#include "spokesail/connection-share.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

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

// Guards against a node that is refused connections which nobody uses.
TEST(connection_share, one_node_may_use_what_the_others_leave) {
  constexpr int max_connections = 646;
  for (const int nodes : {3, 58, 295, 984}) {
    int own = 0;
    while (may_connect(max_connections, nodes, {own, own})) ++own;
    EXPECT_GE(own, max_connections / 3) << nodes;
    EXPECT_LE(own, max_connections) << nodes;
  }
}

/// Nodes open connections in random order, as many as they may.
RC_GTEST_PROP(connection_share, total_stays_within_the_limit_for_any_demand,
              ()) {
  const int nodes = *rc::gen::element(3, 58, 295, 984);
  const int max_connections = *rc::gen::inRange(2 * nodes, 20 * nodes);
  const int demanding = *rc::gen::inRange(1, nodes + 1);
  std::vector<int> own(static_cast<size_t>(demanding), 0);
  int total = 0;
  bool opened = true;
  while (opened) {
    opened = false;
    for (int& n : own) {
      if (!may_connect(max_connections, nodes, {n, total})) continue;
      ++n;
      ++total;
      opened = true;
    }
  }
  RC_ASSERT(total <= max_connections);
}

/// In one round of load reports, as many nodes as share the spare half open
/// connections without knowing of each other.
TEST(connection_share, nodes_that_do_not_know_of_each_other_stay_within_it) {
  constexpr int max_connections = 646;
  constexpr int crowded_nodes = 2;
  int own = 0;
  while (may_connect(max_connections, 58, {own, own})) ++own;
  EXPECT_LE(crowded_nodes * own, max_connections);
}

}  // namespace
}  // namespace spokesail
