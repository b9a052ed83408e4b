// Decides which model's groups may be dissolved for a model that lacks some.
#pragma once

namespace spokesail {

/// Group counts of a model.
struct model_group_counts {
  /// Groups that exist or form.
  int groups = 0;
  /// Groups that the model's share of the hosts amounts to.
  double wanted = 1;
  bool operator==(const model_group_counts&) const = default;
};

/// A model whose groups are at most this fraction of those wanted has hardly
/// any left: the remaining ones are full and most of its requests are refused.
constexpr double scarce_fill_ratio = 0.35;

/// Fraction of its wanted groups that a model keeps when it gives up some for
/// such a model. Groups in service run half of the requests that they have
/// capacity for.
constexpr double donor_min_fill_ratio = 0.65;

/// Whether `donor` may dissolve `count` more of its groups so that `recipient`
/// gets one more. It may dissolve those beyond its share, and others if
/// `recipient` has hardly any left. A merely larger fill ratio of `donor` is
/// not enough, since its groups are needed in bursts.
bool may_yield(const model_group_counts& donor,
               const model_group_counts& recipient, int count);

}  // namespace spokesail
