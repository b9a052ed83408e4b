// An emulator of model engines that form groups, in virtual time, with the
// faults that their platform brings. It judges what it is ordered to do.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "spokesail/hash.h"
#include "spokesail/routing-config.h"
#include "spokesail/server-directory.h"

namespace spokesail::standin {

/// Faults that strike orders, as shares from 0 to 1.
struct order_faults {
  /// Taken and carried out, the answer lost.
  double answer_lost = 0;
  /// Not answered, carried out 2 to 12 s later.
  double late = 0;
  /// Neither answered nor carried out.
  double lost = 0;
  bool operator==(const order_faults&) const = default;
};

/// Times of the emulated fleet that the engine profile does not give.
struct emulator_timing {
  /// From a change of a server until readers of the store see it.
  absl::Duration entry_lag = absl::Milliseconds(40);
  /// From a server's death until its entry goes.
  absl::Duration lapse = absl::Milliseconds(3600);
  /// A head whose group lost a member gives up after this.
  absl::Duration stall = absl::Seconds(5);
  /// Joining again for the model of its last group.
  absl::Duration rejoin = absl::Milliseconds(200);
  bool operator==(const emulator_timing&) const = default;
};

/// One emulated engine service.
class fleet_emulator {
 public:
  fleet_emulator(backend_service service, emulator_timing timing,
                 uint64_t seed);

  /// Adds a server with nothing staged. Returns its id.
  std::string add(const std::string& domain, absl::Time now,
                  const std::string& address = "10.0.0.1:80",
                  const std::string& hall = "hall");

  /// Kills a server; its entry goes after the lapse.
  void kill(const std::string& id, absl::Time now);

  /// Has a server crash and start again at once under the id that it had, with
  /// what lies on its host.
  void restart(const std::string& id, absl::Time now);

  /// Cuts a server off from callers and from its group, or heals the cut.
  void set_dark(const std::string& id, bool dark);

  /// Announces that a server is leaving.
  void drain(const std::string& id, absl::Time now);

  /// Moves loads, joins, openings, stalls, late orders and entries on.
  void advance(absl::Time now);

  /// Gives an order. The result is what the sender sees.
  order_result give(const group_order& order, absl::Time now);

  /// A server's report; nothing if it does not answer.
  std::optional<server_report> report(const std::string& id) const;

  /// What readers of the store see.
  const server_directory& directory() const { return this->seen; }

  /// Groups that truly serve: open, with all members in place.
  int serving(const std::string& model) const;

  /// Whether a server takes requests: it heads an open group.
  bool open_head(const std::string& id) const;
  /// Whether a server's group has all its members in place.
  bool group_in_place(const std::string& id) const;

  /// Ids of servers that run.
  std::vector<std::string> living() const;

  /// Rules that an order or an opening broke, in words.
  const std::vector<std::string>& breaches() const { return this->broken; }

  order_faults faults;
  /// Part of its time that a load from the weight store takes.
  double load_factor = 1;
  /// Loads from the weight store that began, by time.
  std::vector<absl::Time> loads;

 private:
  struct server {
    server_entry entry;
    bool alive = true;
    bool dark = false;
    /// Orders that it has begun.
    int64_t orders = 0;
    /// Highest epoch of the groups it has joined.
    int64_t epoch_seen = 0;
    std::vector<std::string> members;
    /// Groups, by name, epoch and list, in which it has been ready.
    std::set<std::string> ready_in;
    absl::Time phase_done = absl::InfiniteFuture();
    std::string loading;
    absl::Time load_done = absl::InfiniteFuture();
    std::string last_model;
    /// Of a head: since when a member has been missing.
    absl::Time stalled_since = absl::InfiniteFuture();
  };
  /// An order that is carried out long after it was given.
  struct late_order {
    group_order order;
    absl::Time at;
  };
  /// A change that readers of the store see at `at`.
  struct news {
    absl::Time at;
    listed_server server;
    bool gone = false;
  };

  /// Carries an order out if the server would. The result is the server's.
  order_result carry_out(const group_order& order, absl::Time now);
  /// What an order does to a server that takes it.
  order_result apply(server& s, const group_order& order, absl::Time now);
  order_result join(server& s, const group_order& order, absl::Time now);
  /// Notes a join of a server whose group still serves.
  void check_join(const server& s, const group_order& order);
  /// Notes an opening of a group that is not ready.
  void check_open(const server& head);
  /// A server's group by name, epoch and list of members.
  static std::string membership_key(const server& s);
  /// Whether a member of `head`'s group is there and belongs to it.
  bool member_in_place(const server& head, const std::string& id) const;
  /// Carries out late orders that are due.
  void carry_out_late(absl::Time now);
  /// Ends a load, a join, an opening or a closing that is due.
  void end_due(server& s, absl::Time now);
  /// Breaks a head that has stood still for too long.
  void watch_head(server& head, absl::Time now);
  /// Shows readers of the store the changes that are due.
  void show_entries(absl::Time now);
  /// Has a server's entry reach the readers of the store after the lag.
  void publish(const server& s, absl::Time now);
  void begin_load(server& s, const std::string& model, absl::Time now);

  backend_service service;
  emulator_timing timing;
  random_stream random;
  std::map<std::string, server> servers;
  std::vector<late_order> late;
  std::vector<news> pending;
  server_directory seen;
  std::vector<std::string> broken;
  int64_t revision = 0;
  int next_id = 0;
};

}  // namespace spokesail::standin
