// Servers by revision, and the groups that they form.
#include "spokesail/server-directory.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace spokesail {
namespace {

/// Removals are kept for this many revisions; a change older than that cannot
/// arrive any more, since the store's history is shorter.
constexpr int64_t remembered_revisions = 100000;

/// How long an announced end is remembered after the server was removed.
constexpr absl::Duration departure_memory = absl::Hours(1);

/// Maximum size of a group, above that of any model; higher ranks are ignored.
constexpr int max_group_size = 1024;

bool ready_phase(member_phase phase) {
  return phase == member_phase::ready || phase == member_phase::open;
}

/// A group while it is assembled from its members.
struct group_parts {
  group_view view;
  /// Phases of the members by rank.
  std::vector<member_phase> phases;
  /// Whether two servers report the same rank.
  bool disputed = false;
  /// Whether the head is about to stop. Other members stay for as long as the
  /// head has work.
  bool leaving = false;
};

void add_member(group_parts& parts, const server_entry& entry) {
  const group_membership& reported = entry.membership;
  const auto rank = static_cast<size_t>(reported.rank);
  if (parts.view.members.size() <= rank) {
    parts.view.members.resize(rank + 1);
    parts.phases.resize(rank + 1, member_phase::none);
  }
  if (!parts.view.members[rank].empty()) parts.disputed = true;
  parts.view.members[rank] = entry.id;
  parts.phases[rank] = reported.phase;
  if (entry.draining && rank == 0) parts.leaving = true;
  if (parts.view.domain.empty()) parts.view.domain = entry.domain;
}

}  // namespace

std::string group_name(const std::string& model, int64_t epoch) {
  return absl::StrCat(model, ".", epoch);
}

std::string group_model(const std::string& group) {
  const size_t dot = group.rfind('.');
  return dot == std::string::npos ? "" : group.substr(0, dot);
}

void server_directory::replace(
    const std::map<std::string, listed_server>& listed, int64_t revision,
    absl::Time keep_missing_until) {
  for (const auto& [id, server] : listed) this->update(server);
  std::vector<std::string> missing;
  for (const auto& [id, server] : this->by_id) {
    if (listed.count(id) == 0 && server.revision <= revision) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    this->remove(id, revision, keep_missing_until);
  }
  this->advance_to_list(revision, revision);
}

bool server_directory::remove_missing(const id_range& range,
                                      const std::set<std::string>& listed,
                                      int64_t revision) {
  std::vector<std::string> missing;
  for (auto at = this->by_id.lower_bound(range.first);
       at != this->by_id.end() && range.contains(at->first); ++at) {
    const bool newer = at->second.revision > revision;
    if (!newer && listed.count(at->first) == 0) missing.push_back(at->first);
  }
  for (const auto& id : missing) {
    this->remove(id, revision, absl::InfinitePast());
  }
  return !missing.empty();
}

void server_directory::advance_to_list(int64_t revision,
                                       int64_t removals_since) {
  // Removals between this node's revision and `removals_since` are missing.
  if (removals_since > this->known_revision)
    this->complete_since = removals_since;
  this->advance_revision(revision);
}

void server_directory::advance_revision(int64_t revision) {
  this->known_revision = std::max(this->known_revision, revision);
}

bool server_directory::update(const listed_server& server) {
  const std::string& id = server.entry.id;
  const auto gone = this->removal_revisions.find(id);
  if (gone != this->removal_revisions.end() &&
      gone->second >= server.revision) {
    return false;
  }
  const auto known = this->by_id.find(id);
  if (known != this->by_id.end()) {
    // An entry that has been found missing returns with a higher revision only.
    if (known->second.revision >= server.revision) return false;
    // A late entry of an earlier start, from whatever source.
    const int64_t incarnation = server.entry.incarnation;
    if (incarnation != 0 && incarnation < known->second.entry.incarnation)
      return false;
  }
  this->erase(id);
  server_entry& entry = (this->by_id[id] = server).entry;
  if (this->is_leaving({id, entry.incarnation})) entry.draining = true;
  this->by_service[server.entry.service].insert(id);
  this->changes.emplace(server.revision, id);
  this->latest_cold_until =
      std::max(this->latest_cold_until, server.cold_until);
  if (server.expires_at != absl::InfinitePast()) this->expiring.insert(id);
  return true;
}

bool server_directory::mark_leaving(const server_instance& server,
                                    absl::Time now) {
  if (!this->leaving_since.emplace(server, now).second) return false;
  this->new_departures.insert(server);
  const auto known = this->by_id.find(server.server);
  if (known != this->by_id.end() &&
      known->second.entry.incarnation == server.incarnation) {
    known->second.entry.draining = true;
  }
  return true;
}

std::set<server_instance> server_directory::take_departures() {
  return std::exchange(this->new_departures, {});
}

void server_directory::forget_departed(absl::Time now) {
  std::erase_if(this->leaving_since, [&](const auto& item) {
    const server_entry* entry = this->find(item.first.server);
    const bool listed =
        entry != nullptr && entry->incarnation == item.first.incarnation;
    return !listed && now - item.second >= departure_memory;
  });
}

void server_directory::erase(const std::string& id) {
  const auto known = this->by_id.find(id);
  if (known == this->by_id.end()) return;
  this->changes.erase({known->second.revision, id});
  this->by_service[known->second.entry.service].erase(id);
  this->expiring.erase(id);
  this->by_id.erase(known);
}

void server_directory::mark_removed(const std::string& id, int64_t revision) {
  const auto [at, inserted] = this->removal_revisions.emplace(id, revision);
  if (!inserted) {
    if (at->second >= revision) return;
    this->removals.erase({at->second, id});
  }
  at->second = revision;
  this->removals.emplace(revision, id);
}

std::vector<const listed_server*> server_directory::changed_since(
    int64_t revision) const {
  std::vector<const listed_server*> out;
  for (const auto& id : this->expiring) {
    const listed_server& server = this->by_id.at(id);
    if (server.revision <= revision) out.push_back(&server);
  }
  auto at = this->changes.lower_bound({revision + 1, ""});
  for (; at != this->changes.end(); ++at) {
    out.push_back(&this->by_id.at(at->second));
  }
  return out;
}

std::vector<std::pair<std::string, int64_t>> server_directory::removed_since(
    int64_t revision) const {
  std::vector<std::pair<std::string, int64_t>> out;
  auto at = this->removals.lower_bound({revision + 1, ""});
  for (; at != this->removals.end(); ++at)
    out.emplace_back(at->second, at->first);
  return out;
}

bool server_directory::remove(const std::string& id, int64_t revision,
                              absl::Time keep_until) {
  const auto known = this->by_id.find(id);
  if (known == this->by_id.end()) {
    this->mark_removed(id, revision);
    return false;
  }
  if (known->second.revision > revision) return false;
  if (keep_until != absl::InfinitePast()) {
    // An entry that is missing already keeps its earlier expiry.
    if (known->second.expires_at == absl::InfinitePast()) {
      known->second.expires_at = keep_until;
      this->expiring.insert(id);
    }
    return false;
  }
  this->erase(id);
  this->mark_removed(id, revision);
  return true;
}

bool server_directory::expire(absl::Time now, absl::Time known_at) {
  std::vector<std::string> expired;
  for (const auto& id : this->expiring) {
    const absl::Time at = this->by_id.at(id).expires_at;
    if (at <= now && at <= known_at) expired.push_back(id);
  }
  for (const auto& id : expired) {
    // It has not returned up to the revision that is known.
    const int64_t entry_revision = this->by_id.at(id).revision;
    this->mark_removed(id, std::max(this->known_revision, entry_revision));
    this->erase(id);
  }
  this->forget_departed(now);
  const int64_t oldest = this->known_revision - remembered_revisions;
  while (!this->removals.empty() && this->removals.begin()->first < oldest) {
    this->complete_since =
        std::max(this->complete_since, this->removals.begin()->first);
    this->removal_revisions.erase(this->removals.begin()->second);
    this->removals.erase(this->removals.begin());
  }
  return !expired.empty();
}

const std::set<std::string>& server_directory::servers_of(
    const std::string& service) const {
  static const std::set<std::string> none;
  const auto found = this->by_service.find(service);
  return found == this->by_service.end() ? none : found->second;
}

const server_entry* server_directory::find(const std::string& id) const {
  const auto found = this->by_id.find(id);
  return found == this->by_id.end() ? nullptr : &found->second.entry;
}

std::vector<group_view> collect_groups(
    const std::map<std::string, listed_server>& servers,
    const std::string& service, const std::map<std::string, int>& sizes) {
  std::map<std::pair<std::string, int64_t>, group_parts> found;
  for (const auto& [id, server] : servers) {
    const group_membership& reported = server.entry.membership;
    if (server.entry.service != service ||
        reported.phase == member_phase::none) {
      continue;
    }
    if (reported.rank < 0 || reported.rank >= max_group_size) continue;
    add_member(found[{reported.group, reported.epoch}], server.entry);
  }
  std::vector<group_view> out;
  for (auto& [key, parts] : found) {
    group_view& view = parts.view;
    view.service = service;
    view.name = key.first;
    view.epoch = key.second;
    view.model = group_model(key.first);
    view.head_phase = parts.phases.front();
    const auto size = sizes.find(view.model);
    const bool complete =
        size != sizes.end() &&
        view.members.size() == static_cast<size_t>(size->second) &&
        std::all_of(parts.phases.begin(), parts.phases.end(), ready_phase);
    view.all_ready = complete && !parts.disputed && !parts.leaving;
    out.push_back(std::move(view));
  }
  return out;
}

}  // namespace spokesail
