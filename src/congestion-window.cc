// Adapts the size of the window to answers and losses.
#include "spokesail/congestion-window.h"

#include <algorithm>

namespace spokesail {

bool congestion_window::on_ended(const std::string& server, bool answered,
                                 absl::Duration loop_delay, absl::Time now) {
  if (this->outstanding.erase(server) == 0) return false;
  const bool delayed = loop_delay > this->limits.max_loop_delay;
  if (answered) {
    if (delayed) return true;
    const double step = this->shrunk ? 1 / this->size : 1;
    this->size = std::min(this->limits.max_size, this->size + step);
    return true;
  }
  if (!delayed || now - this->shrunk_at < this->limits.min_shrink_interval)
    return true;
  this->shrunk = true;
  this->shrunk_at = now;
  this->size = std::max(this->limits.min_size, this->size / 2);
  return true;
}

}  // namespace spokesail
