// Compares the group counts of two models.
#include "spokesail/group-yield.h"

namespace spokesail {

bool may_yield(const model_group_counts& donor,
               const model_group_counts& recipient, int count) {
  const int left = donor.groups - count;
  if (left >= donor.wanted) return true;
  const double donor_fill = left / donor.wanted;
  const double recipient_fill = recipient.groups / recipient.wanted;
  return recipient_fill <= scarce_fill_ratio &&
         donor_fill >= donor_min_fill_ratio;
}

}  // namespace spokesail
