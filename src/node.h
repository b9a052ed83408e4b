// `spokesail node`: one process before a platform's backend servers.
#pragma once

#include "node-settings.h"

namespace spokesail {

/// Runs a node until it is told to stop. Returns the exit code.
int run_node(const node_settings& settings);

}  // namespace spokesail
