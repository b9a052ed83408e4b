#include "spokesail/membership.h"

#include <algorithm>
#include <set>

#include "spokesail/hash.h"

namespace spokesail {
namespace {

/// Assumed bound of the drift between two clocks, in seconds per second.
constexpr double max_clock_drift = 0.0002;

/// A member that has sent nothing for this long gets no more heartbeats.
constexpr absl::Duration forget_after = absl::Minutes(10);

}  // namespace

void clock_offset::learn(absl::Time sent, absl::Time peer) {
  absl::Duration widened = this->offset;
  if (this->known()) {
    widened -= max_clock_drift * (sent - this->last_learned);
  }
  this->offset = std::max(widened, sent - peer);
  this->last_learned = sent;
}

absl::Time clock_offset::local(absl::Time peer) const {
  if (!this->known()) return absl::InfinitePast();
  return peer + this->offset;
}

void membership::add_address(const std::string& hall,
                             const std::string& peer_address) {
  if (peer_address == this->self.peer_address) return;
  this->addresses.try_emplace(peer_address, hall);
}

member& membership::update_member(const member_info& info, uint64_t boot) {
  member& m = this->members[info.name];
  if (m.boot != boot) {
    m = member{};
    m.boot = boot;
  }
  // Short messages carry only the name.
  if (!info.peer_address.empty()) {
    m.info = info;
    this->addresses[info.peer_address] = info.hall;
  }
  return m;
}

bool membership::sender_known(const member_info& from, uint64_t boot) const {
  if (!from.peer_address.empty()) return true;
  const auto it = this->members.find(from.name);
  return it != this->members.end() && it->second.boot == boot;
}

bool membership::on_heartbeat(const heartbeat& b) {
  if (b.from.name == this->self.name || !this->sender_known(b.from, b.boot)) {
    return false;
  }
  member& m = this->update_member(b.from, b.boot);
  if (b.sequence <= m.sequence) return false;
  m.sequence = b.sequence;
  m.last_message_at = std::max(m.last_message_at, m.clock.local(b.sent));
  m.revision = b.revision;
  m.view_digest = b.view_digest;
  m.ready = b.ready;
  m.stopping = b.stopping;
  m.open_models = b.open_models;
  return true;
}

void membership::on_ack(const heartbeat_ack& ack, absl::Time sent) {
  if (ack.from.name == this->self.name) return;
  if (!this->sender_known(ack.from, ack.boot)) {
    // The peer has restarted and knows nothing: the next heartbeat carries
    // everything.
    const auto it = this->members.find(ack.from.name);
    if (it != this->members.end()) it->second.acked_epoch = -1;
    return;
  }
  member& m = this->update_member(ack.from, ack.boot);
  m.last_message_at = std::max(m.last_message_at, sent);
  m.clock.learn(sent, ack.taken);
  m.acked_epoch = ack.observations_epoch;
  m.revision = std::max(m.revision, ack.revision);
  m.ready = ack.ready;
  m.stopping = ack.stopping;
  m.open_models = ack.open_models;
}

bool membership::alive(const member& m, absl::Time now) const {
  return now - m.last_message_at <= this->window;
}

std::vector<std::string> membership::alive_in_hall(absl::Time now) const {
  std::vector<std::string> names = {this->self.name};
  for (const auto& [name, m] : this->members) {
    if (m.info.hall != this->self.hall || m.stopping) continue;
    if (this->alive(m, now)) names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<const member*> membership::alive_elsewhere(absl::Time now) const {
  std::vector<const member*> found;
  for (const auto& [name, m] : this->members) {
    if (m.info.hall == this->self.hall || m.stopping) continue;
    if (this->alive(m, now)) found.push_back(&m);
  }
  return found;
}

std::vector<std::string> membership::heartbeat_addresses(absl::Time now) const {
  std::vector<std::string> out;
  std::map<std::string, std::vector<std::string>> other_halls;
  for (const auto& [address, hall] : this->addresses) {
    const member* m = this->find_address(address);
    const bool forgotten = m && now - m->last_message_at > forget_after &&
                           m->last_message_at != absl::InfinitePast();
    if (forgotten) continue;
    if (hall == this->self.hall) {
      out.push_back(address);
    } else {
      other_halls[hall].push_back(address);
    }
  }
  for (const auto& [hall, addresses] : other_halls) {
    std::vector<std::string> alive_addresses;
    for (const auto& address : addresses) {
      const member* m = this->find_address(address);
      if (m && this->alive(*m, now) && !m->stopping) {
        alive_addresses.push_back(address);
      }
    }
    // If no node of the hall is known to be alive, its addresses are tried one
    // after the other.
    const auto rotation = std::to_string(absl::ToUnixSeconds(now) / 2);
    const bool none = alive_addresses.empty();
    const auto key = none ? this->self.name + rotation : this->self.name;
    for (auto& a : rendezvous(key, none ? addresses : alive_addresses, 1)) {
      out.push_back(a);
    }
  }
  return out;
}

member* membership::find(const std::string& name) {
  const auto it = this->members.find(name);
  return it == this->members.end() ? nullptr : &it->second;
}

const member* membership::find_address(const std::string& peer_address) const {
  for (const auto& [name, m] : this->members) {
    if (m.info.peer_address == peer_address) return &m;
  }
  return nullptr;
}

}  // namespace spokesail
