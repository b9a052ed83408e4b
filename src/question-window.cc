// The size of the window over open questions.
#include "spokesail/question-window.h"

#include <algorithm>

namespace spokesail {

bool question_window::ended(const std::string& server, bool answered,
                            absl::Time now) {
  if (this->asked.erase(server) == 0) return false;
  if (answered) {
    const double step = this->lost_any ? 1 / this->size : 1;
    this->size = std::min(this->limits.most, this->size + step);
    return true;
  }
  if (now - this->shrunk_at < this->limits.settle_time) return true;
  this->lost_any = true;
  this->shrunk_at = now;
  this->size = std::max(this->limits.least, this->size / 2);
  return true;
}

}  // namespace spokesail
