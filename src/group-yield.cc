// Compares the group counts of two models.
#include "spokesail/group-yield.h"

namespace spokesail {

bool may_yield(const model_group_counts& giver, const model_group_counts& taker,
               int count) {
  const int left = giver.groups - count;
  if (left >= giver.wanted) return true;
  const double giver_fill = left / giver.wanted;
  const double taker_fill = taker.groups / taker.wanted;
  return taker_fill <= scarce_fill_ratio && giver_fill >= donor_min_fill_ratio;
}

}  // namespace spokesail
