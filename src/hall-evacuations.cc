// Merging of evacuation snapshots by revision, and the halls that they close.
#include "spokesail/hall-evacuations.h"

#include <algorithm>
#include <iterator>

namespace spokesail {
namespace {

using names = std::set<std::string>;

names difference(const names& all, const names& removed) {
  names out;
  std::set_difference(all.begin(), all.end(), removed.begin(), removed.end(),
                      std::inserter(out, out.end()));
  return out;
}

}  // namespace

evacuation_change hall_evacuations::apply(const evacuation_snapshot& received,
                                          absl::Time as_of, absl::Time now) {
  // An older snapshot may extend this time too: the later revision known here
  // contains everything that it confirms.
  this->last_verified = std::max(this->last_verified, as_of - received.age);
  if (this->learned && received.revision <= this->revision) return {};
  evacuation_change change = {difference(received.halls, this->halls),
                              difference(this->halls, received.halls)};
  this->learned = true;
  this->revision = received.revision;
  this->halls = received.halls;
  for (const auto& hall : change.begun) this->ended_at.erase(hall);
  for (const auto& hall : change.ended) this->ended_at[hall] = now;
  return change;
}

evacuation_snapshot hall_evacuations::snapshot(absl::Time now) const {
  return {this->revision, this->age(now), this->halls};
}

bool hall_evacuations::closed(const std::string& hall,
                              absl::Time servers_verified_at) const {
  if (this->halls.count(hall) != 0) return true;
  const auto ended = this->ended_at.find(hall);
  return ended != this->ended_at.end() && servers_verified_at < ended->second;
}

std::set<std::string> hall_evacuations::closed_halls(
    absl::Time servers_verified_at) const {
  std::set<std::string> out = this->halls;
  for (const auto& [hall, at] : this->ended_at) {
    if (servers_verified_at < at) out.insert(hall);
  }
  return out;
}

}  // namespace spokesail
