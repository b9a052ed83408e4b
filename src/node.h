// `spokesail node`: a proxy process in front of a platform's backend servers.
#pragma once

#include "node-settings.h"

namespace spokesail {

/// Runs a node until it receives a stop signal. Returns the exit code.
int run_node(const node_settings& settings);

}  // namespace spokesail
