// Divides the hosts of an engine service among its models by demand.
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
  /// Usable hosts of each fabric domain, those kept for repairs left out.
  std::vector<int> domains;
  /// Data halls that they stand in.
  int halls = 1;
  bool operator==(const host_capacity&) const = default;
};

/// The groups that a model's requests keep busy, each with a full batch.
double needed_groups(const engine_profile& engine, const model_profile& model,
                     const model_demand& demand);

/// How much longer answers take in a model's groups than in idle ones, if
/// `need` groups of `groups` are busy; at least 1.
double predicted_slowdown(double need, int groups);

/// Whether so many groups of each model fit into the domains.
bool groups_fit(const engine_profile& engine, const count_by_model& counts,
                const host_capacity& room);

/// The slowdown of all work under a division, weighted by the hosts it needs.
double allocation_cost(const engine_profile& engine,
                       const count_by_model& counts, const need_by_model& need);

/// The division that costs least, each model's floor kept.
count_by_model allocate_hosts(const engine_profile& engine,
                              const host_capacity& room,
                              const need_by_model& need);

/// What a change of the division has to bring.
struct reallocation_rules {
  /// Least gain of a change over the time that was seen, as a part of the cost.
  /// Callers hardly notice less.
  double min_gain = 0.1;
  /// Least gain in each single second, as a part of the least gain: a burst has
  /// seconds before it in which its change would have been a loss, while demand
  /// that swings has seconds with room for all.
  double min_sample_gain_ratio = 0.5;
  /// How long a change must have been of use beyond the longest load that it
  /// costs: the seconds that one word of demand covers, and its way.
  absl::Duration evidence_margin = absl::Seconds(4);
  /// Whether a change has to wait for a load's time.
  bool wait_for_loads = true;
  bool operator==(const reallocation_rules&) const = default;
};

/// A change of the division, with what decided it.
struct allocation_change {
  count_by_model from;
  count_by_model to;
  need_by_model need;
  /// What it would have gained over the time that was seen, and in the second
  /// with the least gain, as parts of the cost.
  double gain = 0;
  double min_gain = 0;
  absl::Duration seen = absl::ZeroDuration();
  bool operator==(const allocation_change&) const = default;
};

/// The shares of one service's models in its hosts.
class model_shares {
 public:
  explicit model_shares(const reallocation_rules& rules = {}) : rules(rules) {}

  /// Takes what callers ask for in one more second. `wanted` are the groups
  /// that the shares in force make up. Returns the change if there is one.
  std::optional<allocation_change> add_sample(const engine_profile& engine,
                                              const host_capacity& room,
                                              const count_by_model& wanted,
                                              const need_by_model& need,
                                              absl::Time now);

  /// Forgets what was seen, but not the shares: demand is not known as a whole.
  void clear_samples() { this->seen.clear(); }

  /// Takes a share that an earlier holder of the duty had in force.
  void restore_share(const std::string& model, double share) {
    this->shares[model] = share;
  }

  /// The shares that are not as stated, by model.
  const std::map<std::string, double>& changed() const { return this->shares; }

  /// Goes back to what operators state, if that has changed since it was last
  /// seen.
  void sync_configured_shares(const engine_profile& engine);

  /// A model's share of the hosts: as stated until there was a change.
  double share(const model_profile& model) const;

 private:
  struct sample {
    absl::Time at;
    need_by_model need;
  };
  /// The last second that was seen by `from`, or else the first of all.
  size_t first_sample_since(absl::Time from) const;
  /// The mean need of the seconds from the `first` one on.
  need_by_model mean_need_from(size_t first) const;
  /// Fills in what a change gains in the seconds from the `first` one on.
  void evaluate(const engine_profile& engine, size_t first,
                allocation_change& change) const;
  /// The change that is of use, if its loads take no longer than `load`.
  std::optional<allocation_change> find_change(const engine_profile& engine,
                                               const host_capacity& room,
                                               const count_by_model& wanted,
                                               absl::Duration load,
                                               absl::Time now) const;
  void apply_allocation(const engine_profile& engine, const host_capacity& room,
                        const count_by_model& counts);

  reallocation_rules rules;
  std::deque<sample> seen;
  std::map<std::string, double> shares;
  /// The stated shares, as last seen.
  std::map<std::string, double> configured;
};

}  // namespace spokesail
