// Which model's groups give way when another model lacks some.
#pragma once

namespace spokesail {

/// How a model stands in the fleet.
struct model_group_counts {
  /// Groups that stand or form.
  int groups = 0;
  /// Groups that its share of the hosts makes up.
  double wanted = 1;
  bool operator==(const model_group_counts&) const = default;
};

/// A model with no more than this part of the groups that its share makes up
/// has hardly any left: those that stand are full, and most of its requests are
/// refused.
constexpr double scarce_fill_ratio = 0.35;

/// What a model keeps of its own groups when it gives some to such a model.
/// Groups of the engines that are served run half of what they have room for.
constexpr double donor_min_fill_ratio = 0.65;

/// Whether `giver` may end `count` more of its groups so that `taker` gets one
/// more: those beyond its share, and others if `taker` has hardly any left.
/// It does not give on for as long as it has more groups, since these are
/// missed in bursts.
bool may_yield(const model_group_counts& giver, const model_group_counts& taker,
               int count);

}  // namespace spokesail
