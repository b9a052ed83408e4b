// A fleet of nodes that forward changes of a store over lossy links, simulated
// in virtual time.
#pragma once

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "server-changes.h"
#include "spokesail/change-relay.h"
#include "spokesail/hash.h"
#include "spokesail/object-store.h"

namespace spokesail::test {

/// Period at which a node sends requests to its relay.
constexpr absl::Duration request_period = absl::Milliseconds(180);

/// Mutations that disable one mechanism, to show that agreement depends on it.
enum class relay_mutant {
  none,
  /// Relays send changes since any revision, whatever removals they know.
  always_changes,
  /// Nodes keep the servers that a list lacks.
  keeps_missing,
  /// All removals in an answer of the store get the revision of the answer.
  removals_at_answer,
  /// Nodes do not record removals of servers that they do not know.
  unknown_removals_dropped
};

/// A store of servers, and a tree of nodes. The root of the tree, at first node
/// 0, watches the store and forwards its changes.
class relay_fleet {
 public:
  /// A message from one node to another.
  struct message {
    int from = 0;
    int to = 0;
    /// Whether this is a request; otherwise it carries changes, in response to
    /// a request or without one.
    bool is_request = false;
    bool in_response = false;
    follower_position position;
    server_change_batch batch;
    /// The time as of which the sender knew all changes.
    absl::Time verified_at = absl::InfinitePast();
  };

  /// The outcome of a message on a link: its delay, or that it is lost.
  using link = std::function<absl::Duration(const message&)>;
  static constexpr absl::Duration lost = absl::InfiniteDuration();

  /// `parents` lists the relay of each node but the first.
  relay_fleet(std::vector<int> parents, link delay_of)
      : nodes(parents.size() + 1), delay_of(std::move(delay_of)) {
    for (size_t i = 0; i < parents.size(); ++i) {
      node& n = this->nodes[i + 1];
      n.parent = parents[i];
      // Nodes that start together still send requests at different times.
      const auto offset = request_period * static_cast<double>(i % 7) / 7;
      this->schedule(this->now + offset,
                     [this, i] { this->request_periodically(i + 1); });
    }
    // The first node sends requests once it is no longer the root.
    this->request_periodically(0);
  }

  /// Changes an entry, which the root receives at once unless it is frozen.
  void change() { this->change((this->last_revision() + 1) % server_count); }
  void change(int64_t server) { this->record(server, false); }
  /// Removes an entry, if it exists.
  void remove(int64_t server) {
    const auto found = this->store.find(server_name(server));
    if (found == this->store.end() || found->second.deleted) return;
    this->record(server, true);
  }

  /// Restarts a node, which then knows nothing. The root lists all servers.
  void restart(int i) {
    node& n = this->at(i);
    const int parent = n.parent;
    n = node();
    n.parent = parent;
    this->watch();
  }

  /// Stops a node for some time. It receives the messages of that time later.
  void freeze(int i, absl::Duration time) {
    this->at(i).frozen_until = this->now + time;
    this->schedule(this->now + time, [this] { this->watch(); });
  }

  /// Makes a node other than the root use another relay from now on, unless
  /// that one depends on it.
  void set_relay(int i, int parent) {
    if (i == this->root) return;
    for (int above = parent; above != -1; above = this->at(above).parent) {
      if (above == i) return;
    }
    this->at(i).parent = parent;
  }

  /// Makes another node the root; the present one follows it.
  void set_root(int i) {
    if (i == this->root) return;
    this->at(this->root).parent = i;
    this->at(i).parent = -1;
    this->root = i;
    this->watch();
  }

  /// Settings of all nodes.
  batch_limits limits;
  relay_mutant mutated = relay_mutant::none;
  /// How long the root keeps servers whose entries have gone.
  absl::Duration removal_grace = absl::ZeroDuration();

  void run_for(absl::Duration time) {
    const absl::Time until = this->now + time;
    while (!this->events.empty() && this->events.begin()->first <= until) {
      const auto first = this->events.begin();
      this->now = first->first;
      const auto action = std::move(first->second);
      this->events.erase(first);
      action();
    }
    this->now = until;
  }

  /// Makes a change each `gap` for `time`.
  void change_for(absl::Duration time, absl::Duration gap) {
    const absl::Time until = this->now + time;
    while (this->now < until) {
      this->change();
      this->run_for(gap);
    }
  }

  /// The given quantile, from 0 to 1, of the delays with which nodes learned
  /// of changes.
  absl::Duration lag_quantile(double quantile) const {
    std::vector<absl::Duration> all = this->lags;
    const auto rank = static_cast<size_t>(
        quantile * static_cast<double>(std::max<size_t>(all.size(), 1) - 1));
    if (all.empty()) return absl::ZeroDuration();
    std::nth_element(all.begin(), all.begin() + static_cast<long>(rank),
                     all.end());
    return all[rank];
  }

  /// The longest time for which a node lacked a change, up to now.
  absl::Duration longest_lag() const {
    absl::Duration longest = absl::ZeroDuration();
    for (const node& n : this->nodes) {
      longest = std::max(longest, n.longest_lag);
      const auto known = static_cast<size_t>(n.directory.revision());
      if (known < this->change_times.size()) {
        longest = std::max(longest, this->now - this->change_times[known]);
      }
    }
    return longest;
  }

  /// Whether all nodes hold the store's servers.
  bool agree() const {
    std::map<std::string, listed_server> stored;
    for (const auto& [name, o] : this->store) {
      if (!o.deleted) stored[name] = to_listed(o);
    }
    return std::all_of(this->nodes.begin(), this->nodes.end(),
                       [&](const node& n) {
                         return n.directory.servers() == stored &&
                                n.directory.revision() == this->last_revision();
                       });
  }

  /// How often a node, after a message, lacked a server that existed at its
  /// revision and still exists, or held one that had gone and still is.
  int breaches() const { return this->breach_count; }

  /// Changes sent by all nodes, counting each as often as it was sent.
  size_t changes_sent() const { return this->sent_changes; }
  size_t messages_sent() const { return this->sent_messages; }

 private:
  static constexpr int64_t server_count = 40;

  struct node {
    int parent = -1;
    absl::Time frozen_until = absl::InfinitePast();
    absl::Time verified_at = absl::InfinitePast();
    server_directory directory;
    change_sender sender;
    change_receiver receiver;
    absl::Duration longest_lag = absl::ZeroDuration();
  };

  static std::string server_name(int64_t server) {
    return absl::StrCat("s", server);
  }

  static listed_server to_listed(const object& o) {
    listed_server out;
    out.entry.id = o.key.name;
    out.entry.slots = static_cast<int>(o.version);
    out.revision = o.version;
    return out;
  }

  node& at(int i) { return this->nodes[static_cast<size_t>(i)]; }
  bool frozen(int i) { return this->now < this->at(i).frozen_until; }
  int64_t last_revision() const {
    return static_cast<int64_t>(this->history.size());
  }

  void record(int64_t server, bool gone) {
    const std::string name = server_name(server);
    const object o = {{"servers", name}, this->last_revision() + 1, "", gone};
    this->store[name] = o;
    this->history.push_back(o);
    this->change_times.push_back(this->now);
    this->watch();
  }

  /// Whether a node lacks a server, or holds one, in spite of a change that its
  /// revision includes.
  bool is_wrong(const server_directory& directory) const {
    return std::any_of(this->store.begin(), this->store.end(),
                       [&](const auto& item) {
                         const auto& [name, o] = item;
                         if (o.version > directory.revision()) return false;
                         const auto found = directory.servers().find(name);
                         if (found == directory.servers().end())
                           return !o.deleted;
                         const bool expiring =
                             found->second.expires_at != absl::InfinitePast();
                         return o.deleted && !expiring;
                       });
  }

  /// When a server that has just gone counts as removed.
  absl::Time keep_until() const {
    const bool kept = this->removal_grace > absl::ZeroDuration();
    return kept ? this->now + this->removal_grace : absl::InfinitePast();
  }

  /// The root receives all changes that it does not know; all servers, if it
  /// has just started.
  void watch() {
    if (this->frozen(this->root)) return;
    server_directory& directory = this->at(this->root).directory;
    this->at(this->root).verified_at = this->now;
    if (directory.revision() == this->last_revision()) return;
    if (directory.revision() == 0) {
      std::map<std::string, listed_server> listed;
      for (const auto& [name, o] : this->store) {
        if (!o.deleted) listed[name] = to_listed(o);
      }
      directory.replace(listed, this->last_revision(), this->keep_until());
    } else {
      this->apply_history(directory);
    }
    this->push(this->root);
  }

  void apply_history(server_directory& directory) {
    const std::vector<object> changes(
        this->history.begin() + directory.revision(), this->history.end());
    auto missing_at = removal_revisions(changes, this->last_revision());
    if (this->mutated == relay_mutant::removals_at_answer)
      std::fill(missing_at.begin(), missing_at.end(), this->last_revision());
    for (size_t i = 0; i < changes.size(); ++i) {
      const std::string& name = changes[i].key.name;
      if (!changes[i].deleted) {
        directory.update(to_listed(changes[i]));
      } else if (this->records_removal(directory, name)) {
        directory.remove(name, missing_at[i], this->keep_until());
      }
    }
    directory.advance_revision(this->last_revision());
  }

  bool records_removal(const server_directory& directory,
                       const std::string& name) const {
    return this->mutated != relay_mutant::unknown_removals_dropped ||
           directory.find(name) != nullptr;
  }

  void schedule(absl::Time when, std::function<void()> action) {
    this->events.emplace(when, std::move(action));
  }

  void send(message m) {
    ++this->sent_messages;
    this->sent_changes += m.batch.changes.size();
    const absl::Duration delay = this->delay_of(m);
    if (delay == lost) return;
    this->schedule(this->now + delay,
                   [this, m = std::move(m)] { this->receive(m); });
  }

  void request_periodically(size_t i) {
    const int self = static_cast<int>(i);
    if (!this->frozen(self)) {
      if (self == this->root) this->watch();
      this->at(self).directory.expire(this->now, this->at(self).verified_at);
      if (self != this->root) this->send_request(self);
    }
    this->schedule(this->now + request_period,
                   [this, i] { this->request_periodically(i); });
  }

  void send_request(int i) {
    const node& n = this->nodes[static_cast<size_t>(i)];
    message m;
    m.from = i;
    m.to = n.parent;
    m.is_request = true;
    m.position = n.receiver.position(n.directory.revision());
    this->send(std::move(m));
  }

  void receive(const message& m) {
    node& n = this->at(m.to);
    if (this->frozen(m.to)) {
      this->schedule(n.frozen_until, [this, m] { this->receive(m); });
      return;
    }
    if (m.is_request) {
      const int64_t from =
          n.sender.on_request(absl::StrCat(m.from), m.position, this->now);
      this->send_changes(m.to, m.from, from, true);
      return;
    }
    this->apply_changes(n, m);
  }

  void apply_changes(node& n, const message& m) {
    const int64_t known = n.directory.revision();
    const batch_result result = apply_server_batch(
        n.directory, n.receiver, this->mutate(n.directory, m.batch), this->now);
    if (result == batch_result::missing_changes) {
      if (n.receiver.request_out_of_turn(known, this->now))
        this->send_request(m.to);
      return;
    }
    if (this->is_wrong(n.directory)) ++this->breach_count;
    if (n.directory.revision() >= m.batch.as_of())
      n.verified_at = std::max(n.verified_at, m.verified_at);
    for (int64_t r = known + 1; r <= n.directory.revision(); ++r) {
      const absl::Time changed_at =
          this->change_times[static_cast<size_t>(r - 1)];
      n.longest_lag = std::max(n.longest_lag, this->now - changed_at);
      this->lags.push_back(this->now - changed_at);
    }
    if (result == batch_result::changed) this->push(m.to);
  }

  /// The batch as a mutant reads it.
  server_change_batch mutate(const server_directory& directory,
                             server_change_batch batch) const {
    if (this->mutated == relay_mutant::keeps_missing && batch.range) {
      batch.from_revision = 0;
      batch.to_revision = batch.range->revision;
      batch.removals_since = 0;
      batch.range.reset();
    }
    std::erase_if(batch.changes, [&](const server_change& item) {
      return item.gone &&
             !this->records_removal(directory, item.server.entry.id);
    });
    return batch;
  }

  void push(int i) {
    node& n = this->nodes[static_cast<size_t>(i)];
    const change_sender::known_revisions known = {n.directory.revision(), 0};
    for (const auto& next : n.sender.pending_updates(known, this->now)) {
      this->send_changes(i, std::stoi(next.follower), next.from, false);
    }
  }

  void send_changes(int i, int to, int64_t from, bool in_response) {
    node& n = this->nodes[static_cast<size_t>(i)];
    for (auto& batch : this->make_batches(n.directory, from)) {
      const int64_t first = batch.range ? from : batch.from_revision;
      n.sender.on_sent(absl::StrCat(to), first, batch.to_revision, 0,
                       this->now);
      this->send(
          {i, to, false, in_response, {}, std::move(batch), n.verified_at});
    }
  }

  std::vector<server_change_batch> make_batches(
      const server_directory& directory, int64_t from) const {
    if (this->mutated != relay_mutant::always_changes)
      return make_server_batches(directory, from, this->limits, this->now);
    return split_server_changes(
        server_changes_since(directory, from, this->now), this->limits, from,
        directory.revision());
  }

  std::vector<node> nodes;
  link delay_of;
  absl::Time now = absl::FromUnixSeconds(1000);
  std::multimap<absl::Time, std::function<void()>> events;
  int root = 0;
  /// The last change of each object, and all changes; the first one has
  /// revision 1.
  std::map<std::string, object> store;
  std::vector<object> history;
  /// When each change was made; revisions count from 1, so that this is indexed
  /// by revision minus one.
  std::vector<absl::Time> change_times;
  /// The delay with which each node learned of each change.
  std::vector<absl::Duration> lags;
  int breach_count = 0;
  size_t sent_changes = 0;
  size_t sent_messages = 0;
};

}  // namespace spokesail::test
