// Allocates the hosts of an engine service to its models by demand.
#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "spokesail/model-demand.h"
#include "spokesail/routing-config.h"

namespace spokesail {

/// A number for each model, by its name.
using count_by_model = std::map<std::string, int>;
using need_by_model = std::map<std::string, double>;

/// The hosts that groups can be formed of.
struct host_capacity {
  /// Number of usable hosts of each fabric domain, without those kept as
  /// spares.
  std::vector<int> domains;
  /// Number of data halls that the hosts are in.
  int halls = 1;
  bool operator==(const host_capacity&) const = default;
};

/// Number of groups that a model's requests keep busy, each with a full batch.
double needed_groups(const engine_profile& engine, const model_profile& model,
                     const model_demand& demand);

/// How much longer answers take in a model's groups than in idle ones if `need`
/// groups of `groups` are busy; at least 1.
double predicted_slowdown(double need, int groups);

/// Whether this number of groups of each model fits into the domains.
bool groups_fit(const engine_profile& engine, const count_by_model& counts,
                const host_capacity& capacity);

/// The slowdown of all requests under an allocation, weighted by the hosts that
/// they need.
double allocation_cost(const engine_profile& engine,
                       const count_by_model& counts, const need_by_model& need);

/// The allocation of the lowest cost that keeps each model's minimum.
count_by_model allocate_hosts(const engine_profile& engine,
                              const host_capacity& capacity,
                              const need_by_model& need);

/// Thresholds for a change of the allocation.
struct reallocation_rules {
  /// Minimum gain of a change over the observed time, as a fraction of the
  /// cost. Callers hardly notice a smaller one.
  double min_gain = 0.1;
  /// Minimum gain in each single second, as a fraction of the minimum gain.
  /// Before a burst there are seconds in which its change would have been a
  /// loss, while demand that fluctuates has seconds with capacity for all.
  double min_sample_gain_ratio = 0.5;
  /// A change must have been worthwhile for the longest load that it causes and
  /// this much longer: the seconds that a demand report covers, and its
  /// transmission.
  absl::Duration evidence_margin = absl::Seconds(4);
  /// Whether a change has to be worthwhile for as long as its loads take.
  bool wait_for_loads = true;
  bool operator==(const reallocation_rules&) const = default;
};

/// A change of the allocation, with the figures that led to it.
struct allocation_change {
  count_by_model from;
  count_by_model to;
  need_by_model need;
  /// What it would have gained over the observed time, and in the second with
  /// the lowest gain, as fractions of the cost.
  double gain = 0;
  double lowest_gain = 0;
  absl::Duration observed = absl::ZeroDuration();
  bool operator==(const allocation_change&) const = default;
};

/// The shares of one service's models in its hosts.
class model_shares {
 public:
  explicit model_shares(const reallocation_rules& rules = {}) : rules(rules) {}

  /// Adds the demand of one more second. `wanted` are the numbers of groups
  /// that the shares in force amount to. Returns a change if one is made.
  std::optional<allocation_change> add_sample(const engine_profile& engine,
                                              const host_capacity& capacity,
                                              const count_by_model& wanted,
                                              const need_by_model& need,
                                              absl::Time now);

  /// Clears the observed demand but keeps the shares, for when demand is not
  /// known in full.
  void clear_samples() { this->samples.clear(); }

  /// Restores a share that a previous holder had in force.
  void restore_share(const std::string& model, double share) {
    this->shares[model] = share;
  }

  /// The shares that differ from the configured ones, by model.
  const std::map<std::string, double>& changed() const { return this->shares; }

  /// Returns to the configured shares if these have changed since the last
  /// call.
  void sync_configured_shares(const engine_profile& engine);

  /// A model's share of the hosts; the configured one until there is a change.
  double share(const model_profile& model) const;

 private:
  struct sample {
    absl::Time at;
    need_by_model need;
  };
  /// Index of the last sample taken at or before `from`; 0 if there is none.
  size_t first_sample_since(absl::Time from) const;
  /// The mean need of the samples from index `first` on.
  need_by_model mean_need_from(size_t first) const;
  /// Computes the gains of a change in the samples from index `first` on.
  void evaluate(const engine_profile& engine, size_t first,
                allocation_change& change) const;
  /// A change that is worthwhile, if its loads take no longer than `load`.
  std::optional<allocation_change> find_change(const engine_profile& engine,
                                               const host_capacity& capacity,
                                               const count_by_model& wanted,
                                               absl::Duration load,
                                               absl::Time now) const;
  void apply_allocation(const engine_profile& engine,
                        const host_capacity& capacity,
                        const count_by_model& counts);

  reallocation_rules rules;
  std::deque<sample> samples;
  std::map<std::string, double> shares;
  /// The configured shares at the last call of `sync_configured_shares`.
  std::map<std::string, double> configured;
};

}  // namespace spokesail
