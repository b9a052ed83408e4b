// Moves hosts to the models that have demand.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <tuple>

#include "group-state.h"

namespace spokesail {
namespace {

/// Interval at which demand is added to the history.
constexpr absl::Duration allocation_period = absl::Seconds(1);

/// A model that lacks groups for longer than this lacks hosts: a repair with
/// hosts that hold the weights takes less time.
constexpr absl::Duration max_repair_time = absl::Seconds(4);

/// Fraction of a model's groups that may be dissolved for other models at a
/// time. Those of one domain always may.
constexpr double max_reassigned_fraction = 0.25;

std::string counts_text(const count_by_model& counts) {
  std::string out;
  for (const auto& [model, count] : counts) {
    absl::StrAppend(&out, out.empty() ? "" : ",", model, ":", count);
  }
  return out;
}

std::string needs_text(const need_by_model& needs) {
  std::string out;
  for (const auto& [model, need] : needs) {
    const double rounded = std::round(need * 100) / 100;
    absl::StrAppend(&out, out.empty() ? "" : ",", model, ":", rounded);
  }
  return out;
}

/// The log event of a change that was made on reports of this age.
controller_event allocation_event(const std::string& service,
                                  const allocation_change& change,
                                  absl::Duration age) {
  return {"hosts_divided", service,
          absl::StrCat("from ", counts_text(change.from), " to ",
                       counts_text(change.to), " for need ",
                       needs_text(change.need), " observed for ",
                       absl::FormatDuration(change.observed), " report_age ",
                       absl::FormatDuration(age), " gain ",
                       std::round(change.gain * 100) / 100, " lowest ",
                       std::round(change.lowest_gain * 100) / 100)};
}

}  // namespace

/// Hosts of one domain, and groups that may be dissolved for more.
struct group_controller::domain_pool {
  std::string domain;
  /// Hosts in no group, or in one that is being dissolved.
  std::vector<std::string> hosts;
  /// Groups that may be dissolved.
  std::vector<const group_view*> groups;
};

struct group_controller::move_plan {
  std::string domain;
  std::vector<std::string> members;
  /// Groups that have to be dissolved.
  std::vector<const group_view*> dissolved;
  /// Members that neither hold the weights nor are loading them.
  int loads = 0;
};

host_capacity group_controller::available_capacity(
    const service_state& s) const {
  host_capacity out;
  for (const auto& [domain, count] : s.usable_hosts) {
    const double spares = std::ceil(count * this->options.spare_share);
    out.domains.push_back(count - static_cast<int>(spares));
  }
  std::set<std::string> halls;
  for (const auto& [id, server] : s.servers) {
    if (this->may_join(server.entry)) halls.insert(server.entry.hall);
  }
  out.halls = static_cast<int>(halls.size());
  return out;
}

group_controller::service_allocation& group_controller::allocation_of(
    const std::string& service) {
  const auto [found, added] = this->allocations.try_emplace(
      service, service_allocation{model_shares(this->options.reallocation),
                                  absl::InfinitePast()});
  return found->second;
}

void group_controller::restore_allocation(
    const std::vector<model_share>& last_shares) {
  if (!this->options.follow_demand) return;
  for (const auto& item : last_shares) {
    this->allocation_of(item.service)
        .shares.restore_share(item.model, item.share);
  }
}

std::vector<model_share> group_controller::shares() const {
  std::vector<model_share> out;
  for (const auto& [service, allocation] : this->allocations) {
    for (const auto& [model, share] : allocation.shares.changed()) {
      out.push_back({service, model, share});
    }
  }
  return out;
}

void group_controller::update_allocation(const service_state& s, absl::Time now,
                                         group_actions& out) {
  if (!this->options.follow_demand) return;
  service_allocation& allocation = this->allocation_of(s.service);
  if (now - allocation.at < allocation_period) return;
  allocation.at = now;
  allocation.shares.sync_configured_shares(*s.engine);
  const bool complete = this->demand && this->demand->missing_halls == 0 &&
                        now - this->demand_at < demand_table::report_ttl;
  if (!complete) {
    allocation.shares.clear_samples();
    return;
  }
  count_by_model wanted;
  need_by_model need;
  for (const auto& model : s.engine->models) {
    wanted[model.name] = static_cast<int>(this->wanted_groups(s, model));
  }
  for (const auto& requested : this->demand->models) {
    const model_profile* model = find_model(*s.engine, requested.model);
    if (requested.service != s.service || model == nullptr) continue;
    need[model->name] = needed_groups(*s.engine, *model, requested);
  }
  const auto change = allocation.shares.add_sample(
      *s.engine, this->available_capacity(s), wanted, need, now);
  if (!change) return;
  const absl::Duration age = now - this->demand_at + this->demand->age;
  out.events.push_back(allocation_event(s.service, *change, age));
}

int group_controller::persistent_deficit(const service_state& s,
                                         const model_profile& model,
                                         absl::Time now) {
  const auto key = std::pair(s.service, model.name);
  const auto count = s.group_count.find(model.name);
  const int existing = count == s.group_count.end() ? 0 : count->second;
  const int deficit =
      static_cast<int>(this->wanted_groups(s, model)) - existing;
  if (deficit <= 0) {
    this->lacking_since.erase(key);
    return 0;
  }
  const absl::Time since = this->lacking_since.emplace(key, now).first->second;
  return now - since < max_repair_time ? 0 : deficit;
}

int group_controller::surplus_groups(const service_state& s,
                                     const model_profile& model) const {
  const auto count = s.group_count.find(model.name);
  if (count == s.group_count.end()) return 0;
  return count->second - static_cast<int>(this->wanted_groups(s, model));
}

bool group_controller::may_dissolve_now(
    const service_state& s,
    const std::vector<const group_view*>& dissolved) const {
  count_by_model out;
  for (const auto& name : this->reassigned_groups) out[group_model(name)]++;
  const count_by_model already = out;
  for (const group_view* group : dissolved) out[group->model]++;
  return std::all_of(out.begin(), out.end(), [&](const auto& item) {
    const auto& [model, count] = item;
    if (already.count(model) == 0) return true;
    const auto existing = s.group_count.find(model);
    if (existing == s.group_count.end()) return false;
    return count <=
           max_reassigned_fraction * (existing->second + already.at(model));
  });
}

bool group_controller::has_or_is_loading(const service_state& s,
                                         const std::string& id,
                                         const model_profile& model,
                                         absl::Time now) const {
  const server_track& track = s.track(id);
  if (now < track.staging_until) return track.staging_model == model.name;
  return !this->needs_load(s, id, model);
}

std::map<std::string, group_controller::domain_pool>
group_controller::domain_pools_for(const service_state& s,
                                   const model_profile& model) const {
  std::map<std::string, domain_pool> out;
  for (const auto& [domain, hosts] : this->free_hosts(s)) {
    out[domain].hosts = hosts;
  }
  for (const auto& group : s.groups) {
    if (this->warmups.count(group.name) != 0) continue;
    if (this->stopped_groups.count(group.name) != 0) continue;
    const bool may_move = std::all_of(
        group.members.begin(), group.members.end(), [&](const auto& id) {
          return !id.empty() && s.has_server(id) && this->may_join(s.entry(id));
        });
    if (!may_move) continue;
    domain_pool& pool = out[s.entry(group.head()).domain];
    if (this->dissolving.count(group.name) != 0) {
      pool.hosts.insert(pool.hosts.end(), group.members.begin(),
                        group.members.end());
    } else if (group.model != model.name && group.serving()) {
      pool.groups.push_back(&group);
    }
  }
  for (auto& [domain, pool] : out) {
    pool.domain = domain;
    std::erase_if(pool.hosts,
                  [&](const auto& id) { return s.reserved.count(id) != 0; });
  }
  return out;
}

std::optional<group_controller::move_plan> group_controller::plan_move(
    const service_state& s, const model_profile& model, const domain_pool& pool,
    const count_by_model& dissolvable, absl::Time now) const {
  const auto size = static_cast<size_t>(model.group_size);
  const auto loads_needed = [&](const std::string& id) {
    return this->has_or_is_loading(s, id, model, now) ? 0 : 1;
  };
  const auto group_loads = [&](const group_view& group) {
    int loads = 0;
    for (const auto& id : group.members) loads += loads_needed(id);
    return loads;
  };
  move_plan plan;
  plan.domain = pool.domain;
  std::vector<std::string> hosts = pool.hosts;
  std::vector<const group_view*> groups = pool.groups;
  count_by_model remaining = dissolvable;
  while (hosts.size() < size) {
    std::erase_if(groups,
                  [&](const auto* g) { return remaining[g->model] <= 0; });
    const auto next = std::min_element(
        groups.begin(), groups.end(), [&](const auto* a, const auto* b) {
          return std::tuple(group_loads(*a), a->name) <
                 std::tuple(group_loads(*b), b->name);
        });
    if (next == groups.end()) return std::nullopt;
    remaining[(*next)->model]--;
    hosts.insert(hosts.end(), (*next)->members.begin(), (*next)->members.end());
    plan.dissolved.push_back(*next);
    groups.erase(next);
  }
  std::stable_sort(hosts.begin(), hosts.end(),
                   [&](const auto& a, const auto& b) {
                     return loads_needed(a) < loads_needed(b);
                   });
  hosts.resize(size);
  for (const auto& id : hosts) plan.loads += loads_needed(id);
  plan.members = std::move(hosts);
  return plan;
}

void group_controller::reassign_hosts(service_state& s, absl::Time now,
                                      group_actions& out) {
  if (!this->options.follow_demand) return;
  std::erase_if(this->reassigned_groups, [&](const auto& name) {
    return std::none_of(s.groups.begin(), s.groups.end(), [&](const auto& g) {
      return g.name == name && this->stopped_groups.count(name) == 0;
    });
  });
  for (const auto& model : s.engine->models) {
    const int deficit = this->persistent_deficit(s, model, now);
    if (deficit > 0) this->reassign_hosts_to(s, model, deficit, now, out);
  }
}

void group_controller::reassign_hosts_to(service_state& s,
                                         const model_profile& model,
                                         int deficit, absl::Time now,
                                         group_actions& out) {
  count_by_model dissolvable;
  for (const auto& other : s.engine->models) {
    if (other.name != model.name)
      dissolvable[other.name] = this->surplus_groups(s, other);
  }
  auto pools = this->domain_pools_for(s, model);
  std::map<std::string, std::vector<move_plan>> by_domain;
  for (int i = 0; i < deficit; ++i) {
    std::optional<move_plan> best;
    const auto order = [](const move_plan& p) {
      return std::tuple(p.loads, p.dissolved.size());
    };
    for (const auto& [domain, pool] : pools) {
      auto plan = this->plan_move(s, model, pool, dissolvable, now);
      if (plan && (!best || order(*plan) < order(*best))) best = plan;
    }
    if (!best) break;
    domain_pool& pool = pools[best->domain];
    for (const group_view* group : best->dissolved) {
      dissolvable[group->model]--;
      std::erase(pool.groups, group);
      pool.hosts.insert(pool.hosts.end(), group->members.begin(),
                        group->members.end());
    }
    std::erase_if(pool.hosts, [&](const auto& id) {
      return std::find(best->members.begin(), best->members.end(), id) !=
             best->members.end();
    });
    by_domain[best->domain].push_back(*best);
  }
  for (const auto& [domain, plans] : by_domain) {
    this->execute_moves(s, model, plans, now, out);
  }
}

void group_controller::execute_moves(service_state& s,
                                     const model_profile& model,
                                     const std::vector<move_plan>& plans,
                                     absl::Time now, group_actions& out) {
  bool ready = true;
  for (const auto& plan : plans) {
    for (const auto& id : plan.members) {
      s.reserved.insert(id);
      if (!this->needs_load(s, id, model)) continue;
      ready = false;
      this->stage(s, id, model, true, now, out);
    }
  }
  std::vector<const group_view*> dissolved;
  for (const auto& plan : plans) {
    dissolved.insert(dissolved.end(), plan.dissolved.begin(),
                     plan.dissolved.end());
  }
  if (!ready || !this->may_dissolve_now(s, dissolved)) return;
  for (const group_view* group : dissolved) {
    this->reassigned_groups.insert(group->name);
    s.group_count[group->model]--;
    s.spare_groups.erase(group->name);
    this->dissolve(s, *group, "hosts reassigned to " + model.name, now, out);
  }
}

}  // namespace spokesail
