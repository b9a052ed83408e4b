// The comparison of two models' standing.
#include "spokesail/group-share.h"

namespace spokesail {

bool may_yield(const model_standing& giver, const model_standing& taker,
               int count) {
  const int left = giver.groups - count;
  if (left >= giver.wanted) return true;
  const double giver_fill = left / giver.wanted;
  const double taker_fill = taker.groups / taker.wanted;
  return taker_fill <= scarce_fill && giver_fill >= kept_fill;
}

}  // namespace spokesail
