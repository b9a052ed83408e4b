// The daemon's clock.
#pragma once

#include <absl/time/time.h>

namespace spokesail {

/// Time since the machine booted, as a time since the Unix epoch. The clock
/// keeps running while the machine is suspended and is never adjusted.
absl::Time boot_now();

}  // namespace spokesail
