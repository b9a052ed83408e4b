// An emulator of model engines that form groups, in virtual time, with
// injected faults. It checks the orders that it receives against the rules.
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

/// Faults of orders, as probabilities from 0 to 1.
struct order_faults {
  /// The order is executed, but its answer is lost.
  double answer_lost = 0;
  /// The order is not answered, and executed 2 to 12 s later.
  double late = 0;
  /// The order is neither answered nor executed.
  double lost = 0;
  bool operator==(const order_faults&) const = default;
};

/// Delays of the emulated fleet that are not part of the engine profile.
struct emulator_timing {
  /// From a change of a server until it is visible in the store.
  absl::Duration entry_lag = absl::Milliseconds(40);
  /// From a server's crash until its entry is removed.
  absl::Duration entry_ttl = absl::Milliseconds(3600);
  /// From the loss of a member until the head reports its group as broken.
  absl::Duration stall_timeout = absl::Seconds(5);
  /// Time of a join if the server's last group had the same model.
  absl::Duration rejoin_time = absl::Milliseconds(200);
  bool operator==(const emulator_timing&) const = default;
};

/// Emulates the servers of one engine service.
class fleet_emulator {
 public:
  fleet_emulator(backend_service service, emulator_timing timing,
                 uint64_t seed);

  /// Adds a server without staged weights. Returns its id.
  std::string add(const std::string& domain, absl::Time now,
                  const std::string& address = "10.0.0.1:80",
                  const std::string& hall = "hall");

  /// Kills a server; its entry is removed after `entry_ttl`.
  void kill(const std::string& id, absl::Time now);

  /// Crashes a server and restarts it at once under the same id. The weights
  /// staged on its host remain.
  void restart(const std::string& id, absl::Time now);

  /// Isolates a server from callers and from its group, or ends the isolation.
  void set_isolated(const std::string& id, bool isolated);

  /// Has a server accept connections without answering, or ends that. Its
  /// streams stand still meanwhile; orders that it is sent are executed when it
  /// goes on.
  void set_silent(const std::string& id, bool silent);
  bool is_silent(const std::string& id) const;

  /// Has a server accept no more connections, as at the end of its drain time.
  /// The streams of its group go on.
  void stop_listening(const std::string& id);

  /// Marks a server as draining in its entry.
  void drain(const std::string& id, absl::Time now);

  /// Completes everything that is due: late orders, loads, joins, openings,
  /// closings, time-outs of stalled heads and changes of entries.
  void advance(absl::Time now);

  /// Sends an order. The result is the one that the sender receives.
  order_result send_order(const group_order& order, absl::Time now);

  /// A server's report; nullopt if the server is down or isolated.
  std::optional<server_report> report(const std::string& id) const;

  /// The servers as visible in the store.
  const server_directory& directory() const { return this->visible; }

  /// Number of groups of a model that are open and complete.
  int serving(const std::string& model) const;

  /// Whether a server accepts requests: it is the head of an open group.
  bool is_open_head(const std::string& id) const;
  /// Whether all members of a server's group are reachable and belong to it.
  bool group_complete(const std::string& id) const;

  /// Ids of the servers that run.
  std::vector<std::string> live_servers() const;

  /// Descriptions of the rules that orders or openings have broken.
  const std::vector<std::string>& breaches() const { return this->breach_list; }

  /// Groups that were left by a member, in this order, although their streams
  /// would have gone on.
  const std::vector<std::string>& cut_groups() const { return this->cut; }

  order_faults faults;
  /// Time from the order to close a group until its running streams have ended.
  absl::Duration closing_time = absl::Seconds(1);
  /// Factor on the time of a load from the weight store.
  double load_factor = 1;
  /// Start times of the loads from the weight store.
  std::vector<absl::Time> loads;

 private:
  struct server {
    server_entry entry;
    bool alive = true;
    bool isolated = false;
    bool silent = false;
    bool listens = true;
    /// Orders that it was sent while it was silent.
    std::vector<group_order> unread;
    /// Number of orders that it has started.
    int64_t orders = 0;
    /// Highest epoch of the groups it has joined.
    int64_t max_epoch = 0;
    std::vector<std::string> members;
    /// Groups, by `membership_key`, in which it has been ready.
    std::set<std::string> ready_memberships;
    absl::Time phase_end = absl::InfiniteFuture();
    std::string loading_model;
    absl::Time load_end = absl::InfiniteFuture();
    std::string last_model;
    /// Of a head: since when a member has been missing.
    absl::Time stalled_since = absl::InfiniteFuture();
  };
  /// An order that is executed long after it was sent.
  struct late_order {
    group_order order;
    absl::Time at;
  };
  /// A change that becomes visible in the store at `at`.
  struct pending_change {
    absl::Time at;
    listed_server server;
    bool removed = false;
  };

  /// Executes an order if its server is up and accepts it. Returns the
  /// server's result.
  order_result execute(const group_order& order, absl::Time now);
  /// Applies an order to a server whose order count is as expected.
  order_result apply(server& s, const group_order& order, absl::Time now);
  order_result join(server& s, const group_order& order, absl::Time now);
  /// Records a breach if the server's current group is still open or closing.
  void check_join(const server& s, const group_order& order);
  /// Records a breach if the group does not have its model's size or a member
  /// was never ready in it.
  void check_open(const server& head);
  /// Records a cut if a server that leaves its group cuts running streams.
  void check_leave(const server& s);
  /// Identifies a server's group by name, epoch and list of members.
  static std::string membership_key(const server& s);
  /// Whether a server is reachable and belongs to `head`'s group.
  bool is_active_member(const server& head, const std::string& id) const;
  /// Executes late orders that are due.
  void execute_late_orders(absl::Time now);
  /// Completes a load, a join, an opening or a closing that is due.
  void finish_due(server& s, absl::Time now);
  /// Marks a head as broken if its group has been incomplete for too long.
  void check_head(server& head, absl::Time now);
  /// Makes changes that are due visible in the store.
  void apply_due_changes(absl::Time now);
  /// Makes a server's entry visible in the store after `entry_lag`.
  void publish(const server& s, absl::Time now);
  void begin_load(server& s, const std::string& model, absl::Time now);

  backend_service service;
  emulator_timing timing;
  random_stream random;
  std::map<std::string, server> servers;
  std::vector<late_order> late;
  std::vector<pending_change> pending;
  server_directory visible;
  std::vector<std::string> breach_list;
  std::vector<std::string> cut;
  int64_t revision = 0;
  int next_id = 0;
};

}  // namespace spokesail::standin
