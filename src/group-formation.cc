// Selects the hosts of new groups and orders them to join.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <tuple>

#include "group-state.h"

namespace spokesail {
namespace {

/// Epochs reserved for each lease term; a term forms far fewer groups.
constexpr int64_t epochs_per_term = 1000000;

/// Time in which a member of the last group of the same model rejoins.
constexpr absl::Duration rejoin_time = absl::Milliseconds(200);

/// Before the first request, groups are formed once no server has been added or
/// removed for this long, so that all servers are there to choose from.
constexpr absl::Duration stable_time = absl::Milliseconds(600);

}  // namespace

bool group_controller::server_count_stable(const service_state& s,
                                           absl::Time now) {
  server_count_record& record = this->server_counts[s.service];
  if (s.servers.size() != record.servers) record = {s.servers.size(), now};
  return now - record.since >= stable_time;
}

bool group_controller::free_to_join(const service_state& s,
                                    const server_entry& entry) const {
  const server_track& track = s.track(entry.id);
  if (entry.draining || track.unresponsive || track.pending ||
      !track.orders_started) {
    return false;
  }
  if (this->pending_probes.is_outstanding(entry.id)) return false;
  if (s.index.at(entry.id).listed->expires_at != absl::InfinitePast())
    return false;
  const group_membership& membership = entry.membership;
  return membership.phase == member_phase::none ||
         this->stopped_groups.count(membership.group) != 0;
}

absl::Duration group_controller::join_time(const service_state& s,
                                           const std::string& server,
                                           const model_profile& model,
                                           absl::Time now) const {
  const server_track& track = s.track(server);
  if (this->last_ran(s, server, model)) return rejoin_time;
  if (staged_on(s.entry(server), model)) return model.staged_load;
  if (track.staging_model == model.name && now < track.staging_until) {
    return track.staging_until - now + model.staged_load;
  }
  return model.cold_load;
}

bool group_controller::last_ran(const service_state& s,
                                const std::string& server,
                                const model_profile& model) const {
  const group_membership& membership = s.entry(server).membership;
  const bool member = group_model(membership.group) == model.name &&
                      membership.phase != member_phase::none;
  return member || s.track(server).last_model == model.name;
}

bool group_controller::needs_load(const service_state& s,
                                  const std::string& server,
                                  const model_profile& model) const {
  return !staged_on(s.entry(server), model) &&
         !this->last_ran(s, server, model);
}

group_controller::hosts_by_domain group_controller::free_hosts(
    const service_state& s) const {
  const auto planned = this->planned_models();
  hosts_by_domain by_domain;
  for (const auto& [id, server] : s.servers) {
    if (planned.count(id) != 0 || s.reserved.count(id) != 0) continue;
    if (!this->free_to_join(s, server.entry)) continue;
    if (this->in_closed_hall(server.entry)) continue;
    by_domain[server.entry.domain].push_back(id);
  }
  return by_domain;
}

double group_controller::wanted_groups(const service_state& s,
                                       const model_profile& model) const {
  // Spares are counted by domain, since a spare only helps in its own.
  double hosts = 0;
  for (const auto& [domain, count] : s.usable_hosts) {
    hosts += count - std::ceil(count * this->options.spare_share);
  }
  const auto found = this->allocations.find(s.service);
  const double share = found == this->allocations.end()
                           ? model.share
                           : found->second.shares.share(model);
  return std::max(1.0, std::round(hosts * share / model.group_size));
}

double group_controller::fill_ratio(const service_state& s,
                                    const model_profile& model) const {
  const auto count = s.group_count.find(model.name);
  return (count == s.group_count.end() ? 0 : count->second) /
         this->wanted_groups(s, model);
}

bool group_controller::all_models_filled(const service_state& s) const {
  return std::all_of(
      s.engine->models.begin(), s.engine->models.end(),
      [&](const auto& model) { return this->fill_ratio(s, model) >= 1; });
}

std::optional<group_controller::group_candidate>
group_controller::best_candidate(const service_state& s,
                                 const model_profile& model,
                                 const hosts_by_domain& free,
                                 absl::Time now) const {
  const auto size = static_cast<size_t>(model.group_size);
  std::optional<group_candidate> best;
  for (const auto& [domain, ids] : free) {
    if (ids.size() < size) continue;
    std::vector<std::string> sorted = ids;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [&](const auto& a, const auto& b) {
                       return this->join_time(s, a, model, now) <
                              this->join_time(s, b, model, now);
                     });
    group_candidate candidate;
    candidate.model = &model;
    candidate.domain = domain;
    candidate.members.assign(sorted.begin(),
                             sorted.begin() + static_cast<ptrdiff_t>(size));
    candidate.free_left = ids.size() - size;
    std::set<std::string> dissolved;
    for (const auto& id : candidate.members) {
      const absl::Duration time = this->join_time(s, id, model, now);
      candidate.slowest = std::max(candidate.slowest, time);
      if (this->needs_load(s, id, model)) candidate.loads++;
      const group_membership& membership = s.entry(id).membership;
      if (membership.phase != member_phase::none &&
          this->remains(membership.group)) {
        dissolved.insert(membership.group);
      }
    }
    candidate.dissolved = static_cast<int>(dissolved.size());
    const auto order = [](const group_candidate& c) {
      return std::tuple(c.loads, c.dissolved, c.slowest,
                        -static_cast<int>(c.free_left));
    };
    if (!best || order(candidate) < order(*best)) best = candidate;
  }
  return best;
}

const model_profile* group_controller::next_model(
    const service_state& s, const std::set<std::string>& skipped,
    bool requests_seen) const {
  // Before the first request the largest groups go first, since they fit into
  // the fewest domains; later the model with the lowest fill ratio goes first.
  const model_profile* next = nullptr;
  double lowest = 1;
  for (const auto& model : s.engine->models) {
    const double fill = this->fill_ratio(s, model);
    if (fill >= 1 || skipped.count(model.name) != 0) continue;
    const bool larger = next != nullptr && model.group_size > next->group_size;
    const bool better =
        next == nullptr || (requests_seen ? fill < lowest : larger);
    if (!better) continue;
    next = &model;
    lowest = fill;
  }
  return next;
}

void group_controller::form_groups(service_state& s, bool requests_seen,
                                   absl::Time now, group_actions& out) {
  auto free = this->free_hosts(s);
  std::set<std::string> skipped;
  while (const model_profile* model =
             this->next_model(s, skipped, requests_seen)) {
    const auto best = this->best_candidate(s, *model, free, now);
    const bool without_loads = best && best->loads == 0;
    if (requests_seen && !without_loads &&
        this->reclaim_spares(s, *model, free, now, out)) {
      skipped.insert(model->name);
      continue;
    }
    if (!best) {
      skipped.insert(model->name);
      continue;
    }
    // Before the first request a load is quick and not limited. Later, the
    // hosts stage the weights first, so that they stay available to any repair
    // meanwhile.
    if (requests_seen && best->loads > 0) {
      this->stage_for(s, *best, now, out);
      skipped.insert(model->name);
    } else {
      this->form_group(s, *model, best->members, now, out);
    }
    std::erase_if(free[best->domain], [&](const auto& id) {
      return std::find(best->members.begin(), best->members.end(), id) !=
             best->members.end();
    });
  }
}

int64_t group_controller::next_epoch() {
  return this->fence * epochs_per_term + ++this->epochs;
}

void group_controller::form_group(service_state& s, const model_profile& model,
                                  const std::vector<std::string>& members,
                                  absl::Time now, group_actions& out) {
  const int64_t epoch = this->next_epoch();
  absl::Duration slowest = absl::ZeroDuration();
  for (const auto& id : members) {
    const absl::Duration time = this->join_time(s, id, model, now);
    if (time >= model.cold_load) this->loads.push_back(now);
    slowest = std::max(slowest, time);
  }
  const std::string name = group_name(model.name, epoch);
  this->plans[name] = {s.service, model.name, epoch, members,
                       now + slowest + this->options.formation_slack};
  s.group_count[model.name]++;
  out.events.push_back(
      {"group_forming", name,
       absl::StrCat("expected in ", absl::FormatDuration(slowest))});
}

bool group_controller::may_form(const service_state& s,
                                const group_plan& plan) const {
  return std::all_of(plan.members.begin(), plan.members.end(),
                     [&](const auto& id) {
                       return s.has_server(id) && this->may_join(s.entry(id));
                     });
}

void group_controller::send_joins(const service_state& s, absl::Time now,
                                  group_actions& out) {
  std::vector<std::string> failed;
  for (const auto& [name, plan] : this->plans) {
    if (plan.service != s.service) continue;
    const bool may_proceed = this->may_form(s, plan);
    if (!may_proceed) failed.push_back(name);
    if (!may_proceed || now >= plan.deadline) continue;
    group_order join =
        make_group_order(group_order_kind::join, name, plan.epoch);
    join.model = plan.model;
    join.members = plan.members;
    for (const auto& id : plan.members) {
      const server_entry& entry = s.entry(id);
      if (entry.membership.group == name) continue;
      if (!this->free_to_join(s, entry)) continue;
      this->send(entry, join, out);
    }
  }
  // A group that some members have joined is dissolved by its own state.
  for (const auto& name : failed) {
    const bool exists =
        std::any_of(s.groups.begin(), s.groups.end(),
                    [&](const auto& group) { return group.name == name; });
    if (!exists) this->plans.erase(name);
  }
}

}  // namespace spokesail
