// The daemon: feeds events to the reducer and executes its effects.
#pragma once

#include "spokesail/settings.h"

namespace spokesail {

/// Runs a node until SIGTERM or SIGINT has been received and all its requests
/// have ended. Returns the exit code of the process.
int serve(const settings& s);

}  // namespace spokesail
