// The choice between a running attempt and another one.
#include "spokesail/failover.h"

#include <algorithm>

namespace spokesail {

const char* reason_to_keep(const failover_chance& chance) {
  if (chance.obstacle != nullptr) return chance.obstacle;
  if (!chance.granted) return "no retry left in the budget";
  if (!chance.placed) return "no other server can take it";
  if (!chance.confirmed) return "the other server does not answer";
  if (chance.recovered) return "its server has gone on";
  return nullptr;
}

bool failover_pacer::try_begin(absl::Time now) {
  if (this->running >= this->limit || now < this->next_begin) return false;
  ++this->running;
  return true;
}

void failover_pacer::end(bool confirmed, absl::Time now) {
  --this->running;
  if (confirmed) {
    this->limit = max_searches;
    this->delay = min_delay;
    this->next_begin = absl::InfinitePast();
    return;
  }
  this->limit = std::max(1, this->limit / 2);
  this->next_begin = now + this->delay;
  this->delay = std::min(max_delay, 2 * this->delay);
}

}  // namespace spokesail
