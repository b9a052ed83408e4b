// The comparison of two models' standing.
#include "spokesail/group-share.h"

namespace spokesail {

bool may_yield(yield_rule rule, const model_standing& giver,
               const model_standing& taker, int count) {
  const int left = giver.groups - count;
  if (left >= giver.wanted) return true;
  if (rule == yield_rule::none || left < 1) return false;
  if (taker.groups >= taker.wanted) return false;
  if (left / giver.wanted >= taker.groups / taker.wanted) return true;
  if (rule == yield_rule::even) return false;
  return giver.running <= yield_fill * left * giver.slots;
}

}  // namespace spokesail
