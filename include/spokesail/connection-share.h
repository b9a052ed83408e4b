// Division of a backend server's connections among the nodes.
#pragma once

namespace spokesail {

/// Returns the maximum number of connections that each of `nodes` nodes may
/// have to a server that accepts `max_connections` in total; at least 1. A
/// `max_connections` of 0 means no limit.
int connection_share(int max_connections, int nodes);

/// A server's connections, as far as a node knows them.
struct connections_in_use {
  /// This node's own.
  int own = 0;
  /// Those of all nodes.
  int total = 0;
  bool operator==(const connections_in_use&) const = default;
};

/// Whether a node may open another connection to a server. While fewer than
/// half of the connections are in use, it may exceed its equal share, so that a
/// node with most of the requests can use what the others leave. The other half
/// covers what nodes have opened without knowing of each other yet.
bool may_connect(int max_connections, int nodes,
                 const connections_in_use& used);

}  // namespace spokesail
