// The daemon: carries out the reducer's effects and feeds it events.
#pragma once

#include "spokesail/settings.h"

namespace spokesail {

/// Runs a node until SIGTERM or SIGINT has been received and all its requests
/// have ended. Gives the exit code of the process.
int serve(const settings& s);

}  // namespace spokesail
