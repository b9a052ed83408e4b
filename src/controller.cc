#include "spokesail/controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace spokesail {

using json = nlohmann::json;

namespace {

bool matches(const host_report& report, const group& g) {
  return report.group == g.name && report.incarnation == g.incarnation;
}

bool warm_for(const host_report& report, const group& g) {
  return report.model == g.model && report.version == g.version &&
         report.adapters == g.adapters;
}

order make_load(const controller_view& view, const group& g, size_t rank) {
  order o;
  o.kind = order_kind::load;
  o.host = g.hosts[rank];
  o.address = view.hosts.at(o.host).info.address;
  o.group = g.name;
  o.incarnation = g.incarnation;
  o.model = g.model;
  o.version = g.version;
  o.adapters = g.adapters;
  o.rank = static_cast<int>(rank);
  for (const auto& host : g.hosts) {
    const auto it = view.hosts.find(host);
    if (it != view.hosts.end()) o.members.push_back(it->second.info.address);
  }
  return o;
}

bool holds_weights(const host_report& report, const model_config& model) {
  return report.model == model.name && report.version == model.version &&
         report.adapters == model.adapters;
}

order make_preload(const host_info& host, const model_config& model) {
  order o;
  o.kind = order_kind::preload;
  o.host = host.name;
  o.address = host.address;
  o.model = model.name;
  o.version = model.version;
  o.adapters = model.adapters;
  return o;
}

}  // namespace

const char* order_name(order_kind kind) {
  switch (kind) {
    case order_kind::load:
      return "load";
    case order_kind::release:
      return "release";
    case order_kind::preload:
      return "preload";
  }
  return "unknown";
}

controller::controller(const std::string& hall, const std::string& self,
                       controller_timing timing)
    : hall(hall),
      timing(timing),
      own_lease(hall, self, timing.lease),
      policy(make_policy(timing.policy)) {}

void controller::follow_lease(absl::Time now) {
  const bool holds_lease = this->leads(now);
  const int64_t fence = holds_lease ? this->own_lease.fence() : -1;
  if (fence == this->term_fence) return;
  this->term_fence = fence;
  this->term_since = holds_lease ? now : absl::InfiniteFuture();
  this->placement_owned = false;
  this->placement_read = false;
  this->write.reset();
  this->pending_changes.clear();
  this->draining_since.clear();
}

controller_actions controller::step(const controller_view& view, absl::Time now,
                                    const std::string& write_id) {
  controller_actions actions;
  this->follow_lease(now);
  actions.lease_call = this->own_lease.due(now, write_id + "-lease");
  if (!this->leads(now)) return actions;
  actions.placement_call =
      this->advance_placement(view, now, write_id + "-place", actions);
  if (this->placement_owned) actions.orders = this->due_orders(view, now);
  return actions;
}

std::optional<platform_call> controller::advance_placement(
    const controller_view& view, absl::Time now, const std::string& write_id,
    controller_actions& actions) {
  if (this->placement_call_pending) return std::nullopt;
  if (this->write) {
    this->placement_call_pending = true;
    return next_call(*this->write);
  }
  if (!this->placement_read) {
    this->placement_call_pending = true;
    return platform_call{
        call_kind::read, {kinds::placement, this->hall}, 0, {}};
  }
  std::swap(actions.changes, this->pending_changes);
  // A higher fencing number in the document: another holder has the lease.
  if (this->current.fence > this->term_fence) return std::nullopt;
  if (!this->placement_owned) {
    placement claimed = this->current;
    claimed.hall = this->hall;
    claimed.fence = this->term_fence;
    return this->write_placement(claimed, write_id);
  }
  if (now < this->next_plan || !view.config) return std::nullopt;
  this->next_plan = now + this->timing.plan_interval;
  this->update_draining(now);
  auto planned = plan(this->make_plan_input(view, now));
  if (planned.next == this->current) return std::nullopt;
  if (!shared_hosts(planned.next).empty()) return std::nullopt;
  this->pending_changes = std::move(planned.changes);
  return this->write_placement(planned.next, write_id);
}

std::optional<platform_call> controller::write_placement(
    const placement& next, const std::string& write_id) {
  this->write = make_write(this->base_object, json(next).dump(), write_id);
  this->placement_call_pending = true;
  return next_call(*this->write);
}

std::optional<object> controller::on_placement_answer(
    const platform_answer& answer) {
  this->placement_call_pending = false;
  const auto accept = [this](const object& found) {
    this->base_object = found;
    this->current = placement{};
    const json spec = json::parse(found.body, nullptr, false);
    if (spec.is_object()) this->current = spec.get<placement>();
    this->placement_read = true;
  };
  if (!this->write) {
    if (answer.status == call_status::ok) accept(answer.found);
    if (answer.status == call_status::not_found) {
      accept(object{{kinds::placement, this->hall}, 0, {}, false});
    }
    return std::nullopt;
  }
  this->write = apply_answer(*this->write, answer);
  if (!is_finished(*this->write)) return std::nullopt;
  const bool applied = this->write->state == write_state::applied;
  object found = this->write->found;
  if (applied && !found.body.empty()) {
    accept(found);
    this->placement_owned = this->current.fence == this->term_fence;
  } else {
    // Another writer came first: read the document again before the next write.
    this->placement_read = false;
    this->placement_owned = false;
    this->pending_changes.clear();
  }
  this->write.reset();
  if (!applied) return std::nullopt;
  return found;
}

void controller::update_draining(absl::Time now) {
  std::map<std::string, absl::Time> since;
  for (const auto& g : this->current.groups) {
    if (g.phase != group_phase::draining) continue;
    const auto it = this->draining_since.find(g.name);
    since[g.name] = it == this->draining_since.end() ? now : it->second;
  }
  this->draining_since = std::move(since);
}

plan_input controller::make_plan_input(const controller_view& view,
                                       absl::Time now) const {
  plan_input in;
  in.config = view.config;
  in.hall = this->hall;
  in.hosts = view.hosts;
  in.current = this->current;
  in.now = now;
  in.draining_since = this->draining_since;
  in.drain_settle = this->timing.drain_settle;
  in.policy = this->policy.get();
  // An order of the previous holder may still be on its way to a host that does
  // not check fencing numbers. Nor is a host given to another group while an
  // order of this holder is outstanding.
  const absl::Time earliest_reassignment =
      this->term_since + 2 * this->timing.order_deadline;
  for (auto& [name, host] : in.hosts) {
    if (!host.info.checks_fencing) host.reassign_after = earliest_reassignment;
    const auto it = this->orders.find(name);
    if (it == this->orders.end() || !it->second.in_flight) continue;
    host.reassign_after = std::max(
        host.reassign_after, it->second.sent_at + this->timing.order_deadline);
  }
  return in;
}

bool controller::may_send(const std::string& host, absl::Time now) const {
  const auto it = this->orders.find(host);
  if (it == this->orders.end()) return true;
  const auto& last = it->second;
  if (last.in_flight) {
    return now >= last.sent_at + 2 * this->timing.order_deadline;
  }
  return now >= last.sent_at + this->timing.order_repeat;
}

std::vector<order> controller::due_orders(const controller_view& view,
                                          absl::Time now) {
  struct candidate {
    const group* g;
    size_t rank;
    bool cold;
  };
  load_budget budget;
  int& loading = budget.loading;
  auto& owner = budget.owner;
  std::vector<candidate> due;
  for (const auto& g : this->current.groups) {
    for (size_t rank = 0; rank < g.hosts.size(); rank++) {
      owner[g.hosts[rank]] = &g;
      const auto it = view.hosts.find(g.hosts[rank]);
      if (it == view.hosts.end() || !it->second.report) continue;
      const host_report& report = *it->second.report;
      if (matches(report, g)) {
        if (report.phase == host_phase::loading) loading++;
        continue;
      }
      due.push_back({&g, rank, !warm_for(report, g)});
    }
  }
  const auto rank_of = [&](const candidate& c) {
    const model_config* model =
        view.config ? find_model(*view.config, c.g->model) : nullptr;
    const auto missing =
        std::count_if(due.begin(), due.end(),
                      [&](const candidate& other) { return other.g == c.g; });
    return std::tuple(model ? -model->importance : 0, missing, c.g->incarnation,
                      c.rank);
  };
  std::stable_sort(due.begin(), due.end(),
                   [&](const candidate& a, const candidate& b) {
                     return rank_of(a) < rank_of(b);
                   });
  if (view.config) budget.limit = view.config->limits.concurrent_loads;
  const int limit = budget.limit;
  std::vector<order> out;
  for (const auto& c : due) {
    const std::string& host = c.g->hosts[c.rank];
    if (!this->may_send(host, now)) {
      if (c.cold) loading++;
      continue;
    }
    if (c.cold && loading >= limit) continue;
    if (c.cold) loading++;
    out.push_back(make_load(view, *c.g, c.rank));
  }
  for (const auto& [name, host] : view.hosts) {
    if (!host.report || host.report->group.empty()) continue;
    if (owner.count(name) != 0 || !host.info.service.empty()) continue;
    if (!this->may_send(name, now)) continue;
    order o;
    o.kind = order_kind::release;
    o.host = name;
    o.address = host.info.address;
    o.group = host.report->group;
    o.incarnation = host.report->incarnation;
    out.push_back(std::move(o));
  }
  this->add_preloads(view, now, budget, out);
  const absl::Time until = this->own_lease.valid_until_time();
  for (auto& o : out) {
    o.fence = this->term_fence;
    o.not_after = std::min(until, now + this->timing.order_deadline);
    this->orders[o.host] = {now, true, order_status::accepted, o.group,
                            o.incarnation};
  }
  return out;
}

std::vector<controller::spare_demand> controller::spare_demands(
    const controller_view& view, const std::string& domain) const {
  std::set<std::string> models_here;
  for (const auto& g : this->current.groups) {
    const auto head = view.hosts.find(g.hosts.front());
    const bool same =
        head != view.hosts.end() && head->second.info.domain == domain;
    if (same) models_here.insert(g.model);
  }
  std::vector<spare_demand> demands;
  for (const auto& model : view.config->models) {
    const auto wanted = model.replicas.find(this->hall);
    if (wanted == model.replicas.end() || wanted->second == 0) continue;
    // A group of this domain needs one host to replace a member; a group of
    // another domain moves here as a whole.
    const bool has_group = models_here.count(model.name) != 0;
    demands.push_back(
        {&model, has_group ? 1 : model.hosts_per_replica, has_group});
  }
  std::stable_sort(demands.begin(), demands.end(),
                   [](const spare_demand& x, const spare_demand& y) {
                     if (x.has_group != y.has_group) return x.has_group;
                     return x.model->importance > y.model->importance;
                   });
  return demands;
}

void controller::add_preloads(const controller_view& view, absl::Time now,
                              load_budget& budget,
                              std::vector<order>& out) const {
  if (!view.config || !view.config->limits.preload_spares) return;
  std::map<std::string, std::vector<const host_view*>> spares;
  for (const auto& [name, host] : view.hosts) {
    const bool spare = host.report && host.report->group.empty() &&
                       host.info.service.empty() && !host.info.leaving &&
                       !host.drained && budget.owner.count(name) == 0;
    if (!spare) continue;
    spares[host.info.domain].push_back(&host);
    if (host.report->phase == host_phase::loading) budget.loading++;
  }
  for (auto& [domain, hosts] : spares) {
    auto demands = this->spare_demands(view, domain);
    // Hosts that hold or are loading what is needed are left as they are.
    std::erase_if(hosts, [&](const host_view* host) {
      for (auto& demand : demands) {
        if (demand.count <= 0 || !holds_weights(*host->report, *demand.model)) {
          continue;
        }
        demand.count--;
        return true;
      }
      return host->report->phase == host_phase::loading;
    });
    for (const host_view* host : hosts) {
      const auto unmet =
          std::find_if(demands.begin(), demands.end(),
                       [](const auto& demand) { return demand.count > 0; });
      // Groups that wait for weights come first and are counted already.
      if (unmet == demands.end() || budget.loading >= budget.limit) break;
      if (!this->may_send(host->info.name, now)) continue;
      unmet->count--;
      budget.loading++;
      out.push_back(make_preload(host->info, *unmet->model));
    }
  }
}

void controller::on_order_result(const std::string& host, order_status status,
                                 absl::Time now) {
  const auto it = this->orders.find(host);
  if (it == this->orders.end()) return;
  it->second.in_flight = false;
  it->second.status = status;
  if (status != order_status::accepted) it->second.sent_at = now;
}

}  // namespace spokesail
