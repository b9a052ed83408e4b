// The backend servers that live, as the platform's store tells it.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "spokesail/server-entry.h"

namespace spokesail {

/// A server as last seen in the store.
struct listed_server {
  server_entry entry;
  /// Revision of its last change.
  int64_t revision = 0;
  /// Until when it counts as living although the store has lost its entry;
  /// infinite past while the entry stands.
  absl::Time expires_at = absl::InfinitePast();
  /// Until when it is slow after its start, as of the latest news of it.
  absl::Time cold_until = absl::InfinitePast();
  bool operator==(const listed_server&) const = default;
};

/// One serving group, put together from its members' own words.
struct group_view {
  std::string service;
  std::string name;
  int64_t epoch = 0;
  std::string model;
  std::string domain;
  /// Ids by rank; a rank that nobody claims is empty.
  std::vector<std::string> members;
  /// Phase of the head, by its own word.
  member_phase head_phase = member_phase::none;
  /// Whether each rank up to the model's size is claimed by a live server
  /// that says it is ready, and none is leaving.
  bool all_ready = false;
  bool operator==(const group_view&) const = default;

  const std::string& head() const { return this->members.front(); }
  /// Whether it may take requests.
  bool serving() const {
    return this->all_ready && this->head_phase == member_phase::open;
  }
};

/// The name of the group that is formed under `epoch`. It carries the model,
/// so that any node can tell it from the members' words alone.
std::string group_name(const std::string& model, int64_t epoch);

/// The model in a group's name; empty if the name is not of this form.
std::string group_model(const std::string& group);

/// All servers known to this node. News never goes back: an entry is replaced
/// only by one of a higher revision.
class server_directory {
 public:
  /// Takes the full list as of `revision`. Servers that it lacks are gone,
  /// or lapse by `keep_missing_until`, if that is later than now.
  void replace(const std::map<std::string, listed_server>& listed,
               int64_t revision, absl::Time keep_missing_until);

  /// Takes one change. Returns whether it was news.
  bool update(const listed_server& server);

  /// Takes the end of one entry. If `keep_until` is later than now the server
  /// counts as living until then.
  bool remove(const std::string& id, int64_t revision, absl::Time keep_until);

  /// Drops servers whose entries are lost and have lapsed. What is known must
  /// be from after the lapse, which `known_at` tells: an entry may be back
  /// without this node having heard of it. Returns whether there were any.
  bool expire(absl::Time now, absl::Time known_at);

  /// All servers that live, by id.
  const std::map<std::string, listed_server>& servers() const {
    return this->by_id;
  }
  /// Null if there is no such server.
  const server_entry* find(const std::string& id) const;
  /// All changes up to this revision are known.
  int64_t revision() const { return this->known_revision; }
  /// No server is cold from this time on, by what is known.
  absl::Time all_warm_at() const { return this->latest_cold_until; }
  /// Takes note that all changes up to `revision` have been taken.
  void advance_revision(int64_t revision);

  /// Servers that changed after a revision, and those that are lapsing, since
  /// no revision tells of those. Costs what it finds, not what there is: a
  /// relay asks for each change and each node that it tells.
  std::vector<const listed_server*> changed_since(int64_t revision) const;

  /// Servers that have gone after a revision, with the revision by which they
  /// had.
  std::vector<std::pair<std::string, int64_t>> removed_since(
      int64_t revision) const;

 private:
  std::map<std::string, listed_server> by_id;
  /// Revisions at which servers went, against news that comes late.
  std::map<std::string, int64_t> removal_revisions;
  /// Servers, and those that went, by revision.
  using revisions = std::set<std::pair<int64_t, std::string>>;
  revisions changes;
  revisions removals;
  std::set<std::string> expiring;

  /// Enters or drops a server's end, and its entry.
  void mark_removed(const std::string& id, int64_t revision);
  void erase(const std::string& id);
  int64_t known_revision = 0;
  absl::Time latest_cold_until = absl::InfinitePast();
};

/// A service's groups from what `servers` say, by group name and epoch.
/// `sizes` gives the hosts that a model's group needs; the groups of a model
/// that it lacks are never whole.
std::vector<group_view> collect_groups(
    const std::map<std::string, listed_server>& servers,
    const std::string& service, const std::map<std::string, int>& sizes);

}  // namespace spokesail
