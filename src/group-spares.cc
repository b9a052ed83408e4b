// Has hosts that are kept for repairs serve until they are needed.
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

std::vector<std::string> group_controller::most_useful_to_repairs(
    const service_state& s, const model_profile& model) const {
  // Those whose hosts hold the weights of another model come first; of the
  // others, the newest.
  std::vector<std::tuple<int64_t, int64_t, std::string>> ranked;
  for (const auto& group : s.groups) {
    if (group.model != model.name) continue;
    if (this->dissolving.count(group.name) != 0) continue;
    if (this->warmups.count(group.name) != 0) continue;
    const auto others = std::count_if(
        group.members.begin(), group.members.end(), [&](const auto& id) {
          return s.knows(id) && !staged_on(s.entry(id), model);
        });
    ranked.emplace_back(others, group.epoch, group.name);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> out;
  out.reserve(ranked.size());
  for (const auto& [others, epoch, name] : ranked) out.push_back(name);
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
    const auto beyond =
        static_cast<size_t>(std::max(0, count->second - wanted));
    std::vector<std::string> names = this->most_useful_to_repairs(s, model);
    if (names.size() > beyond) names.resize(beyond);
    out.insert(names.begin(), names.end());
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
  std::map<std::string, const group_view*> spare_of;
  for (const auto& group : s.groups) {
    // A larger group is worth more than the smaller one that it would repair.
    if (std::cmp_greater(group.members.size(), model.group_size)) continue;
    if (this->released.count(group.name) != 0) continue;
    const bool spare = s.spare_groups.count(group.name) != 0;
    if (!spare && this->dissolving.count(group.name) == 0) continue;
    for (const auto& id : group.members) {
      if (id.empty() || !s.knows(id) || !this->usable(s.entry(id))) continue;
      reach[s.entry(id).domain].push_back(id);
      if (spare) spare_of[id] = &group;
    }
  }
  const auto best = this->best_formation(s, model, reach, now);
  if (!best || best->loads > 0) return false;
  for (const auto& id : best->members) {
    const auto found = spare_of.find(id);
    if (found == spare_of.end()) continue;
    const group_view& group = *found->second;
    // Another of its hosts may have ended it just now.
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
