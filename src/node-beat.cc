// Heartbeats between entry hosts, probes of backend servers, and their results.
#include <algorithm>

#include "detail/node-step.h"
#include "spokesail/hash.h"

namespace spokesail::detail {

std::vector<std::string> node_step::watchers() const {
  return rendezvous(this->s.options.self.hall + "/watchers",
                    this->s.members.alive_in_hall(this->now),
                    this->s.options.watchers);
}

void node_step::assign_probes() {
  const auto alive = this->s.members.alive_in_hall(this->now);
  const std::string& self = this->s.options.self.name;
  std::map<std::string, probe_slot> slots;
  for (const auto& [name, info] : this->s.hosts) {
    const auto probers = rendezvous(name, alive, this->s.options.probers);
    if (std::find(probers.begin(), probers.end(), self) == probers.end()) {
      continue;
    }
    const auto known = this->s.probes.find(name);
    const bool same =
        known != this->s.probes.end() && known->second.address == info.address;
    slots[name] = same ? known->second : probe_slot{info.address};
  }
  for (const auto& [name, slot] : this->s.probes) {
    if (slots.count(name) != 0) continue;
    this->s.presence.remove_observation(self, name);
    this->s.observations_epoch++;
  }
  this->s.probes = std::move(slots);
}

void node_step::send_probes() {
  for (auto& [name, slot] : this->s.probes) {
    if (slot.in_flight) continue;
    if (this->now < slot.sent + this->s.options.probe_period) continue;
    slot.sent = this->now;
    slot.in_flight = true;
    const bool service = !this->s.hosts[name].service.empty();
    this->emit(probe_effect{name, slot.address, service});
  }
}

void node_step::on(const probe_event& e) {
  const auto it = this->s.probes.find(e.host);
  if (it == this->s.probes.end() || it->second.address != e.address) return;
  it->second.in_flight = false;
  const std::string& self = this->s.options.self.name;
  observation observed;
  observed.reachable = e.reachable;
  observed.report = e.report;
  observed.load = e.load;
  observed.at = e.sent;
  if (e.reachable) {
    it->second.answered = e.sent;
  } else if (const auto previous =
                 this->s.presence.observation_of(self, e.host)) {
    observed.report = previous->report;
  }
  if (!this->s.presence.observe(self, e.host, observed)) return;
  this->s.observations_epoch++;
  this->s.heartbeat_due = true;
  if (!e.reachable) this->log("host_unreachable", {{"host", e.host}});
  this->update_open_groups();
  this->send_heartbeats();
}

absl::Time node_step::probed_at() const {
  absl::Time oldest = this->now;
  for (const auto& [name, slot] : this->s.probes) {
    const auto own =
        this->s.presence.observation_of(this->s.options.self.name, name);
    if (own && own->reachable) oldest = std::min(oldest, slot.answered);
  }
  return oldest;
}

std::vector<std::string> node_step::open_targets() const {
  std::vector<std::string> targets;
  if (!this->s.config || this->s.stopping) return targets;
  for (const auto& model : this->s.config->models) {
    if (!this->open_places(target_kind::model, model.name).empty()) {
      targets.push_back(model.name);
    }
  }
  for (const auto& service : this->s.config->services) {
    if (!this->open_places(target_kind::service, service.name).empty()) {
      targets.push_back(service.name);
    }
  }
  return targets;
}

heartbeat node_step::make_heartbeat() {
  heartbeat b;
  b.from = this->s.options.self;
  b.boot = this->s.options.boot;
  b.sequence = ++this->s.heartbeat_sequence;
  b.sent = this->now;
  b.revision = this->s.revision;
  b.view_digest = this->s.view.digest();
  b.ready = this->ready();
  b.stopping = this->s.stopping;
  b.observations_epoch = this->s.observations_epoch;
  b.probed_at = this->probed_at();
  b.open_models = this->open_targets();
  for (const auto& [name, slot] : this->s.probes) {
    const auto own =
        this->s.presence.observation_of(this->s.options.self.name, name);
    if (!own) continue;
    const absl::Time at = own->reachable ? own->at : own->unreachable_since;
    b.observations.push_back({name, own->reachable, at, own->report});
    const bool has_load = own->load.running > 0 || own->load.queued > 0;
    if (has_load) b.loads.push_back({name, own->load});
  }
  return b;
}

void node_step::send_heartbeats() {
  this->s.heartbeat_due = false;
  heartbeat full = this->make_heartbeat();
  full.has_observations = true;
  heartbeat remote = full;
  remote.has_observations = false;
  remote.observations.clear();
  full.open_models.clear();
  heartbeat brief = remote;
  brief.open_models.clear();
  brief.from = {full.from.name, "", "", ""};
  for (const auto& address : this->s.members.heartbeat_addresses(this->now)) {
    const member* m = this->s.members.find_address(address);
    const bool is_local = !m || m->info.hall == this->s.options.self.hall;
    const bool up_to_date = m && m->acked_epoch == full.observations_epoch;
    if (!is_local) {
      this->emit(heartbeat_effect{address, remote});
    } else {
      this->emit(heartbeat_effect{address, up_to_date ? brief : full});
    }
  }
}

void node_step::apply_host_observations(const heartbeat& b, member& m) {
  if (b.has_observations) {
    // The observations replace all earlier ones of this prober, including those
    // of an earlier start of its process.
    this->s.presence.remove_prober(b.from.name);
    bool all_applied = m.clock.known();
    for (const auto& reported : b.observations) {
      all_applied &= this->s.hosts.count(reported.host) != 0;
      if (!all_applied) break;
      observation observed;
      observed.reachable = reported.reachable;
      observed.report = reported.report;
      observed.at = m.clock.local(reported.at);
      this->s.presence.observe(b.from.name, reported.host, observed);
    }
    // If the node does not know a host or the peer's clock offset yet, it
    // cannot apply the observations; epoch -1 makes the peer send them again.
    m.observations_epoch = all_applied ? b.observations_epoch : -1;
  }
  if (m.observations_epoch == b.observations_epoch) {
    std::map<std::string, host_load> loads;
    for (const auto& load : b.loads) loads[load.host] = load.load;
    this->s.presence.set_loads(b.from.name, loads);
    this->s.presence.refresh(b.from.name, m.clock.local(b.probed_at));
  }
  this->update_open_groups();
}

void node_step::on(const heartbeat_event& e) {
  const heartbeat& b = e.content;
  const bool accepted = this->s.members.on_heartbeat(b);
  member* m = this->s.members.find(b.from.name);
  const bool is_local = m && m->info.hall == this->s.options.self.hall;
  if (accepted && is_local) this->apply_host_observations(b, *m);
  heartbeat_ack ack;
  ack.from = this->s.options.self;
  if (is_local) ack.from = {ack.from.name, "", "", ""};
  ack.boot = this->s.options.boot;
  ack.taken = this->now;
  ack.observations_epoch = accepted && is_local ? m->observations_epoch : -1;
  ack.revision = this->s.revision;
  ack.ready = this->ready();
  ack.stopping = this->s.stopping;
  if (!is_local) ack.open_models = this->open_targets();
  this->emit(heartbeat_ack_effect{e.token, std::move(ack)});
}

void node_step::on(const heartbeat_ack_event& e) {
  this->s.members.on_ack(e.content, e.sent);
}

void node_step::update_lost_hosts() {
  for (const auto& [name, info] : this->s.hosts) {
    const bool present =
        this->s.presence
            .present(name, this->now, this->s.options.presence_window)
            .has_value();
    if (present) {
      this->s.lost_since.erase(name);
    } else {
      this->s.lost_since.try_emplace(name, this->now);
    }
  }
}

void node_step::update_open_groups() {
  std::map<std::string, bool> open_now;
  for (const auto& g : this->s.groups.groups) {
    const bool open = group_open(this->s, g, this->now);
    open_now[g.name] = open;
    const auto previous = this->s.was_open.find(g.name);
    const bool previously_open =
        previous != this->s.was_open.end() && previous->second;
    if (open == previously_open) continue;
    this->log(open ? "group_open" : "group_closed",
              {{"group", g.name},
               {"incarnation", std::to_string(g.incarnation)},
               {"phase", phase_name(g.phase)}});
  }
  this->s.was_open = std::move(open_now);
}

void node_step::tick_members() {
  this->assign_probes();
  this->send_probes();
  this->update_lost_hosts();
  this->update_open_groups();
  if (this->now < this->s.next_heartbeat && !this->s.heartbeat_due) return;
  // Jitter of 10% keeps the nodes from sending heartbeats at the same time.
  const double jitter = 0.9 + 0.2 * this->s.random.unit();
  this->s.next_heartbeat =
      this->now + jitter * this->s.options.heartbeat_period;
  this->send_heartbeats();
}

}  // namespace spokesail::detail
