#include "spokesail/group-controller.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace spokesail {
namespace {

/// Epochs of one lease term; a term forms far fewer groups than this.
constexpr int64_t epochs_per_term = 1000000;

/// Time that a member of the last group of the same model takes to rejoin.
constexpr absl::Duration rejoin_time = absl::Milliseconds(200);

/// Before there are requests, groups are formed once no server has come or
/// gone for this long, so that all of them are there to choose from.
constexpr absl::Duration settle_time = absl::Milliseconds(600);

/// A staging that takes this much longer than a load is taken to have failed.
constexpr absl::Duration stage_slack = absl::Seconds(1);

/// How long an incomplete group of an earlier holder may still form.
constexpr absl::Duration inherited_wait = absl::Milliseconds(2500);

bool staged_on(const server_entry& entry, const model_profile& model) {
  return std::find(entry.staged.begin(), entry.staged.end(), model.name) !=
         entry.staged.end();
}

bool phase_may_serve(member_phase phase) {
  return phase == member_phase::open || phase == member_phase::closing ||
         phase == member_phase::ready || phase == member_phase::joining;
}

bool confirms(const group_membership& said, const group_membership& assumed) {
  if (assumed.phase == member_phase::none) {
    return said.phase == member_phase::none || said.epoch > assumed.epoch;
  }
  const bool same = said.group == assumed.group && said.epoch == assumed.epoch;
  if (said.epoch > assumed.epoch) return true;
  return same && (assumed.phase == member_phase::joining ||
                  said.phase != member_phase::ready);
}

}  // namespace

/// One service's servers and groups during a step.
struct group_controller::service_state {
  const engine_profile* engine = nullptr;
  std::string service;
  /// With acknowledged orders taken as carried out.
  std::map<std::string, listed_server> servers;
  std::vector<group_view> groups;
  std::map<std::string, int> group_count;

  const server_entry& entry(const std::string& id) const {
    return this->servers.at(id).entry;
  }
  bool knows(const std::string& id) const {
    return this->servers.count(id) != 0;
  }
};

void group_controller::start_term(int64_t fence_number, absl::Time now) {
  this->stop_term();
  this->fence = fence_number;
  this->servers_since = now;
}

void group_controller::stop_term() {
  this->fence = 0;
  this->epochs = 0;
  this->tracks.clear();
  this->plans.clear();
  this->released.clear();
  this->dissolving.clear();
  this->incomplete.clear();
  this->loads.clear();
}

void group_controller::suspect(const std::string& server, absl::Time now) {
  if (!this->active()) return;
  const auto found = this->tracks.find(server);
  if (found == this->tracks.end() || found->second.silent) return;
  found->second.probe_at = std::min(found->second.probe_at, now);
}

void group_controller::on_order(const group_order& order, order_result result,
                                absl::Time now) {
  const auto found = this->tracks.find(order.server);
  if (found == this->tracks.end()) return;
  server_track& track = found->second;
  if (!track.pending || !(*track.pending == order)) return;
  track.pending.reset();
  if (result == order_result::begun || result == order_result::already_done) {
    // A leave is done at once, so it is answered as done although it counts.
    const bool counted =
        result == order_result::begun || order.kind == group_order_kind::leave;
    if (counted) track.orders_taken = order.expected_orders + 1;
    if (order.kind == group_order_kind::stage) return;
    group_membership assumed;
    assumed.group = order.group;
    assumed.epoch = order.epoch;
    const auto at =
        std::find(order.members.begin(), order.members.end(), order.server);
    assumed.rank = static_cast<int>(at - order.members.begin());
    if (order.kind == group_order_kind::join) {
      assumed.phase = member_phase::joining;
      track.last_model = order.model;
    }
    if (order.kind == group_order_kind::open)
      assumed.phase = member_phase::open;
    if (order.kind == group_order_kind::close)
      assumed.phase = member_phase::closing;
    if (order.kind == group_order_kind::leave && track.leads == order.group) {
      this->released.insert(order.group);
    }
    track.assumed = assumed;
    track.assumed_until = now + this->options.assume_time;
    return;
  }
  track.orders_taken.reset();
  if (order.kind == group_order_kind::stage) track.staging_until = now;
  const bool gone = result == order_result::unreachable ||
                    result == order_result::other_server;
  const bool asked = result == order_result::unknown || gone;
  track.probe_at =
      now + (asked ? absl::ZeroDuration() : absl::Milliseconds(250));
}

void group_controller::on_report(const std::string& server,
                                 const std::optional<server_report>& report,
                                 absl::Time now) {
  const auto found = this->tracks.find(server);
  if (found == this->tracks.end()) return;
  server_track& track = found->second;
  track.probing = false;
  if (!report) {
    track.silent = true;
    track.probe_at = now + this->options.retry_probe;
    return;
  }
  track.silent = false;
  track.probe_at = absl::InfiniteFuture();
  if (!track.pending) track.orders_taken = report->orders_taken;
}

std::vector<std::string> group_controller::silent_servers() const {
  std::vector<std::string> out;
  for (const auto& [id, track] : this->tracks) {
    if (track.silent) out.push_back(id);
  }
  return out;
}

bool group_controller::usable(const server_entry& entry) const {
  const auto found = this->tracks.find(entry.id);
  return !entry.draining && found != this->tracks.end() &&
         !found->second.silent;
}

void group_controller::take_directory(const server_directory& directory,
                                      absl::Time now) {
  for (const auto& [id, server] : directory.servers()) {
    if (server.entry.domain.empty()) continue;
    server_track& track = this->tracks[id];
    if (track.assumed && (now >= track.assumed_until ||
                          confirms(server.entry.membership, *track.assumed))) {
      track.assumed.reset();
    }
  }
  std::erase_if(this->tracks, [&](const auto& item) {
    return directory.servers().count(item.first) == 0;
  });
}

void group_controller::probe_silent(group_actions& out, absl::Time now) {
  for (auto& [id, track] : this->tracks) {
    const bool due = now >= track.probe_at;
    const bool unknown = !track.orders_taken && !track.pending &&
                         track.probe_at == absl::InfiniteFuture();
    if (track.probing || (!due && !unknown)) continue;
    track.probing = true;
    out.reports.push_back(id);
  }
}

group_controller::service_state group_controller::read_service(
    const server_directory& directory, const backend_service& service) const {
  service_state s;
  s.engine = &*service.engine;
  s.service = service.name;
  for (const auto& [id, server] : directory.servers()) {
    const auto track = this->tracks.find(id);
    if (server.entry.service != service.name) continue;
    if (track == this->tracks.end()) continue;
    listed_server& copy = s.servers[id] = server;
    if (track->second.assumed) copy.entry.membership = *track->second.assumed;
  }
  std::map<std::string, int> sizes;
  for (const auto& m : s.engine->models) sizes[m.name] = m.group_size;
  s.groups = collect_groups(s.servers, service.name, sizes);
  return s;
}

bool group_controller::send(const server_entry& entry, group_order order,
                            group_actions& out) {
  server_track& track = this->tracks[entry.id];
  if (track.pending || !track.orders_taken) return false;
  order.server = entry.id;
  order.address = entry.address;
  order.expected_orders = *track.orders_taken;
  order.fence = this->fence;
  track.pending = order;
  out.orders.push_back(std::move(order));
  return true;
}

group_actions group_controller::step(const server_directory& directory,
                                     const routing_config& config,
                                     bool loads_count, absl::Time now) {
  group_actions out;
  if (!this->active()) return out;
  this->take_directory(directory, now);
  this->probe_silent(out, now);
  const size_t silent = this->silent_servers().size();
  const double limit = this->options.cut_off_share * this->tracks.size();
  if (silent > 2 && static_cast<double>(silent) > limit) {
    out.notes.push_back({"controller_cut_off", absl::StrCat(silent),
                         "too many servers do not answer"});
    out.step_down = true;
    return out;
  }
  for (const auto& service : config.services) {
    if (!service.engine) continue;
    this->run_service(directory, service, loads_count, now, out);
  }
  return out;
}

void group_controller::run_service(const server_directory& directory,
                                   const backend_service& service,
                                   bool loads_count, absl::Time now,
                                   group_actions& out) {
  service_state s = this->read_service(directory, service);
  std::set<std::string> standing;
  for (const auto& group : s.groups) {
    standing.insert(group.name);
    this->judge_group(s, group, now, out);
  }
  for (const auto& [name, plan] : this->plans) {
    if (standing.count(name) != 0 || plan.give_up_at <= now) continue;
    if (find_model(*s.engine, plan.model) != nullptr) {
      s.group_count[plan.model]++;
    }
  }
  std::erase_if(this->plans, [&](const auto& item) {
    return item.second.give_up_at <= now && standing.count(item.first) == 0;
  });
  if (loads_count || this->settled(s, now)) {
    this->form_groups(s, loads_count, now, out);
  }
  this->send_joins(s, now, out);
  if (loads_count || this->all_filled(s)) {
    this->stage_spares(s, loads_count, now, out);
  }
  this->clear_memberships(s, out);
}

bool group_controller::settled(const service_state& s, absl::Time now) {
  if (s.servers.size() != this->known_servers) {
    this->known_servers = s.servers.size();
    this->servers_since = now;
  }
  return now - this->servers_since >= settle_time;
}

bool group_controller::all_filled(const service_state& s) const {
  return std::all_of(
      s.engine->models.begin(), s.engine->models.end(),
      [&](const auto& model) { return this->fill_of(s, model) >= 1; });
}

void group_controller::send_joins(service_state& s, absl::Time now,
                                  group_actions& out) {
  std::vector<std::string> failed;
  for (const auto& [name, plan] : this->plans) {
    if (find_model(*s.engine, plan.model) == nullptr) continue;
    const bool sound = std::all_of(
        plan.members.begin(), plan.members.end(), [&](const auto& id) {
          return s.knows(id) && this->usable(s.entry(id));
        });
    if (!sound) failed.push_back(name);
    if (!sound || now >= plan.give_up_at) continue;
    group_order join;
    join.kind = group_order_kind::join;
    join.group = name;
    join.epoch = plan.epoch;
    join.model = plan.model;
    join.members = plan.members;
    for (const auto& id : plan.members) {
      const server_entry& entry = s.entry(id);
      if (entry.membership.group == name) continue;
      if (!this->free_to_join(s, entry)) continue;
      this->send(entry, join, out);
    }
  }
  // A group that some members joined already is dissolved by its own state.
  for (const auto& name : failed) {
    const bool stands =
        std::any_of(s.groups.begin(), s.groups.end(),
                    [&](const auto& group) { return group.name == name; });
    if (!stands) this->plans.erase(name);
  }
}

void group_controller::clear_memberships(service_state& s, group_actions& out) {
  std::set<std::string> planned;
  for (const auto& [name, plan] : this->plans) {
    planned.insert(plan.members.begin(), plan.members.end());
  }
  for (const auto& [id, server] : s.servers) {
    const group_membership& said = server.entry.membership;
    if (said.phase == member_phase::none || planned.count(id) != 0) continue;
    if (!this->free_to_join(s, server.entry)) continue;
    group_order leave;
    leave.kind = group_order_kind::leave;
    leave.group = said.group;
    leave.epoch = said.epoch;
    this->send(server.entry, leave, out);
  }
}

std::optional<std::string> group_controller::reason_to_dissolve(
    const service_state& s, const group_view& group, absl::Time now) {
  const model_profile* model = find_model(*s.engine, group.model);
  if (model == nullptr) return "model is not configured";
  if (group.head_phase == member_phase::broken) return "head is broken";
  const auto plan = this->plans.find(group.name);
  std::vector<std::string> members = group.members;
  if (plan != this->plans.end()) members = plan->second.members;
  for (const auto& id : members) {
    if (id.empty()) continue;
    if (!s.knows(id)) return absl::StrCat(id, " is gone");
    const server_entry& entry = s.entry(id);
    if (entry.draining) return absl::StrCat(id, " is leaving");
    if (!this->usable(entry)) return absl::StrCat(id, " does not answer");
  }
  if (group.whole) {
    this->incomplete.erase(group.name);
    return std::nullopt;
  }
  if (group.head_phase == member_phase::open ||
      group.head_phase == member_phase::closing) {
    return "not whole although open";
  }
  if (plan != this->plans.end()) {
    if (now < plan->second.give_up_at) return std::nullopt;
    return "did not form in time";
  }
  const auto since = this->incomplete.emplace(group.name, now).first->second;
  if (now - since < inherited_wait) return std::nullopt;
  return "left incomplete by an earlier holder";
}

void group_controller::judge_group(service_state& s, const group_view& group,
                                   absl::Time now, group_actions& out) {
  if (this->released.count(group.name) != 0) return;
  if (this->dissolving.count(group.name) != 0) {
    this->dissolve(s, group, "", now, out);
    return;
  }
  const auto reason = this->reason_to_dissolve(s, group, now);
  if (reason) {
    this->dissolve(s, group, *reason, now, out);
    return;
  }
  s.group_count[group.model]++;
  if (group.whole && group.head_phase == member_phase::ready) {
    group_order open;
    open.kind = group_order_kind::open;
    open.group = group.name;
    open.epoch = group.epoch;
    this->send(s.entry(group.head()), open, out);
  }
}

void group_controller::dissolve(service_state& s, const group_view& group,
                                const std::string& reason, absl::Time now,
                                group_actions& out) {
  const auto [since, first] = this->dissolving.emplace(group.name, now);
  if (first) {
    out.notes.push_back({"group_dissolved", group.name, reason});
    this->plans.erase(group.name);
  }
  const std::string& head = group.head();
  const bool head_known = !head.empty() && s.knows(head);
  if (head_known && group.head_phase == member_phase::broken) {
    this->released.insert(group.name);
    return;
  }
  if (head_known && !this->tracks[head].silent) {
    const server_entry& entry = s.entry(head);
    if (!phase_may_serve(entry.membership.phase)) {
      this->released.insert(group.name);
      return;
    }
    const bool all_answer = std::all_of(
        group.members.begin(), group.members.end(), [&](const auto& id) {
          return !id.empty() && s.knows(id) && !this->tracks[id].silent;
        });
    const bool planned = all_answer;
    const bool running = entry.membership.phase == member_phase::open ||
                         entry.membership.phase == member_phase::closing;
    if (planned && running && now - since->second < this->options.drain_wait) {
      if (entry.membership.phase == member_phase::closing) return;
      group_order close;
      close.kind = group_order_kind::close;
      close.group = group.name;
      close.epoch = group.epoch;
      this->send(entry, close, out);
      return;
    }
    group_order leave;
    leave.kind = group_order_kind::leave;
    leave.group = group.name;
    leave.epoch = group.epoch;
    if (this->send(entry, leave, out)) this->tracks[head].leads = group.name;
    return;
  }
  this->free_survivors(s, group, out);
}

void group_controller::free_survivors(service_state& s, const group_view& group,
                                      group_actions& out) {
  for (size_t rank = 1; rank < group.members.size(); ++rank) {
    const std::string& id = group.members[rank];
    if (id.empty() || !s.knows(id) || this->tracks[id].silent) continue;
    group_order leave;
    leave.kind = group_order_kind::leave;
    leave.group = group.name;
    leave.epoch = group.epoch;
    this->send(s.entry(id), leave, out);
  }
}

bool group_controller::free_to_join(const service_state& s,
                                    const server_entry& entry) const {
  const server_track& track = this->tracks.at(entry.id);
  if (!this->usable(entry) || track.pending || !track.orders_taken) {
    return false;
  }
  if (track.probing) return false;
  if (s.servers.at(entry.id).lapses_at != absl::InfinitePast()) return false;
  const group_membership& said = entry.membership;
  return said.phase == member_phase::none ||
         this->released.count(said.group) != 0;
}

absl::Duration group_controller::join_time(const service_state& s,
                                           const std::string& server,
                                           const model_profile& model,
                                           absl::Time now) const {
  const server_entry& entry = s.entry(server);
  const server_track& track = this->tracks.at(server);
  const bool has = staged_on(entry, model);
  const group_membership& said = entry.membership;
  const bool member =
      group_model(said.group) == model.name && said.phase != member_phase::none;
  if (has && (track.last_model == model.name || member)) return rejoin_time;
  if (has) return model.staged_load;
  if (track.staging == model.name && now < track.staging_until) {
    return track.staging_until - now + model.staged_load;
  }
  return model.cold_load;
}

void group_controller::form_group(service_state& s, const model_profile& model,
                                  const std::vector<std::string>& members,
                                  absl::Time now, group_actions& out) {
  const int64_t epoch = this->fence * epochs_per_term + ++this->epochs;
  absl::Duration slowest = absl::ZeroDuration();
  for (const auto& id : members) {
    const absl::Duration time = this->join_time(s, id, model, now);
    if (time >= model.cold_load) this->loads.push_back(now);
    slowest = std::max(slowest, time);
  }
  const std::string name = group_name(model.name, epoch);
  this->plans[name] = {model.name, epoch, members,
                       now + slowest + this->options.form_slack};
  s.group_count[model.name]++;
  out.notes.push_back(
      {"group_forming", name,
       absl::StrCat("expected in ", absl::FormatDuration(slowest))});
}

int group_controller::loads_left(const engine_profile& engine, absl::Time now) {
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

std::map<std::string, std::vector<std::string>> group_controller::free_hosts(
    const service_state& s) const {
  std::set<std::string> planned;
  for (const auto& [name, plan] : this->plans) {
    planned.insert(plan.members.begin(), plan.members.end());
  }
  std::map<std::string, std::vector<std::string>> by_domain;
  for (const auto& [id, server] : s.servers) {
    if (planned.count(id) != 0) continue;
    if (!this->free_to_join(s, server.entry)) continue;
    by_domain[server.entry.domain].push_back(id);
  }
  return by_domain;
}

double group_controller::fill_of(const service_state& s,
                                 const model_profile& model) const {
  // Hosts by domain, since a spare helps only in its own.
  std::map<std::string, int> hosts;
  for (const auto& [id, server] : s.servers) {
    if (this->usable(server.entry)) hosts[server.entry.domain]++;
  }
  double used = 0;
  for (const auto& [domain, count] : hosts) {
    used += count - std::ceil(count * this->options.spare_share);
  }
  const double wanted =
      std::max(1.0, std::round(used * model.share / model.group_size));
  const auto count = s.group_count.find(model.name);
  return (count == s.group_count.end() ? 0 : count->second) / wanted;
}

std::optional<group_controller::formation> group_controller::best_formation(
    const service_state& s, const model_profile& model,
    const std::map<std::string, std::vector<std::string>>& free,
    absl::Time now) const {
  const auto size = static_cast<size_t>(model.group_size);
  std::optional<formation> best;
  for (const auto& [domain, ids] : free) {
    if (ids.size() < size) continue;
    std::vector<std::string> sorted = ids;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [&](const auto& a, const auto& b) {
                       return this->join_time(s, a, model, now) <
                              this->join_time(s, b, model, now);
                     });
    formation f;
    f.model = &model;
    f.domain = domain;
    f.members.assign(sorted.begin(),
                     sorted.begin() + static_cast<ptrdiff_t>(size));
    f.left = ids.size() - size;
    for (const auto& id : f.members) {
      const absl::Duration time = this->join_time(s, id, model, now);
      f.slowest = std::max(f.slowest, time);
      if (!staged_on(s.entry(id), model)) f.loads++;
    }
    const auto order = [](const formation& x) {
      return std::tuple(x.loads, x.slowest, -static_cast<int>(x.left));
    };
    if (!best || order(f) < order(*best)) best = f;
  }
  return best;
}

void group_controller::form_groups(service_state& s, bool loads_count,
                                   absl::Time now, group_actions& out) {
  auto free = this->free_hosts(s);
  std::set<std::string> passed_over;
  for (;;) {
    // At first the largest groups are placed, since they fit into the fewest
    // places; later the model that lacks most goes first.
    const model_profile* model = nullptr;
    double least = 1;
    for (const auto& m : s.engine->models) {
      const double fill = this->fill_of(s, m);
      if (fill >= 1 || passed_over.count(m.name) != 0) continue;
      const bool larger = model != nullptr && m.group_size > model->group_size;
      const bool better =
          model == nullptr || (loads_count ? fill < least : larger);
      if (!better) continue;
      model = &m;
      least = fill;
    }
    if (model == nullptr) return;
    const auto best = this->best_formation(s, *model, free, now);
    if (!best) {
      passed_over.insert(model->name);
      continue;
    }
    // Before there are requests a load is quick and free. Later, hosts are
    // staged first, so that they stay of use to any repair meanwhile.
    auto& ids = free[best->domain];
    if (loads_count && best->loads > 0) {
      this->stage_for(s, *best, now, out);
      passed_over.insert(model->name);
    } else {
      this->form_group(s, *model, best->members, now, out);
    }
    std::erase_if(ids, [&](const auto& id) {
      return std::find(best->members.begin(), best->members.end(), id) !=
             best->members.end();
    });
  }
}

void group_controller::stage_for(service_state& s, const formation& f,
                                 absl::Time now, group_actions& out) {
  for (const auto& id : f.members) {
    if (staged_on(s.entry(id), *f.model)) continue;
    this->stage(s, id, *f.model, true, now, out);
  }
}

bool group_controller::stage(service_state& s, const std::string& id,
                             const model_profile& model, bool loads_count,
                             absl::Time now, group_actions& out) {
  if (now < this->tracks[id].staging_until) return false;
  if (loads_count && this->loads_left(*s.engine, now) <= 0) return false;
  group_order order;
  order.kind = group_order_kind::stage;
  order.model = model.name;
  if (!this->send(s.entry(id), order, out)) return false;
  server_track& track = this->tracks[id];
  track.staging = model.name;
  track.staging_until = now + model.cold_load + stage_slack;
  this->loads.push_back(now);
  out.notes.push_back({"host_staging", id, model.name});
  return true;
}

void group_controller::stage_spares(service_state& s, bool loads_count,
                                    absl::Time now, group_actions& out) {
  // Members of each model, and spares that hold its weights, by domain.
  std::map<std::string, std::map<std::string, int>> members;
  std::map<std::string, std::map<std::string, int>> spares;
  std::vector<std::string> bare;
  std::map<std::string, std::string> planned;
  for (const auto& [name, plan] : this->plans) {
    for (const auto& id : plan.members) planned[id] = plan.model;
  }
  for (const auto& [id, server] : s.servers) {
    const server_entry& entry = server.entry;
    const server_track& track = this->tracks.at(id);
    if (!this->usable(entry)) continue;
    const std::string model = group_model(entry.membership.group);
    const bool in_group = entry.membership.phase != member_phase::none &&
                          this->released.count(entry.membership.group) == 0;
    if (in_group) {
      members[entry.domain][model]++;
      continue;
    }
    if (const auto plan = planned.find(id); plan != planned.end()) {
      members[entry.domain][plan->second]++;
      continue;
    }
    if (now < track.staging_until) {
      spares[entry.domain][track.staging]++;
      continue;
    }
    for (const auto& staged : entry.staged) spares[entry.domain][staged]++;
    if (entry.staged.empty() && this->free_to_join(s, entry)) {
      bare.push_back(id);
    }
  }
  for (const auto& id : bare) {
    const std::string& domain = s.entry(id).domain;
    const model_profile* best = nullptr;
    double best_need = -1;
    for (const auto& model : s.engine->models) {
      // A first spare stands for the next loss among the members; each further
      // one only for a loss that comes before hosts are staged anew, which is
      // less likely than in proportion. A model without a group here counts a
      // little, so that one may form.
      const double served = members[domain][model.name] + 0.5 * model.share;
      const double need =
          served / std::pow(1.0 + spares[domain][model.name], 1.5);
      if (need > best_need) {
        best = &model;
        best_need = need;
      }
    }
    if (best == nullptr) return;
    if (!this->stage(s, id, *best, loads_count, now, out)) continue;
    spares[domain][best->name]++;
  }
}

}  // namespace spokesail
