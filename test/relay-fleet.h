// Nodes that pass on changes of servers over links that lose messages, in
// virtual time.
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

/// How often a node asks its relay.
constexpr absl::Duration request_period = absl::Milliseconds(180);

/// A tree of nodes whose first, node 0, learns of each change by itself.
class relay_fleet {
 public:
  /// A message from one node to another.
  struct message {
    int from = 0;
    int to = 0;
    /// Whether a question; else changes, in answer to one or unasked.
    bool question = false;
    bool asked = false;
    follower_position what;
    server_change_batch part;
  };

  /// What a link does to a message: how long it takes, or that it is lost.
  using link = std::function<absl::Duration(const message&)>;
  static constexpr absl::Duration lost = absl::InfiniteDuration();

  /// `parents` gives whom each node but the first asks.
  relay_fleet(std::vector<int> parents, link way)
      : nodes(parents.size() + 1), way(std::move(way)) {
    for (size_t i = 0; i < parents.size(); ++i) {
      node& n = this->nodes[i + 1];
      n.parent = parents[i];
      // Nodes that start together still ask at different times.
      const auto offset = request_period * static_cast<double>(i % 7) / 7;
      this->at(this->now + offset, [this, i] { this->ask_again(i + 1); });
    }
  }

  /// Has the first node learn of a change.
  void change() {
    const int64_t revision = ++this->last_revision;
    listed_server server;
    server.entry.id = absl::StrCat("s", revision % server_count);
    server.entry.slots = static_cast<int>(revision);
    server.revision = revision;
    node& first = this->nodes.front();
    first.directory.update(server);
    first.directory.advance_revision(revision);
    this->made.push_back(this->now);
    this->push(0);
  }

  /// Has a node other than the first start again, knowing nothing.
  void restart(int i) {
    node& n = this->nodes[static_cast<size_t>(i)];
    const int parent = n.parent;
    n = node();
    n.parent = parent;
  }

  /// Has a node other than the first ask another one from now on.
  void move(int i, int parent) {
    this->nodes[static_cast<size_t>(i)].parent = parent;
  }

  void run_for(absl::Duration time) {
    const absl::Time until = this->now + time;
    while (!this->events.empty() && this->events.begin()->first <= until) {
      const auto first = this->events.begin();
      this->now = first->first;
      const auto work = std::move(first->second);
      this->events.erase(first);
      work();
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

  /// The time for which nodes lacked changes that they know, this part of them
  /// less.
  absl::Duration lag_at(double part) const {
    std::vector<absl::Duration> all = this->lags;
    const auto rank = static_cast<size_t>(
        part * static_cast<double>(std::max<size_t>(all.size(), 1) - 1));
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
      if (known < this->made.size()) {
        longest = std::max(longest, this->now - this->made[known]);
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

  /// Changes sent by all nodes, each as often as it was sent.
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

  void at(absl::Time when, std::function<void()> work) {
    this->events.emplace(when, std::move(work));
  }

  void send(message m) {
    ++this->sent_messages;
    this->sent_changes += m.part.servers.size();
    const absl::Duration takes = this->way(m);
    if (takes == lost) return;
    this->at(this->now + takes, [this, m = std::move(m)] { this->take(m); });
  }

  void ask_again(size_t i) {
    this->ask(static_cast<int>(i));
    this->at(this->now + request_period, [this, i] { this->ask_again(i); });
  }

  void ask(int i) {
    const node& n = this->nodes[static_cast<size_t>(i)];
    message m;
    m.from = i;
    m.to = n.parent;
    m.question = true;
    m.what = n.receiver.position(n.directory.revision());
    this->send(std::move(m));
  }

  void take(const message& m) {
    node& n = this->nodes[static_cast<size_t>(m.to)];
    if (m.question) {
      const int64_t from =
          n.sender.on_request(absl::StrCat(m.from), m.what, this->now);
      this->tell(m.to, m.from, from, true);
      return;
    }
    this->take_changes(n, m);
  }

  void take_changes(node& n, const message& m) {
    const int64_t known = n.directory.revision();
    if (!n.receiver.on_message(m.part.from_revision, known)) {
      if (n.receiver.request_out_of_turn(known, this->now)) this->ask(m.to);
      return;
    }
    const bool changed =
        apply_server_changes(n.directory, m.part.servers, this->now);
    n.directory.advance_revision(m.part.to_revision);
    for (int64_t r = known + 1; r <= n.directory.revision(); ++r) {
      const absl::Time made_at = this->made[static_cast<size_t>(r - 1)];
      n.longest_lag = std::max(n.longest_lag, this->now - made_at);
      this->lags.push_back(this->now - made_at);
    }
    if (changed) this->push(m.to);
  }

  void push(int i) {
    node& n = this->nodes[static_cast<size_t>(i)];
    const change_sender::known_revisions known = {n.directory.revision(), 0};
    for (const auto& next : n.sender.pending_updates(known, this->now)) {
      this->tell(i, std::stoi(next.follower), next.from, false);
    }
  }

  void tell(int i, int to, int64_t from, bool asked) {
    node& n = this->nodes[static_cast<size_t>(i)];
    const int64_t until = n.directory.revision();
    auto changes = server_changes_since(n.directory, from, this->now);
    for (auto& part : split_server_changes(
             std::move(changes), max_changes_per_message, from, until)) {
      n.sender.on_sent(absl::StrCat(to), part.from_revision, part.to_revision,
                       0, this->now);
      this->send({i, to, false, asked, {}, std::move(part)});
    }
  }

  std::vector<node> nodes;
  link way;
  absl::Time now = absl::FromUnixSeconds(1000);
  std::multimap<absl::Time, std::function<void()>> events;
  int64_t last_revision = 0;
  /// When each change was made, by revision less one.
  std::vector<absl::Time> made;
  /// How late each node learned of each change.
  std::vector<absl::Duration> lags;
  size_t sent_changes = 0;
  size_t sent_messages = 0;
};

}  // namespace spokesail::test
