// The controller's step and its handling of servers' answers.
#include "spokesail/group-controller.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "group-state.h"

namespace spokesail {
namespace {

/// Delay before a server that refused an order is probed. It is not probed at
/// once, since it may be busy with an earlier order.
constexpr absl::Duration refused_probe_delay = absl::Milliseconds(250);

/// Interval at which a server that is busy with an order is probed. It is a
/// small part of the time of a load, and each probe has a cost.
constexpr absl::Duration busy_probe_delay = absl::Seconds(2);

/// Up to this number of unresponsive servers does not show that the holder
/// itself is isolated, however small the fleet is.
constexpr size_t max_ignored_unresponsive = 2;

/// A server that has announced its stop stays for this long at most while a
/// group that it is in has running requests.
constexpr absl::Duration max_leaving_time = absl::Seconds(10);

/// Period of the summary of models; short enough to see in a log why a group
/// was missing when a request found none.
constexpr absl::Duration summary_period = absl::Seconds(2);

/// Whether a member in this phase has its model's weights in its engine.
bool runs_model(member_phase phase) {
  return phase == member_phase::ready || phase == member_phase::open ||
         phase == member_phase::closing;
}

/// Number of servers of one data hall.
struct hall_count {
  int servers = 0;
  int unresponsive = 0;
};

/// Whether a server's reported membership confirms or supersedes the assumed
/// one.
bool confirms(const group_membership& reported,
              const group_membership& assumed) {
  if (assumed.phase == member_phase::none) {
    return reported.phase == member_phase::none ||
           reported.epoch > assumed.epoch;
  }
  const bool same =
      reported.group == assumed.group && reported.epoch == assumed.epoch;
  if (reported.epoch > assumed.epoch) return true;
  return same && (assumed.phase == member_phase::joining ||
                  reported.phase != member_phase::ready);
}

/// A server's membership after it has executed `order`.
group_membership membership_after(const group_order& order) {
  group_membership after;
  after.group = order.group;
  after.epoch = order.epoch;
  const auto at =
      std::find(order.members.begin(), order.members.end(), order.server);
  after.rank = static_cast<int>(at - order.members.begin());
  if (order.kind == group_order_kind::join) after.phase = member_phase::joining;
  if (order.kind == group_order_kind::open) after.phase = member_phase::open;
  if (order.kind == group_order_kind::close) {
    after.phase = member_phase::closing;
  }
  return after;
}

}  // namespace

void group_controller::start_term(int64_t fence_number,
                                  const earlier_loads& before,
                                  const std::vector<model_share>& last_shares) {
  this->stop_term();
  this->restore_allocation(last_shares);
  this->inherited = before;
  if (fence_number != this->epochs_fence) this->epochs = 0;
  this->epochs_fence = fence_number;
  this->fence = fence_number;
}

void group_controller::stop_term() {
  this->fence = 0;
  this->tracks.clear();
  this->plans.clear();
  this->warmups.clear();
  this->stopped_groups.clear();
  this->dissolving.clear();
  this->incomplete.clear();
  this->loads.clear();
  this->inherited.reset();
  this->pending_probes = congestion_window();
  this->pending_orders = congestion_window();
  this->server_counts.clear();
  this->summarized.clear();
  this->demand.reset();
  this->allocations.clear();
  this->reassigned_groups.clear();
  this->lacking_since.clear();
}

void group_controller::suspect(const std::string& server, absl::Time now) {
  if (!this->active()) return;
  const auto found = this->tracks.find(server);
  if (found == this->tracks.end()) return;
  found->second.suspected = true;
  if (found->second.unresponsive) return;
  found->second.probe_at = std::min(found->second.probe_at, now);
}

void group_controller::on_order_result(const group_order& order,
                                       order_result result, absl::Time now) {
  const bool answered = result != order_result::unknown;
  this->pending_orders.on_ended(order.server, answered, this->loop_delay, now);
  const auto found = this->tracks.find(order.server);
  if (found == this->tracks.end()) return;
  server_track& track = found->second;
  if (!track.pending || !(*track.pending == order)) return;
  track.pending.reset();
  if (result == order_result::begun || result == order_result::already_done) {
    this->on_accepted(track, order, result, now);
    return;
  }
  track.orders_started.reset();
  if (order.kind == group_order_kind::stage) track.staging_until = now;
  const bool server_missing = result == order_result::unreachable ||
                              result == order_result::other_server;
  const bool probe_now = result == order_result::unknown || server_missing;
  track.probe_at =
      now + (probe_now ? absl::ZeroDuration() : refused_probe_delay);
}

void group_controller::on_accepted(server_track& track,
                                   const group_order& order,
                                   order_result result, absl::Time now) {
  // A leave completes at once and is answered as done, but is counted.
  const bool counted =
      result == order_result::begun || order.kind == group_order_kind::leave;
  if (counted) track.orders_started = order.expected_orders + 1;
  if (order.kind == group_order_kind::stage) return;
  if (order.kind == group_order_kind::join) track.last_model = order.model;
  if (order.kind == group_order_kind::leave &&
      track.leaving_group == order.group) {
    this->stopped_groups.insert(order.group);
  }
  track.assumed = membership_after(order);
  track.assumed_until = now + this->options.assumption_ttl;
}

void group_controller::on_report(const std::string& server,
                                 const std::optional<server_report>& report,
                                 absl::Time now) {
  // An answer to a probe of an earlier term is just as valid.
  this->pending_probes.on_ended(server, report.has_value(), this->loop_delay,
                                now);
  const auto found = this->tracks.find(server);
  if (found == this->tracks.end()) return;
  server_track& track = found->second;
  if (!report) {
    track.unresponsive = true;
    track.silent_since = absl::InfiniteFuture();
    track.probe_at = now + this->options.probe_retry_interval;
    return;
  }
  if (report->incarnation != 0 && report->incarnation < track.incarnation) {
    // The report was sent before the server restarted.
    track.probe_at = now;
    return;
  }
  if (report->incarnation > track.incarnation)
    this->reset_after_restart(track, *report, now);
  track.unresponsive = false;
  track.suspected = false;
  track.silent_since = absl::InfiniteFuture();
  track.probe_at = absl::InfiniteFuture();
  if (!track.pending) track.orders_started = report->orders_started;
  track.order_running = report->order_running;
  // Probed again, since a load that fails does not change the entry.
  if (track.order_running) track.probe_at = now + busy_probe_delay;
}

void group_controller::on_silence(const std::string& server, absl::Time now) {
  this->pending_probes.on_ended(server, false, this->loop_delay, now);
  const auto found = this->tracks.find(server);
  if (found == this->tracks.end()) return;
  server_track& track = found->second;
  const bool first = track.silent_since == absl::InfiniteFuture();
  track.silent_since = std::min(track.silent_since, now);
  const bool pauses = !track.unresponsive &&
                      now - track.silent_since < this->options.pause_tolerance;
  track.unresponsive = !pauses;
  // A kept connection may have lost its server: a new one shows that at once.
  const absl::Duration pause = first    ? absl::ZeroDuration()
                               : pauses ? refused_probe_delay
                                        : this->options.probe_retry_interval;
  track.probe_at = now + pause;
}

void group_controller::on_probe_failed(const std::string& server,
                                       absl::Time now) {
  this->pending_probes.on_ended(server, false, this->loop_delay, now);
  const auto found = this->tracks.find(server);
  if (found != this->tracks.end())
    found->second.probe_at = now + refused_probe_delay;
}

void group_controller::reset_after_restart(server_track& track,
                                           const server_report& report,
                                           absl::Time now) {
  const bool was_known = track.incarnation != 0;
  if (was_known) track = server_track();
  track.incarnation = report.incarnation;
  if (!was_known) return;
  // Its entry may still be that of the earlier incarnation.
  track.assumed = report.membership;
  track.assumed_until = now + this->options.assumption_ttl;
}

std::vector<std::string> group_controller::unresponsive_servers() const {
  std::vector<std::string> out;
  for (const auto& [id, track] : this->tracks) {
    if (track.unresponsive) out.push_back(id);
  }
  return out;
}

bool group_controller::usable(const server_entry& entry) const {
  const auto found = this->tracks.find(entry.id);
  return !entry.draining && found != this->tracks.end() &&
         !found->second.unresponsive;
}

bool group_controller::is_lost(const server_track& track,
                               absl::Time now) const {
  if (!track.unresponsive) return false;
  const bool leaving = track.leaving_since != absl::InfiniteFuture() &&
                       now - track.leaving_since < max_leaving_time;
  if (leaving && !track.suspected) return false;
  const bool silent = track.silent_since != absl::InfiniteFuture();
  return !silent || now - track.silent_since >= this->options.stall_time;
}

bool group_controller::lacks_answers(const service_state& s,
                                     const group_view& group) const {
  return std::any_of(group.members.begin(), group.members.end(),
                     [&](const auto& id) {
                       return s.has_server(id) && s.track(id).unresponsive;
                     });
}

bool group_controller::in_closed_hall(const service_state& s,
                                      const group_view& group) const {
  return this->in_closed_hall(s, group.members);
}

bool group_controller::in_closed_hall(
    const service_state& s, const std::vector<std::string>& members) const {
  if (this->closed_halls.empty()) return false;
  return std::any_of(members.begin(), members.end(), [&](const auto& id) {
    return s.has_server(id) && this->in_closed_hall(s.entry(id));
  });
}

void group_controller::sync_directory(const server_directory& directory,
                                      absl::Time now) {
  for (const auto& [id, server] : directory.servers()) {
    if (server.entry.domain.empty()) continue;
    server_track& track = this->tracks[id];
    // A later incarnation has executed no orders and is in no group.
    if (server.entry.incarnation > track.incarnation) {
      if (track.incarnation != 0) track = server_track();
      track.incarnation = server.entry.incarnation;
    }
    if (track.assumed && (now >= track.assumed_until ||
                          confirms(server.entry.membership, *track.assumed))) {
      track.assumed.reset();
    }
    // A previous holder may have started it: after it leaves, its engine still
    // holds those weights, whatever is staged on its host.
    if (runs_model(server.entry.membership.phase)) {
      track.last_model = group_model(server.entry.membership.group);
    }
    if (server.entry.draining) {
      track.leaving_since = std::min(track.leaving_since, now);
    }
    // The load may have ended well before its upper bound.
    if (staged_on(server.entry, track.staging_model))
      track.staging_until = std::min(track.staging_until, now);
  }
  std::erase_if(this->tracks, [&](const auto& item) {
    return directory.servers().count(item.first) == 0;
  });
}

void group_controller::send_probes(group_actions& out, absl::Time now) {
  const auto probe_where = [&](const auto& needed) {
    for (auto& [id, track] : this->tracks) {
      if (!this->pending_probes.has_capacity()) return;
      if (this->pending_probes.is_outstanding(id) || !needed(track)) continue;
      this->pending_probes.on_sent(id);
      out.report_requests.push_back(id);
    }
  };
  // Servers whose state is uncertain are probed before those that were never
  // probed.
  probe_where([&](const server_track& t) { return now >= t.probe_at; });
  probe_where([&](const server_track& t) {
    return !t.orders_started && !t.pending &&
           t.probe_at == absl::InfiniteFuture();
  });
}

group_controller::service_state group_controller::build_service_state(
    const server_directory& directory, const backend_service& service) const {
  service_state s;
  s.service = service.name;
  s.engine = &*service.engine;
  s.index.reserve(directory.servers().size());
  for (const auto& [id, server] : directory.servers()) {
    if (server.entry.service != service.name) continue;
    const auto found = this->tracks.find(id);
    if (found == this->tracks.end()) continue;
    const server_track& track = found->second;
    const auto at = s.servers.emplace_hint(s.servers.end(), id, server);
    server_entry& entry = at->second.entry;
    if (track.assumed) entry.membership = *track.assumed;
    if (!entry.draining && !track.unresponsive &&
        !this->in_closed_hall(entry)) {
      s.usable_hosts[entry.domain]++;
    }
    s.index[at->first] = {&at->second, &track};
  }
  s.groups = collect_groups(s.servers, service.name, group_sizes(*s.engine));
  return s;
}

bool group_controller::send(const server_entry& entry, group_order order,
                            group_actions& out) {
  server_track& track = this->tracks[entry.id];
  if (track.pending || !track.orders_started) return false;
  if (!this->pending_orders.has_capacity()) return false;
  this->pending_orders.on_sent(entry.id);
  order.server = entry.id;
  order.address = entry.address;
  order.expected_orders = *track.orders_started;
  order.fence = this->fence;
  track.pending = order;
  out.orders.push_back(std::move(order));
  return true;
}

group_controller::models_by_server group_controller::planned_models() const {
  models_by_server by_server;
  for (const auto& [name, plan] : this->plans) {
    for (const auto& id : plan.members) by_server[id] = plan.model;
  }
  return by_server;
}

bool group_controller::is_isolated(const server_directory& directory) const {
  if (this->unresponsive_servers().size() <= max_ignored_unresponsive)
    return false;
  // If a data hall is isolated, all of its servers are unresponsive although
  // the holder itself is not, so halls are counted rather than servers.
  std::map<std::string, hall_count> halls;
  for (const auto& [id, track] : this->tracks) {
    const server_entry* entry = directory.find(id);
    if (entry == nullptr) continue;
    hall_count& hall = halls[entry->hall];
    hall.servers++;
    if (track.unresponsive) hall.unresponsive++;
  }
  const auto isolated_halls =
      std::count_if(halls.begin(), halls.end(), [&](const auto& hall) {
        const auto& [servers, unresponsive] = hall.second;
        return unresponsive > this->options.isolation_threshold * servers;
      });
  return 2 * static_cast<size_t>(isolated_halls) > halls.size();
}

group_actions group_controller::step(const server_directory& directory,
                                     const routing_config& config,
                                     bool requests_seen, absl::Time now) {
  group_actions out;
  if (!this->active()) return out;
  this->sync_directory(directory, now);
  this->send_probes(out, now);
  if (this->is_isolated(directory)) {
    out.events.push_back({"controller_cut_off",
                          absl::StrCat(this->unresponsive_servers().size()),
                          "too many servers do not answer"});
    out.step_down = true;
    return out;
  }
  for (const auto& service : config.services) {
    if (!service.engine) continue;
    this->reconcile_service(directory, service, requests_seen, now, out);
  }
  return out;
}

void group_controller::reconcile_service(const server_directory& directory,
                                         const backend_service& service,
                                         bool requests_seen, absl::Time now,
                                         group_actions& out) {
  service_state s = this->build_service_state(directory, service);
  std::set<std::string> existing;
  for (const auto& group : s.groups) {
    existing.insert(group.name);
    if (this->warmups.count(group.name) != 0) {
      this->end_warmup(s, group, out);
      continue;
    }
    this->reconcile_group(s, group, now, out);
  }
  for (const auto& [name, plan] : this->plans) {
    if (existing.count(name) != 0 || plan.deadline <= now) continue;
    if (plan.service == s.service && !this->in_closed_hall(s, plan.members)) {
      s.group_count[plan.model]++;
    }
  }
  std::erase_if(this->plans, [&](const auto& item) {
    return item.second.deadline <= now && existing.count(item.first) == 0;
  });
  if (requests_seen) this->update_allocation(s, now, out);
  s.spare_groups = this->spare_groups(s);
  if (requests_seen || this->server_count_stable(s, now)) {
    this->form_groups(s, requests_seen, now, out);
    if (requests_seen) this->reassign_hosts(s, now, out);
    this->form_spare_groups(s, now, out);
  }
  this->send_joins(s, now, out);
  if (requests_seen || this->all_models_filled(s)) {
    this->stage_spares(s, requests_seen, now, out);
  }
  this->warm_spares(s, requests_seen, now, out);
  this->clear_stale_memberships(s, out);
  this->summarize(s, now, out);
}

void group_controller::summarize(const service_state& s, absl::Time now,
                                 group_actions& out) {
  const auto [last, first] = this->summarized.emplace(s.service, now);
  if (!first && now - last->second < summary_period) return;
  last->second = now;
  std::map<std::string, model_summary> models;
  for (const auto& model : s.engine->models) {
    model_summary& m = models[model.name];
    m.model = model.name;
    m.wanted = static_cast<int>(this->wanted_groups(s, model));
    const auto count = s.group_count.find(model.name);
    if (count != s.group_count.end()) m.standing = count->second;
  }
  for (const auto& group : s.groups) {
    if (!group.serving() || this->in_closed_hall(s, group)) continue;
    models[group.model].serving++;
  }
  for (const auto& [domain, hosts] : this->free_hosts(s)) {
    for (const auto& id : hosts) {
      const server_track& track = s.track(id);
      if (now < track.staging_until) {
        models[track.staging_model].loading++;
        continue;
      }
      for (const auto& staged : s.entry(id).staged) models[staged].idle++;
    }
  }
  for (const auto& [name, m] : models) out.summaries.push_back(m);
}

}  // namespace spokesail
