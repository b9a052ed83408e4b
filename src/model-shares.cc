// Computes the need of each model, the best allocation, and whether a change is
// worthwhile.
#include "spokesail/model-shares.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <set>

#include "spokesail/engine-model.h"

namespace spokesail {
namespace {

/// Fraction of the refused requests that is subtracted from the demand: a
/// refused request is sent again and then counted a second time.
constexpr double refused_weight = 0.5;

/// Utilization from which the slowdown follows the tangent of 1 / (1 - u) in
/// place of the formula, which diverges at full utilization. The limit on the
/// requests that engines run at once does not bound the slowdown above this
/// point.
constexpr double linear_from_utilization = 0.8;

/// Number of groups that each model keeps if there are enough data halls.
constexpr int min_groups = 2;

/// Time for which hosts that change models serve no requests, apart from
/// loading weights that they hold: the end of streams, and joining.
constexpr absl::Duration switch_downtime = absl::Seconds(2);

/// Models of an engine, those with the largest groups first.
std::vector<const model_profile*> by_size(const engine_profile& engine) {
  std::vector<const model_profile*> out;
  for (const auto& model : engine.models) out.push_back(&model);
  std::stable_sort(out.begin(), out.end(), [](const auto* a, const auto* b) {
    return a->group_size > b->group_size;
  });
  return out;
}

double need_of(const need_by_model& need, const std::string& model) {
  const auto found = need.find(model);
  return found == need.end() ? 0 : found->second;
}

/// Cost of one model's groups.
double model_cost(const model_profile& model, double need, int groups) {
  return need * model.group_size * predicted_slowdown(need, groups);
}

/// The domain where a group of `size` leaves the fewest hosts that the smallest
/// groups cannot use; of equal ones, the one with the most hosts.
std::vector<int>::iterator best_domain(std::vector<int>& free_hosts, int size,
                                       int smallest) {
  auto best = free_hosts.end();
  for (auto at = free_hosts.begin(); at != free_hosts.end(); ++at) {
    if (*at < size) continue;
    const int unusable = (*at - size) % smallest - *at % smallest;
    const int best_unusable =
        best == free_hosts.end() ? 0
                                 : (*best - size) % smallest - *best % smallest;
    const bool better = best == free_hosts.end() || unusable < best_unusable ||
                        (unusable == best_unusable && *at > *best);
    if (better) best = at;
  }
  return best;
}

/// The number of groups that each model keeps in any case, as far as they fit.
count_by_model group_floors(const engine_profile& engine,
                            const host_capacity& capacity,
                            const need_by_model& need) {
  count_by_model out;
  const int floor = std::min(capacity.halls, min_groups);
  for (int count = 1; count <= floor; ++count) {
    for (const auto* model : by_size(engine)) {
      const bool needed = model->share > 0 || need_of(need, model->name) > 0;
      if (!needed) continue;
      count_by_model with_one_more = out;
      with_one_more[model->name]++;
      if (groups_fit(engine, with_one_more, capacity)) out = with_one_more;
    }
  }
  return out;
}

/// The longest load that a change causes.
absl::Duration longest_load(const engine_profile& engine,
                            const count_by_model& from,
                            const count_by_model& to) {
  absl::Duration out = absl::ZeroDuration();
  for (const auto& model : engine.models) {
    const auto before = from.find(model.name);
    const auto after = to.find(model.name);
    if (after == to.end()) continue;
    if (before != from.end() && after->second <= before->second) continue;
    out = std::max(out, model.cold_load);
  }
  return out;
}

/// Hosts of groups that are dissolved, as a fraction of all in groups.
double moved_fraction(const engine_profile& engine, const count_by_model& from,
                      const count_by_model& to) {
  double moved = 0;
  double total = 0;
  for (const auto& model : engine.models) {
    const auto before = from.find(model.name);
    if (before == from.end()) continue;
    const auto after = to.find(model.name);
    const int kept_groups = after == to.end() ? 0 : after->second;
    moved += model.group_size * std::max(0, before->second - kept_groups);
    total += model.group_size * before->second;
  }
  return total > 0 ? moved / total : 0;
}

}  // namespace

double needed_groups(const engine_profile& engine, const model_profile& model,
                     const model_demand& demand) {
  const double new_requests =
      std::max(0.0, demand.requests - refused_weight * demand.refused);
  if (demand.requests <= 0) return 0;
  const double new_fraction = new_requests / demand.requests;
  const double slots = std::max(1, engine.slots);
  const request_size mean = {demand.prompt_tokens / demand.requests,
                             demand.answer_tokens / demand.requests};
  const double decode_step_ms = step_ms(engine, slots, mean);
  const double ms = demand.prompt_tokens / engine.prefill_tokens_per_ms +
                    demand.answer_tokens * decode_step_ms / slots;
  return new_fraction * model.pace * ms / 1000;
}

double predicted_slowdown(double need, int groups) {
  if (need <= 0) return 1;
  // Without any group, waits are longer than with one.
  const double utilization = groups > 0 ? need / groups : 1 + need;
  if (utilization <= linear_from_utilization) return 1 / (1 - utilization);
  const double idle = 1 - linear_from_utilization;
  return 1 / idle + (utilization - linear_from_utilization) / (idle * idle);
}

bool groups_fit(const engine_profile& engine, const count_by_model& counts,
                const host_capacity& capacity) {
  const auto models = by_size(engine);
  if (models.empty()) return true;
  const int smallest = std::max(1, models.back()->group_size);
  std::vector<int> left = capacity.domains;
  for (const auto* model : models) {
    const auto count = counts.find(model->name);
    if (count == counts.end()) continue;
    for (int i = 0; i < count->second; ++i) {
      const auto domain = best_domain(left, model->group_size, smallest);
      if (domain == left.end()) return false;
      *domain -= model->group_size;
    }
  }
  return true;
}

double allocation_cost(const engine_profile& engine,
                       const count_by_model& counts,
                       const need_by_model& need) {
  double out = 0;
  for (const auto& model : engine.models) {
    const auto count = counts.find(model.name);
    out += model_cost(model, need_of(need, model.name),
                      count == counts.end() ? 0 : count->second);
  }
  return out;
}

count_by_model allocate_hosts(const engine_profile& engine,
                              const host_capacity& capacity,
                              const need_by_model& need) {
  count_by_model counts = group_floors(engine, capacity, need);
  for (;;) {
    count_by_model best;
    double best_gain = 0;
    for (const auto& model : engine.models) {
      count_by_model with_one_more = counts;
      const int groups = with_one_more[model.name]++;
      const double model_need = need_of(need, model.name);
      const double gain = (model_cost(model, model_need, groups) -
                           model_cost(model, model_need, groups + 1)) /
                          model.group_size;
      if (gain <= best_gain || !groups_fit(engine, with_one_more, capacity))
        continue;
      best = with_one_more;
      best_gain = gain;
    }
    if (best.empty()) return counts;
    counts = best;
  }
}

double model_shares::share(const model_profile& model) const {
  const auto found = this->shares.find(model.name);
  return found == this->shares.end() ? model.share : found->second;
}

size_t model_shares::first_sample_since(absl::Time from) const {
  size_t first = 0;
  while (first + 1 < this->samples.size() &&
         this->samples[first + 1].at <= from) {
    ++first;
  }
  return first;
}

need_by_model model_shares::mean_need_from(size_t first) const {
  need_by_model out;
  for (size_t i = first; i < this->samples.size(); ++i) {
    for (const auto& [model, need] : this->samples[i].need) out[model] += need;
  }
  const auto count = static_cast<double>(this->samples.size() - first);
  for (auto& [model, need] : out) need /= count;
  return out;
}

void model_shares::evaluate(const engine_profile& engine, size_t first,
                            allocation_change& change) const {
  double all_before = 0;
  double all_after = 0;
  change.lowest_gain = std::numeric_limits<double>::infinity();
  for (size_t i = first; i < this->samples.size(); ++i) {
    const need_by_model& need = this->samples[i].need;
    const double before = allocation_cost(engine, change.from, need);
    const double after = allocation_cost(engine, change.to, need);
    const double gain = before > 0 ? (before - after) / before : 0;
    change.lowest_gain = std::min(change.lowest_gain, gain);
    all_before += before;
    all_after += after;
  }
  change.gain = all_before > 0 ? (all_before - all_after) / all_before : 0;
}

std::optional<allocation_change> model_shares::find_change(
    const engine_profile& engine, const host_capacity& capacity,
    const count_by_model& wanted, absl::Duration load, absl::Time now) const {
  const absl::Duration required_time = this->rules.wait_for_loads
                                           ? load + this->rules.evidence_margin
                                           : absl::ZeroDuration();
  const absl::Time since = now - required_time;
  if (this->samples.front().at > since) return std::nullopt;
  const size_t first = this->first_sample_since(since);
  const need_by_model need = this->mean_need_from(first);
  allocation_change out{wanted, allocate_hosts(engine, capacity, need), need, 0,
                        0,      now - this->samples[first].at};
  if (out.to == wanted) return std::nullopt;
  if (longest_load(engine, wanted, out.to) > load) return std::nullopt;
  this->evaluate(engine, first, out);
  const double min_sample_gain =
      this->rules.min_gain * this->rules.min_sample_gain_ratio;
  if (out.gain < this->rules.min_gain || out.lowest_gain < min_sample_gain) {
    return std::nullopt;
  }
  const double lost = moved_fraction(engine, wanted, out.to) *
                      absl::ToDoubleSeconds(switch_downtime);
  const double gained = out.gain * absl::ToDoubleSeconds(out.observed);
  if (this->rules.wait_for_loads && gained <= lost) return std::nullopt;
  return out;
}

std::optional<allocation_change> model_shares::add_sample(
    const engine_profile& engine, const host_capacity& capacity,
    const count_by_model& wanted, const need_by_model& need, absl::Time now) {
  this->samples.push_back({now, need});
  std::set<absl::Duration> loads;
  for (const auto& model : engine.models) loads.insert(model.cold_load);
  if (loads.empty()) return std::nullopt;
  const absl::Time oldest = now - *loads.rbegin() - this->rules.evidence_margin;
  while (this->samples.size() > 1 && this->samples[1].at <= oldest) {
    this->samples.pop_front();
  }
  for (const absl::Duration load : loads) {
    auto change = this->find_change(engine, capacity, wanted, load, now);
    if (!change) continue;
    this->apply_allocation(engine, capacity, change->to);
    return change;
  }
  return std::nullopt;
}

void model_shares::sync_configured_shares(const engine_profile& engine) {
  std::map<std::string, double> now_configured;
  for (const auto& model : engine.models)
    now_configured[model.name] = model.share;
  const bool same_models =
      this->shares.empty() ||
      std::equal(
          this->shares.begin(), this->shares.end(), now_configured.begin(),
          now_configured.end(),
          [](const auto& a, const auto& b) { return a.first == b.first; });
  const bool same =
      this->configured.empty() || this->configured == now_configured;
  this->configured = now_configured;
  if (same && same_models) return;
  this->shares.clear();
  this->samples.clear();
}

void model_shares::apply_allocation(const engine_profile& engine,
                                    const host_capacity& capacity,
                                    const count_by_model& counts) {
  const double hosts =
      std::accumulate(capacity.domains.begin(), capacity.domains.end(), 0.0);
  for (const auto& model : engine.models) {
    const auto count = counts.find(model.name);
    const int groups = count == counts.end() ? 0 : count->second;
    this->shares[model.name] = groups * model.group_size / hosts;
  }
  this->samples.clear();
}

}  // namespace spokesail
