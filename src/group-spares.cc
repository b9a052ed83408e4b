// Has hosts that are kept for repairs serve until they are needed.
#include <algorithm>
#include <tuple>
#include <utility>

#include "group-state.h"

namespace spokesail {

std::set<std::string> group_controller::spare_groups(
    const service_state& s) const {
  std::set<std::string> out;
  if (!this->options.spares_serve) return out;
  for (const auto& model : s.engine->models) {
    const auto count = s.group_count.find(model.name);
    if (count == s.group_count.end()) continue;
    const int wanted = static_cast<int>(this->wanted_groups(s, model));
    // Those whose hosts hold the weights of another model are of most use to
    // repairs; of the others, the newest.
    std::vector<std::tuple<size_t, int64_t, std::string>> ranked;
    for (const auto& group : s.groups) {
      if (group.model != model.name) continue;
      if (this->dissolving.count(group.name) != 0) continue;
      const auto others = std::count_if(
          group.members.begin(), group.members.end(), [&](const auto& id) {
            return s.knows(id) && !staged_on(s.entry(id), model);
          });
      ranked.emplace_back(others, group.epoch, group.name);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    const auto beyond =
        static_cast<size_t>(std::max(0, count->second - wanted));
    if (ranked.size() > beyond) ranked.resize(beyond);
    for (const auto& [others, epoch, name] : ranked) out.insert(name);
  }
  return out;
}

bool group_controller::take_back_spares(service_state& s,
                                        const model_profile& model,
                                        const hosts_by_domain& free,
                                        absl::Time now, group_actions& out) {
  if (!this->options.spares_serve) return false;
  // Hosts that are free, that soon are, and that could be.
  hosts_by_domain reach = free;
  std::map<std::string, const group_view*> group_of;
  for (const auto& group : s.groups) {
    const bool ending = this->dissolving.count(group.name) != 0;
    // A larger group is worth more than the smaller one that it would repair.
    if (std::cmp_greater(group.members.size(), model.group_size)) continue;
    if (!ending && s.spare_groups.count(group.name) == 0) continue;
    if (this->released.count(group.name) != 0) continue;
    for (const auto& id : group.members) {
      if (id.empty() || !s.knows(id) || !this->usable(s.entry(id))) continue;
      reach[s.entry(id).domain].push_back(id);
      if (!ending) group_of[id] = &group;
    }
  }
  const auto best = this->best_formation(s, model, reach, now);
  if (!best || best->loads > 0) return false;
  for (const auto& id : best->members) {
    const auto found = group_of.find(id);
    if (found == group_of.end()) continue;
    const group_view& group = *found->second;
    if (s.spare_groups.erase(group.name) == 0) continue;
    s.group_count[group.model]--;
    this->dissolve(s, group, "its hosts repair a group of " + model.name, now,
                   out);
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
      if (this->fill_of(s, model) < 1 || members.size() < size) continue;
      members.resize(size);
      this->form_group(s, model, members, now, out);
      std::erase_if(left, [&](const auto& id) {
        return std::find(members.begin(), members.end(), id) != members.end();
      });
    }
  }
}

}  // namespace spokesail
