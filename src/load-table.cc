// Sums of requests in flight.
#include "spokesail/load-table.h"

#include <algorithm>
#include <map>

namespace spokesail {

void load_table::begin(const std::string& place, double prompt_tokens) {
  this->begun_count++;
  place_load& load = this->mine[place];
  load.place = place;
  load.running++;
  load.unread_tokens += prompt_tokens;
}

void load_table::read(const std::string& place, double prompt_tokens) {
  const auto found = this->mine.find(place);
  if (found == this->mine.end()) return;
  found->second.unread_tokens =
      std::max(0.0, found->second.unread_tokens - prompt_tokens);
}

void load_table::end(const std::string& place) {
  const auto found = this->mine.find(place);
  if (found == this->mine.end()) return;
  if (--found->second.running <= 0) this->mine.erase(found);
}

void load_table::count(const peer_load& peer, int sign) {
  sums& into = peer.far ? this->far_sums : this->near_sums;
  for (const auto& load : peer.places) {
    place_load& sum = into[load.place];
    sum.place = load.place;
    sum.running += sign * load.running;
    sum.unread_tokens =
        std::max(0.0, sum.unread_tokens + sign * load.unread_tokens);
    if (sum.running <= 0) into.erase(load.place);
  }
}

void load_table::take_peer(const std::string& peer,
                           std::vector<place_load> loads, absl::Time now,
                           bool far) {
  // A place without a request has nothing unread either.
  std::erase_if(loads, [](const auto& load) { return load.running <= 0; });
  this->drop_peer(peer);
  peer_load& entry = this->peers[peer];
  entry = {std::move(loads), now, far};
  this->count(entry, 1);
  this->oldest = std::min(this->oldest, now);
}

void load_table::drop_peer(const std::string& peer) {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) return;
  this->count(found->second, -1);
  this->peers.erase(found);
}

void load_table::expire(absl::Time now) {
  if (now - this->oldest <= peer_time) return;
  std::vector<std::string> old;
  this->oldest = absl::InfiniteFuture();
  for (const auto& [name, peer] : this->peers) {
    if (now - peer.at > peer_time) {
      old.push_back(name);
    } else {
      this->oldest = std::min(this->oldest, peer.at);
    }
  }
  for (const auto& name : old) this->drop_peer(name);
}

place_load load_table::total(const std::string& place, absl::Time now) {
  this->expire(now);
  place_load sum;
  sum.place = place;
  for (const sums* part : {&this->mine, &this->near_sums, &this->far_sums}) {
    const auto found = part->find(place);
    if (found == part->end()) continue;
    sum.running += found->second.running;
    sum.unread_tokens += found->second.unread_tokens;
  }
  return sum;
}

std::vector<place_load> load_table::hall_sum(bool far, absl::Time now) {
  this->expire(now);
  std::map<std::string, place_load> all;
  const auto add = [&](const sums& part) {
    for (const auto& [place, load] : part) {
      place_load& sum = all[place];
      sum.place = place;
      sum.running += load.running;
      sum.unread_tokens += load.unread_tokens;
    }
  };
  if (far) {
    add(this->far_sums);
  } else {
    add(this->mine);
    add(this->near_sums);
  }
  std::vector<place_load> out;
  out.reserve(all.size());
  for (auto& [place, load] : all) out.push_back(std::move(load));
  return out;
}

std::vector<place_load> load_table::own() const {
  std::vector<place_load> out;
  for (const auto& [place, load] : this->mine) out.push_back(load);
  std::sort(out.begin(), out.end(),
            [](const auto& a, const auto& b) { return a.place < b.place; });
  return out;
}

int load_table::own_running(const std::string& place) const {
  const auto found = this->mine.find(place);
  return found == this->mine.end() ? 0 : found->second.running;
}

}  // namespace spokesail
