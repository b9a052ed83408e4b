// Adapts the size of the window to answers and losses.
#include "spokesail/congestion-window.h"

#include <algorithm>

namespace spokesail {

bool congestion_window::ended(const std::string& server, bool answered,
                              absl::Duration loop_delay, absl::Time now) {
  if (this->asked.erase(server) == 0) return false;
  const bool late = loop_delay > this->limits.late;
  if (answered) {
    if (late) return true;
    const double step = this->shrunk ? 1 / this->size : 1;
    this->size = std::min(this->limits.most, this->size + step);
    return true;
  }
  if (!late || now - this->shrunk_at < this->limits.min_shrink_interval)
    return true;
  this->shrunk = true;
  this->shrunk_at = now;
  this->size = std::max(this->limits.least, this->size / 2);
  return true;
}

}  // namespace spokesail
