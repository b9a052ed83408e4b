// Which model's groups give way when another model lacks some.
#pragma once

namespace spokesail {

/// How a model stands in the fleet.
struct model_standing {
  /// Groups that stand or form.
  int groups = 0;
  /// Groups that its share of the hosts makes up.
  double wanted = 1;
  bool operator==(const model_standing&) const = default;
};

/// How far a model's groups give way to another model's.
enum class yield_rule {
  /// Only groups beyond those that its share makes up.
  none,
  /// The same, or while the model that takes has hardly any group left.
  scarce,
  /// The same, or as long as the model that gives stays as full as the one that
  /// takes.
  even
};

/// A model with no more than this part of the groups that its share makes up
/// has hardly any left: those that stand are full, and most of its requests are
/// refused.
constexpr double scarce_fill = 0.35;

/// What a model keeps of its own groups when it gives some to such a model.
/// Groups of the engines that are served run half of what they have room for.
constexpr double kept_fill = 0.65;

/// Whether `giver` may end `count` more of its groups so that `taker`, which
/// has fewer than are wanted, gets one more.
bool may_yield(yield_rule rule, const model_standing& giver,
               const model_standing& taker, int count);

}  // namespace spokesail
