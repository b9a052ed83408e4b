#include "clock.h"

#include <ctime>

namespace spokesail {

absl::Time boot_now() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return absl::TimeFromTimespec(ts);
}

}  // namespace spokesail
