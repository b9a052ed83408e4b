// The comparison of two models' standing.
#include "spokesail/group-share.h"

namespace spokesail {

bool may_yield(yield_rule rule, const model_standing& giver,
               const model_standing& taker, int count) {
  const int left = giver.groups - count;
  if (left >= giver.wanted) return true;
  if (rule == yield_rule::none || left < 1) return false;
  if (taker.groups >= taker.wanted) return false;
  const double giver_fill = left / giver.wanted;
  const double taker_fill = taker.groups / taker.wanted;
  if (taker_fill <= scarce_fill && giver_fill >= kept_fill) return true;
  return rule == yield_rule::even && giver_fill >= taker_fill;
}

}  // namespace spokesail
