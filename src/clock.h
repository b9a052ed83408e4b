// The clock of the daemon.
#pragma once

#include <absl/time/time.h>

namespace spokesail {

/// Time since the machine started, as a time since the Unix epoch. It runs on
/// while the machine is suspended and is never set.
absl::Time boot_now();

}  // namespace spokesail
