// Questions to relays, and answers to those that ask this node.
#include "store-relay.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "evacuation-feed.h"
#include "server-changes.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// How often a node asks its relay. Changes are passed on unasked; asking
/// finds those that got lost and proves how old the configuration is.
constexpr absl::Duration request_period = absl::Milliseconds(180);

/// A node that has started chooses its first relay once it has the list of its
/// peers, or after this long, and looks for the list this often.
constexpr absl::Duration first_choice_timeout = absl::Milliseconds(400);
constexpr absl::Duration first_choice_step = absl::Milliseconds(20);

/// A node that has started hears of all servers from its relay, which spreads
/// 0.4 MB for each of 300 nodes over their links instead of the store's alone;
/// one that has not by then lists them. A list for everybody from the store
/// took 1.1 s with a link of 1 Gbit/s.
constexpr absl::Duration first_update_timeout = absl::Milliseconds(1200);

/// A relay that left this many questions unanswered is passed over. Two of
/// them, 0.36 s, are often the delay of a relay that shares an eighth of a core
/// with its callers.
constexpr int max_missed = 3;
constexpr absl::Duration silent_exclusion = absl::Seconds(5);

/// A node whose loop was this late takes no missing answer for a relay's
/// silence: it may not have read it yet.
constexpr absl::Duration max_loop_delay = absl::Milliseconds(90);

/// A relay without fresh news is asked again after this long: the store may be
/// away, and then it is the first to know of its return.
constexpr absl::Duration stale_exclusion = absl::Milliseconds(1200);

/// Changes that one datagram holds, about 20 KB.
constexpr size_t max_changes_per_message = 200;

/// An age as messages hold it, in whole milliseconds and never too small.
absl::Duration wire_age(absl::Duration age) {
  return std::min(age, absl::Hours(1)) + absl::Milliseconds(1);
}

}  // namespace

relay_view store_relay::view() const {
  relay_view out;
  out.self = {this->node.settings.node, this->node.settings.cores};
  out.hall_peers = this->link.live_local_peers();
  const std::string holder_name = this->holder();
  const std::string holder_hall = this->link.hall_of(holder_name);
  const bool own = holder_name == out.self.name;
  if (own || !holder_hall.empty()) out.holder = holder_name;
  out.holder_in_hall = own || holder_hall == this->node.settings.hall;
  for (const auto& [name, until] : this->excluded_until) {
    if (this->node.now() < until) out.excluded.insert(name);
  }
  return out;
}

relay_choice store_relay::choose() const { return choose_relay(this->view()); }

bool store_relay::watches_store() const {
  if (this->holder() == this->node.settings.node) return true;
  // A node that has just started has listed everything and waits for peers.
  if (this->relay.empty()) return false;
  if (this->relay == this->node.settings.node) return true;
  news_age known = this->node.age();
  // What its relay is about to tell is not late yet.
  if (this->expects_servers()) known.servers = absl::ZeroDuration();
  if (this->expects_evacuations()) known.evacuations = absl::ZeroDuration();
  const staleness_bounds& bounds = this->node.settings.bounds;
  if (must_watch_store(known, bounds, {this->confirmed, false})) return true;
  // Whether others hear from this node takes a look at its whole hall, and this
  // is asked for each message.
  return must_watch_store(known, bounds, {this->confirmed, true}) &&
         this->may_have_followers();
}

bool store_relay::expects_servers() const {
  return !this->node.directory_listed && this->awaits_first_update();
}

bool store_relay::expects_evacuations() const {
  return !this->node.evacuations_known() && this->awaits_first_update();
}

bool store_relay::awaits_first_update() const {
  if (this->node.now() - this->started > first_update_timeout) return false;
  return this->relay != this->node.settings.node;
}

bool store_relay::may_have_followers() const {
  return this->choose().top_ranked;
}

void store_relay::exclude_relay(const std::string& peer, absl::Duration time,
                                const char* why) {
  this->excluded_until[peer] = this->node.now() + time;
  this->node.log.state_change("relay_failed", {{"peer", peer}, {"why", why}},
                              this->node.now());
}

void store_relay::send_update(const std::string& peer, int64_t from,
                              uint64_t nonce) {
  store_update out;
  out.nonce = nonce;
  out.config_revision = this->node.config_revision;
  const news_age age = this->node.age();
  out.config_age = wire_age(age.config);
  out.servers_age = wire_age(age.servers);
  if (this->node.evacuations.known()) {
    out.evacuations = this->node.evacuations.snapshot(this->node.now());
    out.evacuations->age = wire_age(age.evacuations);
  }
  // Who does not watch the store knows nothing of it but what it hears.
  out.store_reachable = this->node.store_reachable || !this->watches_store();
  this->fill_update(out);
  auto changes =
      server_changes_since(this->node.directory, from, this->node.now());
  const int64_t to = this->node.directory.revision();
  for (auto& part : split_server_changes(std::move(changes),
                                         max_changes_per_message, from, to)) {
    out.from_revision = part.from_revision;
    out.to_revision = part.to_revision;
    out.servers = std::move(part.servers);
    out.all_servers = this->node.directory_listed && part.to_revision == to;
    this->link.send(peer, out);
    this->sender.on_sent(peer, out.from_revision, out.to_revision,
                         out.config_revision, this->node.now());
  }
}

change_sender::known_revisions store_relay::known() const {
  return {this->node.directory.revision(), this->node.config_revision};
}

void store_relay::handle_request(const std::string& peer,
                                 const store_update_request& request) {
  const int64_t from =
      this->sender.on_request(peer, request.servers, this->node.now());
  this->send_update(peer, from, request.nonce);
}

void store_relay::push() {
  for (const auto& next :
       this->sender.pending_updates(this->known(), this->node.now())) {
    this->send_update(next.follower, next.from, 0);
  }
}

bool store_relay::accept_response(const std::string& peer,
                                  const store_update& said) {
  if (peer != this->relay || said.nonce != this->nonce) return false;
  this->answered = true;
  this->missed = 0;
  // A relay that has just started itself knows nothing yet.
  if (!this->node.directory_listed && !said.all_servers &&
      said.servers.empty()) {
    return false;
  }
  news_age age = {said.config_age, said.servers_age};
  if (said.evacuations) age.evacuations = said.evacuations->age;
  const bool outdated = relay_stale(age, this->node.settings.bounds);
  if (!said.store_reachable || outdated) {
    this->exclude_relay(peer, stale_exclusion, "its own news are old");
    this->request_update();
    return false;
  }
  this->confirmed = true;
  // A relay that is behind for a moment proves nothing; one that stays behind
  // lets this node's own proof grow old.
  if (said.config_revision == this->node.config_revision) {
    this->node.config_verified_at = std::max(
        this->node.config_verified_at, this->requested_at - said.config_age);
  }
  return true;
}

void store_relay::handle_update(const std::string& peer,
                                const store_update& said) {
  const bool asked_for = said.nonce != 0;
  this->on_update(said);
  this->apply_evacuated_halls(peer, said);
  if (asked_for && !this->accept_response(peer, said)) return;
  if (said.config_revision > this->node.config_revision) {
    this->config_peer = peer;
    this->on_config(said.config_revision);
  }
  this->apply_servers(peer, said);
}

bool store_relay::answers_last_request(const std::string& peer,
                                       const store_update& said) const {
  return peer == this->relay && said.nonce != 0 && said.nonce == this->nonce;
}

void store_relay::apply_evacuated_halls(const std::string& peer,
                                        const store_update& said) {
  if (!said.evacuations || !this->node.settings.bounds.evacuate_deadline)
    return;
  const absl::Time as_of = this->answers_last_request(peer, said)
                               ? this->requested_at
                               : absl::InfinitePast();
  apply_evacuations(this->node, *said.evacuations, as_of, peer);
}

void store_relay::apply_servers(const std::string& peer,
                                const store_update& said) {
  // Changes apply only to who has all those before.
  const int64_t known = this->node.directory.revision();
  if (!this->receiver.on_message(said.from_revision, known)) {
    this->report_gap(peer, said);
    this->request_missing();
    return;
  }
  const bool changed = apply_server_changes(this->node.directory, said.servers,
                                            this->node.now());
  this->node.directory.advance_revision(said.to_revision);
  if (said.all_servers) {
    this->node.directory_listed = true;
    this->record_servers_verified(said);
  }
  if (!changed) return;
  this->node.invalidate_group_cache();
  this->node.log.state_change("servers_changed",
                              {{"relay", peer},
                               {"count", absl::StrCat(said.servers.size())},
                               {"rev", absl::StrCat(said.to_revision)}},
                              this->node.now());
  if (this->on_servers) this->on_servers();
}

void store_relay::record_servers_verified(const store_update& said) {
  // What comes unasked may have been on its way for any time.
  if (said.nonce == 0 || said.nonce != this->nonce) return;
  this->node.servers_verified_at = std::max(
      this->node.servers_verified_at, this->requested_at - said.servers_age);
}

void store_relay::report_gap(const std::string& peer,
                             const store_update& said) {
  this->node.metrics.count_update_event("gap");
  this->node.log.state_change(
      "news_gap",
      {{"relay", peer},
       {"known", absl::StrCat(this->node.directory.revision())},
       {"from", absl::StrCat(said.from_revision)},
       {"to", absl::StrCat(said.to_revision)},
       {"asked", said.nonce != 0 ? "1" : "0"}},
      this->node.now());
}

void store_relay::request_update() {
  const std::string chosen = this->choose().upstream;
  if (chosen != this->relay) {
    this->missed = 0;
    this->confirmed = false;
    this->node.log.state_change("relay_chosen", {{"peer", chosen}},
                                this->node.now());
  }
  this->relay = chosen;
  this->answered = true;
  const bool alone = this->relay == this->node.settings.node;
  if (alone) return;
  this->answered = false;
  this->requested_at = this->node.now();
  ++this->nonce;
  this->send_request();
}

void store_relay::send_request() {
  const int64_t known = this->node.directory.revision();
  const store_update_request asked{this->nonce, this->receiver.position(known)};
  this->link.send(this->relay, asked);
}

void store_relay::request_missing() {
  const bool alone =
      this->relay.empty() || this->relay == this->node.settings.node;
  if (alone) return;
  const int64_t known = this->node.directory.revision();
  if (!this->receiver.request_out_of_turn(known, this->node.now())) return;
  this->node.metrics.count_update_event("asked_at_once");
  // Under the nonce of the last regular question, so that its answer, which may
  // be on its way, still counts, and no proof seems younger than it is.
  this->send_request();
}

net::awaitable<void> store_relay::run() {
  while (!this->link.listed() &&
         this->node.now() - this->started < first_choice_timeout) {
    co_await this->node.sleep(first_choice_step);
  }
  this->request_update();
  for (;;) {
    co_await this->node.sleep(request_period);
    const bool excused = this->node.loop_delay > max_loop_delay;
    if (!this->answered && !excused && ++this->missed >= max_missed) {
      this->exclude_relay(this->relay, silent_exclusion, "does not answer");
    }
    this->request_update();
  }
}

}  // namespace spokesail
