// Has hosts load weights before the groups that need them form.
#include <algorithm>
#include <cmath>

#include "group-state.h"

namespace spokesail {
namespace {

/// A staging order that takes this much longer than a load has failed.
constexpr absl::Duration stage_slack = absl::Seconds(1);

/// Number of members added to those that a model with a share of 1 has in a
/// domain, so that its group may form where it has none.
constexpr double absent_model_members = 0.5;

/// Exponent by which the need for each further spare of a model falls. The
/// first spare covers the next loss among the members. Each further one only
/// covers a loss before hosts are staged again, whose probability falls faster
/// than in proportion to the number of spares.
constexpr double spare_exponent = 1.5;

/// Lower bound of the number of spares, the next one included, by which
/// `weighted_need` divides. It applies where a group lacks hosts to form.
constexpr double min_coverage = 0.1;

/// A spare changes its weights only for a model whose need is this many times
/// as high, since it is of no use while it loads.
constexpr double restage_factor = 2;

/// Hosts of a domain that hold a larger model's weights in addition to that
/// model's groups, as a fraction of the size of one of its groups. A failure
/// takes one or two hosts out of a group, and the next one may come before a
/// load of 12 to 16 s ends. After a restart such hosts do not have the weights
/// of the model that they served: when all hosts held the larger model's
/// weights, smaller groups were missing after a release instead.
constexpr double yield_spare_ratio = 0.5;

/// The model with the smallest groups; null if there is none.
const model_profile* smallest_model(const engine_profile& engine) {
  const auto smallest = std::min_element(
      engine.models.begin(), engine.models.end(),
      [](const auto& a, const auto& b) { return a.group_size < b.group_size; });
  return smallest == engine.models.end() ? nullptr : &*smallest;
}

/// Need of `members` for one more spare in addition to `spares`.
double weighted_need(double members, int spares) {
  const double coverage = std::max(min_coverage, 1.0 + spares);
  return members / std::pow(coverage, spare_exponent);
}

}  // namespace

/// Hosts of one fabric domain by the model whose weights they hold.
struct group_controller::domain_weights {
  /// Members of groups that exist, form, or will form once there are enough
  /// hosts.
  std::map<std::string, int> members;
  /// Hosts outside of groups, those still loading included; negative for a
  /// group that lacks hosts to form.
  std::map<std::string, int> spares;
  /// Free hosts that hold weights, and the model.
  std::map<std::string, std::string> weight_holders;
  /// Those of them that serve as spares with the same weights. They can rejoin
  /// without keeping the weights on the host.
  std::set<std::string> rejoining;
  /// Hosts in wanted groups, and the model whose weights they hold.
  std::map<std::string, std::string> serving_holders;
};

void group_controller::count_serving_spare(const server_entry& entry,
                                           bool loading,
                                           const std::string& model_loading,
                                           domain_weights& weights) {
  // It can rejoin for its group's model and for what it has staged.
  const std::string model = group_model(entry.membership.group);
  weights.spares[model]++;
  if (loading) weights.spares[model_loading]++;
  for (const auto& staged : entry.staged) {
    if (staged != model) weights.spares[staged]++;
    if (loading) continue;
    weights.weight_holders[entry.id] = staged;
    if (staged == model) weights.rejoining.insert(entry.id);
  }
}

void group_controller::count_member(const server_entry& entry,
                                    const server_track& track, absl::Time now,
                                    domain_weights& weights) const {
  const std::string model = group_model(entry.membership.group);
  weights.members[model]++;
  if (now >= track.staging_until && staged_on(entry, model)) {
    weights.serving_holders[entry.id] = model;
  }
}

int group_controller::loads_begun(absl::Time now) const {
  const absl::Time since = now - this->options.load_window;
  return static_cast<int>(
      std::count_if(this->loads.begin(), this->loads.end(),
                    [&](absl::Time at) { return at >= since; }));
}

void group_controller::count_earlier_loads(const engine_profile& engine,
                                           absl::Time now) {
  if (!this->inherited) return;
  const earlier_loads before = *this->inherited;
  this->inherited.reset();
  // There was no holder before the first one.
  if (this->fence <= 1) return;
  const absl::Duration unreported_time =
      std::min(now - before.as_of, this->options.load_window);
  if (unreported_time < absl::ZeroDuration()) return;
  // Until it lost the lease, a previous holder may have continued at the full
  // rate without this node receiving its reports.
  const double max_rate = engine.loads_per_s * this->options.load_excess;
  const int unreported_loads = static_cast<int>(
      std::ceil(max_rate * absl::ToDoubleSeconds(unreported_time)));
  const bool recent = unreported_time < this->options.load_window;
  const int count = unreported_loads + (recent ? before.count : 0);
  this->loads.insert(this->loads.begin(), static_cast<size_t>(count), now);
}

int group_controller::remaining_loads(const engine_profile& engine,
                                      absl::Time now) {
  this->count_earlier_loads(engine, now);
  const absl::Time since = now - this->options.load_window;
  while (!this->loads.empty() && this->loads.front() < since) {
    this->loads.pop_front();
  }
  const double allowed = engine.loads_per_s *
                         absl::ToDoubleSeconds(this->options.load_window) *
                         this->options.load_excess;
  return static_cast<int>(allowed) - this->options.load_reserve -
         static_cast<int>(this->loads.size());
}

void group_controller::stage_for(const service_state& s,
                                 const group_candidate& candidate,
                                 absl::Time now, group_actions& out) {
  for (const auto& id : candidate.members) {
    if (!this->needs_load(s, id, *candidate.model)) continue;
    this->stage(s, id, *candidate.model, true, now, out);
  }
}

bool group_controller::stage(const service_state& s, const std::string& id,
                             const model_profile& model, bool requests_seen,
                             absl::Time now, group_actions& out) {
  // A load that a previous holder started is not interrupted.
  if (s.track(id).order_running) return false;
  if (now < s.track(id).staging_until) return false;
  if (requests_seen && this->remaining_loads(*s.engine, now) <= 0) return false;
  group_order order;
  order.kind = group_order_kind::stage;
  order.model = model.name;
  if (!this->send(s.entry(id), order, out)) return false;
  server_track& track = this->tracks[id];
  track.staging_model = model.name;
  track.staging_until = now + model.cold_load + stage_slack;
  this->loads.push_back(now);
  out.events.push_back({"host_staging", id, model.name});
  return true;
}

std::map<std::string, group_controller::domain_weights>
group_controller::weights_by_domain(const service_state& s, absl::Time now,
                                    std::vector<std::string>& unstaged) const {
  std::map<std::string, domain_weights> domains;
  const auto planned = this->planned_models();
  for (const auto& [id, server] : s.servers) {
    const server_entry& entry = server.entry;
    const server_track& track = s.track(id);
    if (entry.draining || track.unresponsive) continue;
    if (this->in_closed_hall(entry)) continue;
    domain_weights& weights = domains[entry.domain];
    const group_membership& membership = entry.membership;
    if (s.spare_groups.count(membership.group) != 0) {
      count_serving_spare(entry, track.staging_until > now, track.staging_model,
                          weights);
    } else if (membership.phase != member_phase::none &&
               this->stopped_groups.count(membership.group) == 0 &&
               this->warmups.count(membership.group) == 0) {
      this->count_member(entry, track, now, weights);
    } else if (const auto plan = planned.find(id); plan != planned.end()) {
      weights.members[std::string(plan->second)]++;
    } else if (now < track.staging_until) {
      weights.spares[track.staging_model]++;
    } else {
      for (const auto& staged : entry.staged) weights.spares[staged]++;
      if (!this->free_to_join(s, entry)) continue;
      if (entry.staged.empty()) unstaged.push_back(id);
      for (const auto& staged : entry.staged)
        weights.weight_holders[id] = staged;
    }
  }
  for (auto& [domain, weights] : domains)
    this->count_expected_groups(s, weights);
  return domains;
}

void group_controller::count_expected_groups(const service_state& s,
                                             domain_weights& weights) const {
  for (const auto& model : s.engine->models) {
    if (this->fill_ratio(s, model) >= 1) continue;
    int& spares = weights.spares[model.name];
    // Fewer spares are probably left over from a repair elsewhere.
    if (2 * spares < model.group_size) continue;
    weights.members[model.name] += model.group_size;
    spares -= model.group_size;
  }
}

const model_profile* group_controller::model_to_stage(
    const engine_profile& engine, domain_weights& weights) {
  const model_profile* best = nullptr;
  double best_need = -1;
  for (const auto& model : engine.models) {
    const double need = spare_need(model, weights, 0);
    if (need <= best_need) continue;
    best = &model;
    best_need = need;
  }
  return best;
}

double group_controller::spare_need(const model_profile& model,
                                    domain_weights& weights, int fewer) {
  const double members =
      weights.members[model.name] + absent_model_members * model.share;
  return weighted_need(members, weights.spares[model.name] - fewer);
}

void group_controller::stage_spares(const service_state& s, bool requests_seen,
                                    absl::Time now, group_actions& out) {
  std::vector<std::string> unstaged;
  auto domains = this->weights_by_domain(s, now, unstaged);
  for (const auto& id : unstaged) {
    domain_weights& weights = domains[s.entry(id).domain];
    // Before the first request a load is quick: a spare joins a group first and
    // is then staged for repairs.
    const bool serves_first = this->options.spares_serve && !requests_seen;
    const model_profile* model = serves_first
                                     ? smallest_model(*s.engine)
                                     : model_to_stage(*s.engine, weights);
    if (model == nullptr) return;
    if (!this->stage(s, id, *model, requests_seen, now, out)) continue;
    weights.spares[model->name]++;
  }
  if (!requests_seen && !this->options.spares_serve) return;
  for (auto& [domain, weights] : domains) {
    this->restage_spare(s, weights, now, out);
    if (!requests_seen) this->stage_members(s, weights, now, out);
  }
}

void group_controller::stage_members(const service_state& s,
                                     domain_weights& weights, absl::Time now,
                                     group_actions& out) {
  if (!this->yielding_enabled()) return;
  const model_profile* smallest = smallest_model(*s.engine);
  for (const auto& model : s.engine->models) {
    if (smallest == nullptr || model.group_size <= smallest->group_size)
      continue;
    auto target = static_cast<int>(yield_spare_ratio * model.group_size);
    for (const auto& [id, staged_model] : weights.serving_holders) {
      if (weights.spares[model.name] >= target) break;
      if (staged_model != smallest->name) continue;
      if (!this->stage(s, id, model, false, now, out)) continue;
      weights.spares[model.name]++;
    }
  }
}

void group_controller::restage_spare(const service_state& s,
                                     domain_weights& weights, absl::Time now,
                                     group_actions& out) {
  const model_profile* target = model_to_stage(*s.engine, weights);
  if (target == nullptr) return;
  const double need = spare_need(*target, weights, 0);
  for (const auto& [id, staged_model] : weights.weight_holders) {
    // Weights that a group about to form needs are kept.
    if (this->options.follow_demand && s.reserved.count(id) != 0) continue;
    const model_profile* model = find_model(*s.engine, staged_model);
    if (model == target) continue;
    const bool may_restage =
        model == nullptr || weights.rejoining.count(id) != 0 ||
        need > restage_factor * spare_need(*model, weights, 1);
    if (!may_restage) continue;
    // One at a time, so that the next step sees the effect of this one.
    if (this->stage(s, id, *target, true, now, out)) return;
  }
}

}  // namespace spokesail
