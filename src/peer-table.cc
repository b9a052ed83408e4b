// Exchange of the lists of nodes.
#include "spokesail/peer-table.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace spokesail {

namespace {

uint64_t hash_of(const peer_info& node) {
  return stable_hash(
      absl::StrCat(node.name, " ", node.address, " ", node.cores));
}

}  // namespace

void peer_table::set_info(record& r, const peer_info& info) {
  if (r.info == info) return;
  r.info = info;
  r.hash = hash_of(info);
}

bool peer_table::alive(const record& r, absl::Time now) const {
  return now - r.last_heard < this->silence_timeout;
}

bool peer_table::reachable(const record& r, absl::Time now) const {
  const absl::Time last =
      std::max({r.last_heard, r.last_enrolled, r.last_reported});
  return !r.info.address.empty() && now - last <= forget_time;
}

bool peer_table::reachable(const std::string& name, absl::Time now) const {
  const auto found = this->peers.find(name);
  return found != this->peers.end() && this->reachable(found->second, now);
}

bool peer_table::on_message(const peer_info& sender, absl::Time now) {
  record& r = this->peers[sender.name];
  const bool was_alive = this->alive(r, now);
  set_info(r, sender);
  r.last_heard = now;
  return !was_alive;
}

void peer_table::on_enrolled(const peer_info& node, bool assume_alive,
                             absl::Time now) {
  record& r = this->peers[node.name];
  set_info(r, node);
  r.last_enrolled = now;
  if (assume_alive) r.last_heard = std::max(r.last_heard, now);
}

absl::Time peer_table::known_as_of(const std::string& hall,
                                   absl::Time now) const {
  if (hall == this->self.hall) return now;
  const auto found = this->reported_as_of.find(hall);
  return found == this->reported_as_of.end() ? absl::InfinitePast()
                                             : found->second;
}

bool peer_table::is_reported(const record& r, absl::Time now) const {
  if (r.info.address.empty()) return false;
  if (this->in_own_hall(r)) return this->alive(r, now);
  const absl::Time as_of = this->known_as_of(r.info.hall, now);
  return as_of != absl::InfinitePast() && r.last_reported >= as_of;
}

std::vector<peer_info> peer_table::known_in(const std::string& hall,
                                            absl::Time now) const {
  std::vector<peer_info> out;
  if (hall == this->self.hall) out.push_back(this->self);
  for (const auto& [name, r] : this->peers) {
    if (r.info.hall == hall && this->is_reported(r, now)) out.push_back(r.info);
  }
  return out;
}

std::map<std::string, uint64_t> peer_table::digests(absl::Time now) const {
  std::map<std::string, uint64_t> out;
  out[this->self.hall] = hash_of(this->self);
  for (const auto& [name, r] : this->peers) {
    if (this->is_reported(r, now)) out[r.info.hall] ^= r.hash;
  }
  return out;
}

peer_query peer_table::query(uint64_t nonce, bool sample,
                             absl::Time now) const {
  peer_query out{nonce, sample, {}};
  if (sample) return out;
  for (const auto& [hall, digest] : this->digests(now)) {
    const bool own = hall == this->self.hall;
    out.known.push_back(
        {hall, digest,
         own ? absl::InfiniteDuration() : now - this->known_as_of(hall, now)});
  }
  return out;
}

peer_report peer_table::sample_answer(const peer_query& query,
                                      const std::string& asker,
                                      random_stream& random,
                                      absl::Time now) const {
  const peer_info* asking = this->find(asker);
  std::map<std::string, std::vector<peer_info>> by_hall;
  by_hall[this->self.hall].push_back(this->self);
  for (const auto& [name, r] : this->peers) {
    const bool usable =
        this->in_own_hall(r) ? this->alive(r, now) : this->reachable(r, now);
    if (usable && name != asker) by_hall[r.info.hall].push_back(r.info);
  }
  peer_report out;
  out.nonce = query.nonce;
  out.sample = true;
  for (auto& [hall, nodes] : by_hall) {
    const bool of_asker = asking != nullptr && asking->hall == hall;
    const size_t count = of_asker ? sample_of_hall : sample_of_other_halls;
    hall_report report;
    report.hall = hall;
    while (report.nodes.size() < count && !nodes.empty()) {
      std::swap(nodes[random.below(nodes.size())], nodes.back());
      report.nodes.push_back(std::move(nodes.back()));
      nodes.pop_back();
    }
    out.halls.push_back(std::move(report));
  }
  return out;
}

std::vector<peer_report> peer_table::full_answer(const peer_query& query,
                                                 absl::Time now) const {
  std::vector<peer_report> out(1);
  size_t nodes_in_last = 0;
  for (const auto& [hall, digest] : this->digests(now)) {
    hall_report report;
    report.hall = hall;
    report.age = now - this->known_as_of(hall, now);
    const auto known = std::find_if(
        query.known.begin(), query.known.end(),
        [&](const auto& item) { return item.hall == report.hall; });
    if (known != query.known.end()) {
      report.unchanged = known->digest == digest;
      // The asker's knowledge is newer.
      if (!report.unchanged && known->age < report.age) continue;
    }
    out.back().halls.push_back(report);
    if (report.unchanged) continue;
    for (auto& node : this->known_in(hall, now)) {
      if (nodes_in_last == max_nodes_per_report) {
        out.emplace_back().halls.push_back(report);
        nodes_in_last = 0;
      }
      out.back().halls.back().nodes.push_back(std::move(node));
      ++nodes_in_last;
    }
  }
  for (auto& part : out) part.nonce = query.nonce;
  return out;
}

std::vector<peer_report> peer_table::answer(const peer_query& query,
                                            const std::string& asker,
                                            random_stream& random,
                                            absl::Time now) const {
  if (!query.sample) return this->full_answer(query, now);
  return {this->sample_answer(query, asker, random, now)};
}

bool peer_table::apply_sample(const hall_report& report, absl::Time as_of) {
  bool learned = false;
  for (const peer_info& node : report.nodes) {
    if (node.name == this->self.name) continue;
    const auto [at, inserted] = this->peers.try_emplace(node.name);
    if (!inserted) continue;
    learned = true;
    set_info(at->second, node);
    at->second.last_reported = as_of;
    if (this->in_own_hall(at->second)) at->second.last_heard = as_of;
  }
  return learned;
}

bool peer_table::apply_hall(const hall_report& report, absl::Time as_of) {
  absl::Time& latest =
      this->reported_as_of.try_emplace(report.hall, absl::InfinitePast())
          .first->second;
  if (report.unchanged) {
    for (auto& [name, r] : this->peers) {
      if (r.info.hall == report.hall && r.last_reported >= latest) {
        r.last_reported = std::max(r.last_reported, as_of);
      }
    }
  }
  bool learned = false;
  for (const peer_info& node : report.nodes) {
    if (node.name == this->self.name) continue;
    const auto [at, inserted] = this->peers.try_emplace(node.name);
    record& r = at->second;
    learned |= inserted;
    if (as_of < r.last_reported) continue;
    set_info(r, node);
    r.last_reported = as_of;
    // Only for a new node: otherwise nodes that ask each other would keep a
    // dead one alive.
    if (inserted && this->in_own_hall(r)) r.last_heard = as_of;
  }
  latest = std::max(latest, as_of);
  return learned;
}

bool peer_table::apply(const peer_report& report, absl::Time asked_at) {
  bool learned = false;
  for (const hall_report& hall : report.halls) {
    const absl::Time as_of = asked_at - hall.age;
    learned |= report.sample ? this->apply_sample(hall, as_of)
                             : this->apply_hall(hall, as_of);
  }
  return learned;
}

std::vector<relay_candidate> peer_table::live_local_peers(
    absl::Time now) const {
  std::vector<relay_candidate> out;
  for (const auto& [name, r] : this->peers) {
    if (this->in_own_hall(r) && this->alive(r, now)) {
      out.push_back({name, r.info.cores});
    }
  }
  return out;
}

std::vector<std::string> peer_table::reachable_peers(absl::Time now) const {
  std::vector<std::string> out;
  for (const auto& [name, r] : this->peers) {
    const bool unresponsive = this->in_own_hall(r) && !this->alive(r, now);
    if (this->reachable(r, now) && !unresponsive) out.push_back(name);
  }
  return out;
}

std::map<std::string, std::vector<relay_candidate>>
peer_table::remote_hall_peers(absl::Time now) const {
  std::map<std::string, std::vector<relay_candidate>> out;
  for (const auto& [name, r] : this->peers) {
    if (this->in_own_hall(r) || !this->reachable(r, now)) continue;
    out[r.info.hall].push_back({name, r.info.cores});
  }
  return out;
}

std::vector<std::string> peer_table::reachable_in(bool remote_halls,
                                                  absl::Time now) const {
  std::vector<std::string> out;
  for (const auto& [name, r] : this->peers) {
    if (this->in_own_hall(r) != remote_halls && this->reachable(r, now)) {
      out.push_back(name);
    }
  }
  return out;
}

int peer_table::count_reachable(bool remote_halls, absl::Time now) const {
  return static_cast<int>(std::count_if(
      this->peers.begin(), this->peers.end(), [&](const auto& item) {
        return this->in_own_hall(item.second) != remote_halls &&
               this->reachable(item.second, now);
      }));
}

int peer_table::count_live_remote(absl::Time now) const {
  return static_cast<int>(std::count_if(
      this->peers.begin(), this->peers.end(), [&](const auto& item) {
        return !this->in_own_hall(item.second) && this->alive(item.second, now);
      }));
}

std::map<std::string, std::vector<std::string>> peer_table::askable(
    absl::Time now) const {
  std::map<std::string, std::vector<std::string>> out;
  for (const auto& [name, r] : this->peers) {
    const bool usable =
        this->in_own_hall(r) ? this->alive(r, now) : this->reachable(r, now);
    if (usable) out[r.info.hall].push_back(name);
  }
  return out;
}

std::string peer_table::random_local_peer(random_stream& random,
                                          absl::Time now) const {
  const auto halls = this->askable(now);
  const auto own = halls.find(this->self.hall);
  if (own == halls.end()) return "";
  return own->second[random.below(own->second.size())];
}

std::string peer_table::next_partner(random_stream& random, absl::Time now) {
  const auto halls = this->askable(now);
  const bool local =
      std::exchange(this->local_partner_next, !this->local_partner_next);
  std::string partner = this->random_local_peer(random, now);
  if (local && !partner.empty()) return partner;
  absl::Time oldest = absl::InfiniteFuture();
  for (const auto& [hall, names] : halls) {
    const absl::Time as_of = this->known_as_of(hall, now);
    if (hall == this->self.hall || as_of >= oldest) continue;
    oldest = as_of;
    partner = names[random.below(names.size())];
  }
  return partner;
}

const peer_info* peer_table::find(const std::string& name) const {
  const auto found = this->peers.find(name);
  return found == this->peers.end() ? nullptr : &found->second.info;
}

}  // namespace spokesail
