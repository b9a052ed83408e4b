#include "spokesail/recent-traits.h"

#include <utility>

namespace spokesail {

void recent_traits::record(const request_trait& trait, absl::Time now) {
  const bool known = this->newer.count(trait) != 0;
  if (!known && this->newer.size() >= half_size) {
    this->older = std::exchange(this->newer, {});
  }
  this->newer[trait] = now;
}

absl::Time recent_traits::last(const request_trait& trait) const {
  for (const auto* times : {&this->newer, &this->older}) {
    const auto found = times->find(trait);
    if (found != times->end()) return found->second;
  }
  return absl::InfinitePast();
}

}  // namespace spokesail
