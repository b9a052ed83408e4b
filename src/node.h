// `spokesail node`: a proxy process in front of a platform's backend servers.
#pragma once

#include "node-settings.h"

namespace spokesail {

/// Holds back the signals that stop or reload a node, which would otherwise end
/// the process, until `run_node` can handle them. Call it first in the process.
void block_node_signals();

/// Runs a node until it receives a stop signal. Returns the exit code.
int run_node(const node_settings& settings);

}  // namespace spokesail
