// The live backend servers, according to the platform's store and to the
// servers themselves.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "spokesail/server-entry.h"
#include "spokesail/server-instance.h"

namespace spokesail {

/// A server as last seen in the store.
struct listed_server {
  server_entry entry;
  /// Revision of its last change.
  int64_t revision = 0;
  /// Until when it counts as live although its entry is missing in the store;
  /// infinite past while the entry exists.
  absl::Time expires_at = absl::InfinitePast();
  /// Until when it is slow after its start, according to its latest entry.
  absl::Time cold_until = absl::InfinitePast();
  bool operator==(const listed_server&) const = default;
};

/// One serving group, assembled from its members' entries.
struct group_view {
  std::string service;
  std::string name;
  int64_t epoch = 0;
  std::string model;
  std::string domain;
  /// Ids by rank; a rank that no server claims is empty.
  std::vector<std::string> members;
  /// Phase that the head reports.
  member_phase head_phase = member_phase::none;
  /// Whether a live server that reports itself ready claims each rank up to the
  /// model's size, and the head is not leaving.
  bool all_ready = false;
  bool operator==(const group_view&) const = default;

  const std::string& head() const { return this->members.front(); }
  /// Whether it may receive requests.
  bool serving() const {
    return this->all_ready && this->head_phase == member_phase::open;
  }
};

/// The name of the group formed under `epoch`. It carries the model, so that
/// the members' entries alone identify the model.
std::string group_name(const std::string& model, int64_t epoch);

/// The model in a group's name; empty if the name is not of this form.
std::string group_model(const std::string& group);

/// The ids from `first` on that precede `end`; an empty `end` is no limit.
struct id_range {
  std::string first;
  std::string end;
  bool operator==(const id_range&) const = default;

  bool contains(const std::string& id) const {
    return id >= this->first && (this->end.empty() || id < this->end);
  }
};

/// All servers known to this node. State never goes back: an entry is replaced
/// only by one of a higher revision.
///
/// Removals are recorded as well, so that they can be sent to nodes that do not
/// know them. A node that starts knows none of the removals before its first
/// list: `removals_since` tells which ones are complete. The revision of a
/// removal is one at which the entry was missing, and at which no later entry
/// of that server existed.
class server_directory {
 public:
  /// Applies the full list as of `revision`. Servers that it lacks are removed
  /// or, if `keep_missing_until` is set, expire at that time.
  void replace(const std::map<std::string, listed_server>& listed,
               int64_t revision, absl::Time keep_missing_until);

  /// Removes the servers in `range` that are not in `listed`, which holds the
  /// ids of all that existed at `revision`. Returns whether any was removed.
  bool remove_missing(const id_range& range,
                      const std::set<std::string>& listed, int64_t revision);

  /// Applies one change. Returns whether it was new.
  bool update(const listed_server& server);

  /// Applies the end of one entry. If `keep_until` is set, the server counts as
  /// live until then. Returns whether the server was known and is removed; the
  /// removal of an unknown one is recorded too.
  bool remove(const std::string& id, int64_t revision, absl::Time keep_until);

  /// Records at `now` that a server has announced its end to this node or to a
  /// peer. Its entry counts as draining from then on, whatever the store says,
  /// until it starts again. Returns whether this was not yet known.
  bool mark_leaving(const server_instance& server, absl::Time now);
  /// Whether a server has announced its end.
  bool is_leaving(const server_instance& server) const {
    return this->leaving_since.count(server) != 0;
  }

  /// Whether `take_departures` would return any.
  bool has_departures() const { return !this->new_departures.empty(); }
  /// Returns and clears the announcements that are new since the last call.
  std::set<server_instance> take_departures();

  /// Removes servers whose entries are missing and have expired. The directory
  /// must be current as of a time after the expiry, which `known_at` gives: the
  /// entry may have returned without this node's knowledge. Returns whether any
  /// was removed.
  bool expire(absl::Time now, absl::Time known_at);

  /// All live servers, by id.
  const std::map<std::string, listed_server>& servers() const {
    return this->by_id;
  }
  /// Ids of the live servers of a service.
  const std::set<std::string>& servers_of(const std::string& service) const;
  /// Null if there is no such server.
  const server_entry* find(const std::string& id) const;
  /// All changes up to this revision are known.
  int64_t revision() const { return this->known_revision; }
  /// No server is cold from this time on, according to the known entries.
  absl::Time all_warm_at() const { return this->latest_cold_until; }
  /// Records that all changes up to `revision` have been applied.
  void advance_revision(int64_t revision);
  /// All removals after this revision, up to `revision()`, are known.
  int64_t removals_since() const { return this->complete_since; }
  /// Records that all servers as of `revision` have been applied, and all
  /// removals after `removals_since`.
  void advance_to_list(int64_t revision, int64_t removals_since);

  /// Servers that changed after a revision, and those that are expiring, since
  /// no revision marks these. The cost depends on the size of the result, not
  /// of the directory: a relay calls this for each change and each follower.
  std::vector<const listed_server*> changed_since(int64_t revision) const;

  /// Servers that were removed after a revision, each with the revision by
  /// which it was.
  std::vector<std::pair<std::string, int64_t>> removed_since(
      int64_t revision) const;

 private:
  std::map<std::string, listed_server> by_id;
  std::map<std::string, std::set<std::string>> by_service;
  /// Revisions at which servers were removed; guards against late updates.
  std::map<std::string, int64_t> removal_revisions;
  /// Servers, and removed servers, by revision.
  using revisions = std::set<std::pair<int64_t, std::string>>;
  revisions changes;
  revisions removals;
  std::set<std::string> expiring;

  /// Servers that announced their end, and when this became known. They are
  /// kept after their removal, since their entries may return.
  std::map<server_instance, absl::Time> leaving_since;
  /// Those that `take_departures` has not returned yet.
  std::set<server_instance> new_departures;
  /// Forgets announcements of servers that are no longer listed.
  void forget_departed(absl::Time now);

  /// Records a server's removal, unless a later one is recorded.
  void mark_removed(const std::string& id, int64_t revision);
  void erase(const std::string& id);
  int64_t known_revision = 0;
  int64_t complete_since = 0;
  absl::Time latest_cold_until = absl::InfinitePast();
};

/// Assembles a service's groups from the entries of `servers`, by group name
/// and epoch. `sizes` gives the number of hosts for a group of each model;
/// groups of other models are never complete.
std::vector<group_view> collect_groups(
    const std::map<std::string, listed_server>& servers,
    const std::string& service, const std::map<std::string, int>& sizes);

}  // namespace spokesail
