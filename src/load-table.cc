// Sums of requests in flight.
#include "spokesail/load-table.h"

#include <algorithm>

namespace spokesail {

void load_table::begin(const std::string& place, double prompt_tokens) {
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

void load_table::take_peer(const std::string& peer,
                           std::vector<place_load> loads, absl::Time now) {
  peer_load& entry = this->peers[peer];
  entry.at = now;
  entry.places.clear();
  for (auto& load : loads) {
    std::string place = load.place;
    entry.places[std::move(place)] = std::move(load);
  }
}

place_load load_table::total(const std::string& place, absl::Time now) const {
  place_load sum;
  sum.place = place;
  const auto own = this->mine.find(place);
  if (own != this->mine.end()) sum = own->second;
  for (const auto& [name, peer] : this->peers) {
    if (now - peer.at > peer_time) continue;
    const auto found = peer.places.find(place);
    if (found == peer.places.end()) continue;
    sum.running += found->second.running;
    sum.unread_tokens += found->second.unread_tokens;
  }
  return sum;
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
