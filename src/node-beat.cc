// Beats among entry hosts, probes of backend servers, and what they tell.
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
    this->s.presence.withdraw(self, name);
    this->s.words_epoch++;
  }
  this->s.probes = std::move(slots);
}

void node_step::send_probes() {
  for (auto& [name, slot] : this->s.probes) {
    if (slot.out) continue;
    if (this->now < slot.sent + this->s.options.probe_period) continue;
    slot.sent = this->now;
    slot.out = true;
    const bool service = !this->s.hosts[name].service.empty();
    this->emit(probe_effect{name, slot.address, service});
  }
}

void node_step::on(const probe_event& e) {
  const auto it = this->s.probes.find(e.host);
  if (it == this->s.probes.end() || it->second.address != e.address) return;
  it->second.out = false;
  const std::string& self = this->s.options.self.name;
  observation seen;
  seen.reachable = e.reachable;
  seen.report = e.report;
  seen.load = e.load;
  seen.at = e.sent;
  if (e.reachable) {
    it->second.answered = e.sent;
  } else if (const auto before = this->s.presence.word(self, e.host)) {
    seen.report = before->report;
  }
  if (!this->s.presence.observe(self, e.host, seen)) return;
  this->s.words_epoch++;
  this->s.beat_now = true;
  if (!e.reachable) this->log("host_unreachable", {{"host", e.host}});
  this->note_open_groups();
  this->send_beats();
}

absl::Time node_step::probed_at() const {
  absl::Time oldest = this->now;
  for (const auto& [name, slot] : this->s.probes) {
    const auto word = this->s.presence.word(this->s.options.self.name, name);
    if (word && word->reachable) oldest = std::min(oldest, slot.answered);
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

beat node_step::make_beat() {
  beat b;
  b.from = this->s.options.self;
  b.boot = this->s.options.boot;
  b.sequence = ++this->s.beat_sequence;
  b.sent = this->now;
  b.revision = this->s.revision;
  b.view_digest = this->s.view.digest();
  b.ready = this->ready();
  b.stopping = this->s.stopping;
  b.words_epoch = this->s.words_epoch;
  b.probed_at = this->probed_at();
  b.open_models = this->open_targets();
  for (const auto& [name, slot] : this->s.probes) {
    const auto word = this->s.presence.word(this->s.options.self.name, name);
    if (!word) continue;
    const absl::Time at = word->reachable ? word->at : word->unreachable_since;
    b.words.push_back({name, word->reachable, at, word->report});
    const bool loaded = word->load.running > 0 || word->load.queued > 0;
    if (loaded) b.loads.push_back({name, word->load});
  }
  return b;
}

void node_step::send_beats() {
  this->s.beat_now = false;
  beat full = this->make_beat();
  full.has_words = true;
  beat far = full;
  far.has_words = false;
  far.words.clear();
  full.open_models.clear();
  beat brief = far;
  brief.open_models.clear();
  brief.from = {full.from.name, "", "", ""};
  for (const auto& address : this->s.members.beat_addresses(this->now)) {
    const member* m = this->s.members.find_address(address);
    const bool near = !m || m->info.hall == this->s.options.self.hall;
    const bool knows = m && m->acked_epoch == full.words_epoch;
    if (!near) {
      this->emit(beat_effect{address, far});
    } else {
      this->emit(beat_effect{address, knows ? brief : full});
    }
  }
}

void node_step::take_words(const beat& b, member& m) {
  if (b.has_words) {
    // The words replace all that the prober said before, also what an earlier
    // start of its process said.
    this->s.presence.forget_prober(b.from.name);
    bool all_taken = m.clock.known();
    for (const auto& word : b.words) {
      all_taken &= this->s.hosts.count(word.host) != 0;
      if (!all_taken) break;
      observation seen;
      seen.reachable = word.reachable;
      seen.report = word.report;
      seen.at = m.clock.local(word.at);
      this->s.presence.observe(b.from.name, word.host, seen);
    }
    // What could not be taken, for a host or a clock that this node has yet
    // to hear of, is wanted again.
    m.words_epoch = all_taken ? b.words_epoch : -1;
  }
  if (m.words_epoch == b.words_epoch) {
    std::map<std::string, host_load> loads;
    for (const auto& load : b.loads) loads[load.host] = load.load;
    this->s.presence.set_loads(b.from.name, loads);
    this->s.presence.refresh(b.from.name, m.clock.local(b.probed_at));
  }
  this->note_open_groups();
}

void node_step::on(const beat_event& e) {
  const beat& b = e.content;
  const bool taken = this->s.members.on_beat(b);
  member* m = this->s.members.find(b.from.name);
  const bool near = m && m->info.hall == this->s.options.self.hall;
  if (taken && near) this->take_words(b, *m);
  beat_ack ack;
  ack.from = this->s.options.self;
  if (near) ack.from = {ack.from.name, "", "", ""};
  ack.boot = this->s.options.boot;
  ack.taken = this->now;
  ack.words_epoch = taken && near ? m->words_epoch : -1;
  ack.revision = this->s.revision;
  ack.ready = this->ready();
  ack.stopping = this->s.stopping;
  if (!near) ack.open_models = this->open_targets();
  this->emit(beat_ack_effect{e.token, std::move(ack)});
}

void node_step::on(const beat_ack_event& e) {
  this->s.members.on_ack(e.content, e.sent);
}

void node_step::note_lost() {
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

void node_step::note_open_groups() {
  std::map<std::string, bool> open_now;
  for (const auto& g : this->s.groups.groups) {
    const bool open = group_open(this->s, g, this->now);
    open_now[g.name] = open;
    const auto before = this->s.open_before.find(g.name);
    const bool was = before != this->s.open_before.end() && before->second;
    if (open == was) continue;
    this->log(open ? "group_open" : "group_closed",
              {{"group", g.name},
               {"incarnation", std::to_string(g.incarnation)},
               {"phase", phase_name(g.phase)}});
  }
  this->s.open_before = std::move(open_now);
}

void node_step::tick_members() {
  this->assign_probes();
  this->send_probes();
  this->note_lost();
  this->note_open_groups();
  if (this->now < this->s.next_beat && !this->s.beat_now) return;
  // A little jitter keeps the nodes from beating in step.
  const double stretch = 0.9 + 0.2 * this->s.random.unit();
  this->s.next_beat = this->now + stretch * this->s.options.beat_period;
  this->send_beats();
}

}  // namespace spokesail::detail
