// Which model's groups give way when another model lacks some.
#pragma once

namespace spokesail {

/// How a model stands in the fleet.
struct model_standing {
  /// Groups that stand or form.
  int groups = 0;
  /// Groups that its share of the hosts makes up.
  double wanted = 1;
  /// Requests that one of its groups runs at once.
  int slots = 0;
  /// Requests in all its groups, as seen of late.
  double running = 0;
  bool operator==(const model_standing&) const = default;
};

/// How far a model's groups give way to another model's.
enum class yield_rule {
  /// Only groups beyond those that its share makes up.
  none,
  /// As long as the model that gives stays as full as the one that takes.
  even,
  /// The same, or as long as its requests fill no more than `yield_fill` of
  /// the places that it keeps.
  unused
};

/// A model whose remaining groups would be filled beyond this part of their
/// places keeps its groups. A group's passes take a third longer at this fill
/// than at half of it, by the figures of the engines that are served, and a
/// burst of a third still finds room.
constexpr double yield_fill = 0.75;

/// Whether `giver` may end `count` more of its groups so that `taker`, which
/// has fewer than are wanted, gets one more.
bool may_yield(yield_rule rule, const model_standing& giver,
               const model_standing& taker, int count);

}  // namespace spokesail
