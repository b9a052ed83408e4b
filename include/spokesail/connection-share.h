// Division of a backend server's connections among the nodes.
#pragma once

namespace spokesail {

/// Returns the maximum number of connections that each of `nodes` nodes may
/// have to a server that accepts `max_connections` in total; at least 1. A
/// `max_connections` of 0 means no limit.
int connection_share(int max_connections, int nodes);

}  // namespace spokesail
