// Has spare hosts serve until repairs need them.
#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "group-state.h"

namespace spokesail {

std::vector<std::string> group_controller::groups_by_repair_value(
    const service_state& s, const model_profile& model) const {
  // Groups with the most hosts that do not hold this model's weights, but
  // perhaps another's, come first; of equal ones, the newest.
  std::vector<std::tuple<int64_t, int64_t, std::string>> ranked;
  for (const auto& group : s.groups) {
    if (group.model != model.name) continue;
    if (this->dissolving.count(group.name) != 0) continue;
    if (this->warmups.count(group.name) != 0) continue;
    if (this->in_closed_hall(s, group) || this->lacks_answers(s, group))
      continue;
    const auto without_weights = std::count_if(
        group.members.begin(), group.members.end(), [&](const auto& id) {
          return s.has_server(id) && !staged_on(s.entry(id), model);
        });
    ranked.emplace_back(without_weights, group.epoch, group.name);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> out;
  out.reserve(ranked.size());
  for (const auto& [without_weights, epoch, name] : ranked) out.push_back(name);
  return out;
}

std::set<std::string> group_controller::spare_groups(
    const service_state& s) const {
  std::set<std::string> out;
  if (!this->options.spares_serve) return out;
  for (const auto& model : s.engine->models) {
    const auto count = s.group_count.find(model.name);
    if (count == s.group_count.end()) continue;
    const int wanted = static_cast<int>(this->wanted_groups(s, model));
    const auto surplus =
        static_cast<size_t>(std::max(0, count->second - wanted));
    std::vector<std::string> names = this->groups_by_repair_value(s, model);
    if (names.size() > surplus) names.resize(surplus);
    out.insert(names.begin(), names.end());
  }
  return out;
}

model_group_counts group_controller::group_counts_of(
    const service_state& s, const model_profile& model) const {
  model_group_counts out;
  const auto count = s.group_count.find(model.name);
  if (count != s.group_count.end()) out.groups = count->second;
  out.wanted = this->wanted_groups(s, model);
  return out;
}

bool group_controller::remains(const std::string& group) const {
  return this->stopped_groups.count(group) == 0 &&
         this->dissolving.count(group) == 0;
}

group_controller::dissolvable_groups group_controller::find_dissolvable_groups(
    const service_state& s, const model_profile& model) const {
  dissolvable_groups out{s.spare_groups};
  const model_group_counts recipient = this->group_counts_of(s, model);
  for (const auto& other : s.engine->models) {
    // A larger group is worth more than the smaller one it would repair.
    if (other.group_size >= model.group_size) continue;
    const model_group_counts donor = this->group_counts_of(s, other);
    const int needed = (model.group_size - 1) / other.group_size + 1;
    int count = 0;
    while (this->yielding_enabled() && count < needed &&
           may_yield(donor, recipient, count + 1)) {
      ++count;
    }
    if (count == 0) continue;
    out.beyond_spares += count;
    const auto names = this->groups_by_repair_value(s, other);
    out.names.insert(names.begin(), names.end());
  }
  return out;
}

group_controller::hosts_by_domain group_controller::reclaimable_hosts(
    const service_state& s, const model_profile& model,
    const hosts_by_domain& free,
    const std::set<std::string>& dissolvable) const {
  hosts_by_domain hosts = free;
  const auto add_hosts = [&](bool ending) {
    for (const auto& group : s.groups) {
      if (std::cmp_greater(group.members.size(), model.group_size)) continue;
      if (this->stopped_groups.count(group.name) != 0) continue;
      const bool is_ending = this->dissolving.count(group.name) != 0;
      if (is_ending != ending) continue;
      if (!is_ending && dissolvable.count(group.name) == 0) continue;
      for (const auto& id : group.members) {
        if (id.empty() || !s.has_server(id) || !this->may_join(s.entry(id)))
          continue;
        hosts[s.entry(id).domain].push_back(id);
      }
    }
  };
  // Groups that are being dissolved come first, so that each step selects the
  // same hosts until they are free.
  add_hosts(true);
  add_hosts(false);
  return hosts;
}

bool group_controller::reclaim_spares(service_state& s,
                                      const model_profile& model,
                                      hosts_by_domain& free, absl::Time now,
                                      group_actions& out) {
  if (!this->options.spares_serve) return false;
  const dissolvable_groups dissolvable =
      this->find_dissolvable_groups(s, model);
  const auto hosts = this->reclaimable_hosts(s, model, free, dissolvable.names);
  const auto best = this->best_candidate(s, model, hosts, now);
  if (!best || best->loads > 0) return false;
  std::set<std::string> to_dissolve;
  for (const auto& id : best->members) {
    const std::string& group = s.entry(id).membership.group;
    const bool kept = this->remains(group);
    if (kept && dissolvable.names.count(group) != 0) to_dissolve.insert(group);
  }
  const auto wanted_count = std::count_if(
      to_dissolve.begin(), to_dissolve.end(),
      [&](const auto& name) { return s.spare_groups.count(name) == 0; });
  if (wanted_count > dissolvable.beyond_spares) return false;
  for (const auto& group : s.groups) {
    if (to_dissolve.count(group.name) == 0) continue;
    s.spare_groups.erase(group.name);
    s.group_count[group.model]--;
    this->dissolve(s, group, "hosts needed to repair a group of " + model.name,
                   now, out);
  }
  auto& free_in_domain = free[best->domain];
  for (const auto& id : best->members) {
    s.reserved.insert(id);
    std::erase(free_in_domain, id);
  }
  return true;
}

void group_controller::form_spare_groups(service_state& s, absl::Time now,
                                         group_actions& out) {
  if (!this->options.spares_serve) return;
  for (const auto& [domain, hosts] : this->free_hosts(s)) {
    std::vector<std::string> left = hosts;
    for (const auto& model : s.engine->models) {
      std::vector<std::string> members;
      for (const auto& id : left) {
        if (!this->needs_load(s, id, model)) members.push_back(id);
      }
      const auto size = static_cast<size_t>(model.group_size);
      if (this->fill_ratio(s, model) < 1 || members.size() < size) continue;
      members.resize(size);
      this->form_group(s, model, members, now, out);
      std::erase_if(left, [&](const auto& id) {
        return std::find(members.begin(), members.end(), id) != members.end();
      });
    }
  }
}

}  // namespace spokesail
