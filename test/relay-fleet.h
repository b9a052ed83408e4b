// A fleet of nodes that forward changes of servers over lossy links, simulated
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

namespace spokesail::test {

/// Period at which a node sends requests to its relay.
constexpr absl::Duration request_period = absl::Milliseconds(180);

/// A tree of nodes. Its root, node 0, learns of each change directly.
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
  }

  /// Makes a change, which the first node receives at once.
  void change() {
    const int64_t revision = ++this->last_revision;
    listed_server server;
    server.entry.id = absl::StrCat("s", revision % server_count);
    server.entry.slots = static_cast<int>(revision);
    server.revision = revision;
    node& first = this->nodes.front();
    first.directory.update(server);
    first.directory.advance_revision(revision);
    this->change_times.push_back(this->now);
    this->push(0);
  }

  /// Restarts a node other than the first, which then knows nothing.
  void restart(int i) {
    node& n = this->nodes[static_cast<size_t>(i)];
    const int parent = n.parent;
    n = node();
    n.parent = parent;
  }

  /// Makes a node other than the first use another relay from now on.
  void set_relay(int i, int parent) {
    this->nodes[static_cast<size_t>(i)].parent = parent;
  }

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

  /// Whether all nodes hold the same servers.
  bool agree() const {
    const auto& first = this->nodes.front().directory;
    return std::all_of(this->nodes.begin(), this->nodes.end(),
                       [&](const node& n) {
                         return n.directory.servers() == first.servers() &&
                                n.directory.revision() == first.revision();
                       });
  }

  /// Changes sent by all nodes, counting each as often as it was sent.
  size_t changes_sent() const { return this->sent_changes; }
  size_t messages_sent() const { return this->sent_messages; }

 private:
  static constexpr int server_count = 40;
  static constexpr size_t max_changes_per_message = 200;

  struct node {
    int parent = -1;
    server_directory directory;
    change_sender sender;
    change_receiver receiver;
    absl::Duration longest_lag = absl::ZeroDuration();
  };

  void schedule(absl::Time when, std::function<void()> action) {
    this->events.emplace(when, std::move(action));
  }

  void send(message m) {
    ++this->sent_messages;
    this->sent_changes += m.batch.servers.size();
    const absl::Duration delay = this->delay_of(m);
    if (delay == lost) return;
    this->schedule(this->now + delay,
                   [this, m = std::move(m)] { this->receive(m); });
  }

  void request_periodically(size_t i) {
    this->send_request(static_cast<int>(i));
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
    node& n = this->nodes[static_cast<size_t>(m.to)];
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
    if (!n.receiver.on_message(m.batch.from_revision, known)) {
      if (n.receiver.request_out_of_turn(known, this->now))
        this->send_request(m.to);
      return;
    }
    const bool changed =
        apply_server_changes(n.directory, m.batch.servers, this->now);
    n.directory.advance_revision(m.batch.to_revision);
    for (int64_t r = known + 1; r <= n.directory.revision(); ++r) {
      const absl::Time changed_at =
          this->change_times[static_cast<size_t>(r - 1)];
      n.longest_lag = std::max(n.longest_lag, this->now - changed_at);
      this->lags.push_back(this->now - changed_at);
    }
    if (changed) this->push(m.to);
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
    const int64_t until = n.directory.revision();
    auto changes = server_changes_since(n.directory, from, this->now);
    for (auto& batch : split_server_changes(
             std::move(changes), max_changes_per_message, from, until)) {
      n.sender.on_sent(absl::StrCat(to), batch.from_revision, batch.to_revision,
                       0, this->now);
      this->send({i, to, false, in_response, {}, std::move(batch)});
    }
  }

  std::vector<node> nodes;
  link delay_of;
  absl::Time now = absl::FromUnixSeconds(1000);
  std::multimap<absl::Time, std::function<void()>> events;
  int64_t last_revision = 0;
  /// When each change was made; revisions count from 1, so that this is indexed
  /// by revision minus one.
  std::vector<absl::Time> change_times;
  /// The delay with which each node learned of each change.
  std::vector<absl::Duration> lags;
  size_t sent_changes = 0;
  size_t sent_messages = 0;
};

}  // namespace spokesail::test
