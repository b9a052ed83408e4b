// Requests to relays, and updates for followers.
#include "store-relay.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "evacuation-feed.h"
#include "server-changes.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Request period. Changes are pushed without a request; requests recover lost
/// ones and confirm the age of the configuration.
constexpr absl::Duration request_period = absl::Milliseconds(180);

/// A node that has started chooses its first relay once it has the list of its
/// peers, or after this long, and checks for the list at this interval.
constexpr absl::Duration first_choice_timeout = absl::Milliseconds(400);
constexpr absl::Duration first_choice_step = absl::Milliseconds(20);

/// A node that has started receives all servers from its relay, which spreads
/// 0.4 MB for each of 300 nodes over the relays' links instead of the store's
/// alone; a node that has not received them by then lists them. Listing them
/// from the store for all nodes took 1.1 s on a 1 Gbit/s link.
constexpr absl::Duration first_update_timeout = absl::Milliseconds(1200);

/// A relay that left this many requests unanswered is not used for a while. Two
/// of them, 0.36 s, are often within the delay of a relay that shares an eighth
/// of a core with its callers.
constexpr int max_missed = 3;
constexpr absl::Duration silent_exclusion = absl::Seconds(5);

/// A node whose event loop was this late does not count a missing response
/// against its relay: it may not have read it yet.
constexpr absl::Duration max_loop_delay = absl::Milliseconds(90);

/// A relay with stale data is tried again after this long: the store may
/// be unreachable, and then the relay is the first to notice its return.
constexpr absl::Duration stale_exclusion = absl::Milliseconds(1200);

/// Ages above this are sent as this one, for a node that knows nothing.
constexpr absl::Duration max_wire_age = absl::Hours(1);

/// An age as sent in messages: in whole milliseconds, rounded up.
absl::Duration wire_age(absl::Duration age) {
  return std::min(age, max_wire_age) + absl::Milliseconds(1);
}

}  // namespace

relay_view store_relay::view() const {
  relay_view out;
  out.self = {this->node.settings.node, this->node.settings.cores};
  out.hall_peers = this->link.live_local_peers();
  const std::string holder_name = this->holder();
  const std::string holder_hall = this->link.hall_of(holder_name);
  const bool is_holder = holder_name == out.self.name;
  if (is_holder || !holder_hall.empty()) out.holder = holder_name;
  out.holder_in_hall = is_holder || holder_hall == this->node.settings.hall;
  for (const auto& [name, until] : this->excluded_until) {
    if (this->node.now() < until) out.excluded.insert(name);
  }
  return out;
}

relay_choice store_relay::choose() const { return choose_relay(this->view()); }

bool store_relay::watches_store() const {
  if (this->holder() == this->node.settings.node) return true;
  // A node that has just started has not chosen a relay yet and waits for its
  // list of peers.
  if (this->relay.empty()) return false;
  if (this->relay == this->node.settings.node) return true;
  snapshot_age known = this->node.age();
  // An update that the relay is about to send is not late yet.
  if (this->expects_servers()) known.servers = absl::ZeroDuration();
  if (this->expects_evacuations()) known.evacuations = absl::ZeroDuration();
  const staleness_bounds& bounds = this->node.settings.bounds;
  if (must_watch_store(known, bounds, {this->confirmed, false})) return true;
  // Whether other nodes may use this one as a relay depends on the whole hall,
  // and this function is called for each message.
  return must_watch_store(known, bounds, {this->confirmed, true}) &&
         this->may_have_followers();
}

bool store_relay::expects_config() const {
  if (this->node.config_revision != 0) return false;
  const bool has_relay = this->relay != this->node.settings.node;
  return this->awaits_first_update() || (this->confirmed && has_relay);
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

std::optional<holder_part> store_relay::send_holder_state(
    const std::string& peer, const holder_position& has_state) {
  const auto state = this->holder_state_known();
  if (!state) return std::nullopt;
  if (state->position() == has_state) return without_servers(*state);
  this->follower_holder_positions[peer] = state->position();
  const std::vector<holder_part> parts = split_holder_state(*state);
  for (size_t i = 1; i < parts.size(); ++i) this->link.send(peer, parts[i]);
  return parts.front();
}

void store_relay::send_update(const std::string& peer, int64_t from,
                              uint64_t nonce,
                              const holder_position& has_state) {
  store_update out;
  out.nonce = nonce;
  out.config_revision = this->node.config_revision;
  const snapshot_age age = this->node.age();
  out.config_age = wire_age(age.config);
  out.servers_age = wire_age(age.servers);
  if (this->node.evacuations.known()) {
    out.evacuations = this->node.evacuations.snapshot(this->node.now());
    out.evacuations->age = wire_age(age.evacuations);
  }
  // A node that does not watch the store learns its state only from relays.
  out.store_reachable = this->node.store_reachable || !this->watches_store();
  this->fill_update(out);
  out.holder = this->send_holder_state(peer, has_state);
  const int64_t last_revision = this->node.directory.revision();
  const absl::Time now = this->node.now();
  for (auto& batch :
       make_server_batches(this->node.directory, from, batch_limits{}, now)) {
    const int64_t to = batch.to_revision;
    out.all_servers = this->node.directory_listed && to == last_revision;
    this->sender.on_sent(peer, batch.range ? from : batch.from_revision, to,
                         out.config_revision, now);
    out.servers = std::move(batch);
    this->link.send(peer, out);
    // Further messages of the same update need not repeat it.
    if (out.holder) out.holder = without_servers(out.holder->state);
  }
}

change_sender::known_revisions store_relay::known() const {
  return {this->node.directory.revision(), this->node.config_revision};
}

void store_relay::handle_request(const std::string& peer,
                                 const store_update_request& request) {
  const int64_t from =
      this->sender.on_request(peer, request.servers, this->node.now());
  this->follower_holder_positions[peer] = request.holder;
  this->send_update(peer, from, request.nonce, request.holder);
}

void store_relay::record_config_verified() {
  this->node.config_verified_at =
      std::max(this->node.config_verified_at,
               this->announced.take_verified_at(this->node.config_revision));
}

void store_relay::push() {
  this->record_config_verified();
  for (const auto& next :
       this->sender.pending_updates(this->known(), this->node.now())) {
    this->send_update(next.follower, next.from, 0,
                      this->follower_holder_positions[next.follower]);
  }
}

bool store_relay::is_fresh() const {
  const bool reachable = this->node.store_reachable || !this->watches_store();
  return reachable &&
         !relay_stale(this->node.age(), this->node.settings.bounds);
}

void store_relay::announce_recovery() {
  const bool fresh = this->is_fresh();
  if (fresh == this->announced_fresh) return;
  this->announced_fresh = fresh;
  if (!fresh) return;
  for (const auto& next : this->sender.all_followers(this->node.now())) {
    this->send_update(next.follower, next.from, 0,
                      this->follower_holder_positions[next.follower]);
  }
}

void store_relay::readmit_relay(const std::string& peer,
                                const store_update& update) {
  const auto excluded = this->excluded_until.find(peer);
  const bool stale = relay_stale({update.config_age, update.servers_age},
                                 this->node.settings.bounds);
  if (excluded == this->excluded_until.end() || !update.store_reachable ||
      stale || this->is_fresh()) {
    return;
  }
  this->excluded_until.erase(excluded);
  if (this->search.try_next()) this->request_update();
}

bool store_relay::accept_response(const std::string& peer,
                                  const store_update& update) {
  if (peer != this->relay || update.nonce != this->nonce) return false;
  this->answered = true;
  this->missed = 0;
  // A relay that has just started itself knows nothing yet.
  if (!this->node.directory_listed && !update.all_servers &&
      update.servers.changes.empty()) {
    return false;
  }
  // Nor does one that has not read the configuration yet.
  if (this->awaits_first_update() && update.config_age > max_wire_age)
    return false;
  snapshot_age age = {update.config_age, update.servers_age};
  if (update.evacuations) age.evacuations = update.evacuations->age;
  const bool stale = relay_stale(age, this->node.settings.bounds);
  if (!update.store_reachable || stale) {
    this->exclude_relay(peer, stale_exclusion, "its own state is stale");
    if (this->search.try_next()) this->request_update();
    return false;
  }
  this->confirmed = true;
  this->announced.add(update.config_revision,
                      verified_by_relay(this->requested_at, update.config_age));
  this->record_config_verified();
  return true;
}

void store_relay::handle_update(const std::string& peer,
                                const store_update& update) {
  const bool requested = update.nonce != 0;
  this->on_update(update);
  this->apply_evacuated_halls(peer, update);
  if (!requested) this->readmit_relay(peer, update);
  if (requested && !this->accept_response(peer, update)) return;
  if (update.config_revision > this->node.config_revision) {
    this->config_peer = peer;
    this->on_config(update.config_revision);
  }
  this->apply_servers(peer, update);
  this->announce_recovery();
}

bool store_relay::answers_last_request(const std::string& peer,
                                       const store_update& update) const {
  return peer == this->relay && update.nonce != 0 &&
         update.nonce == this->nonce;
}

void store_relay::apply_evacuated_halls(const std::string& peer,
                                        const store_update& update) {
  if (!update.evacuations || !this->node.settings.bounds.evacuate_deadline)
    return;
  const absl::Time as_of = this->answers_last_request(peer, update)
                               ? this->requested_at
                               : absl::InfinitePast();
  apply_evacuations(this->node, *update.evacuations, as_of, peer);
}

void store_relay::apply_servers(const std::string& peer,
                                const store_update& update) {
  const server_change_batch& batch = update.servers;
  const batch_result result = apply_server_batch(
      this->node.directory, this->receiver, batch, this->node.now());
  if (result == batch_result::missing_changes) {
    this->report_gap(peer, update);
    this->request_missing();
    return;
  }
  const int64_t as_of = batch.range ? batch.range->revision : batch.to_revision;
  const bool has_all = this->node.directory.revision() >= as_of;
  if (has_all && (update.all_servers || batch.range)) {
    this->node.directory_listed = true;
    this->record_servers_verified(update);
  }
  if (result != batch_result::changed) return;
  this->node.invalidate_group_cache();
  this->node.log.state_change("servers_changed",
                              {{"relay", peer},
                               {"count", absl::StrCat(batch.changes.size())},
                               {"rev", absl::StrCat(batch.as_of())},
                               {"list", batch.range ? "1" : "0"}},
                              this->node.now());
  if (this->on_servers) this->on_servers();
}

void store_relay::record_servers_verified(const store_update& update) {
  // A message that was not requested may have been in transit for any time.
  if (update.nonce == 0 || update.nonce != this->nonce) return;
  this->node.servers_verified_at =
      std::max(this->node.servers_verified_at,
               verified_by_relay(this->requested_at, update.servers_age));
}

void store_relay::report_gap(const std::string& peer,
                             const store_update& update) {
  this->node.metrics.count_update_event("gap");
  this->node.log.state_change(
      "news_gap",
      {{"relay", peer},
       {"known", absl::StrCat(this->node.directory.revision())},
       {"from", absl::StrCat(update.servers.from_revision)},
       {"to", absl::StrCat(update.servers.to_revision)},
       {"removals_since", absl::StrCat(update.servers.removals_since)},
       {"asked", update.nonce != 0 ? "1" : "0"}},
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
  const bool no_relay = this->relay == this->node.settings.node;
  if (no_relay) return;
  this->answered = false;
  this->requested_at = this->node.now();
  ++this->nonce;
  this->send_request();
}

void store_relay::send_request() {
  const int64_t known_revision = this->node.directory.revision();
  const auto state = this->holder_state_known();
  const store_update_request request{
      this->nonce, this->receiver.position(known_revision),
      state ? state->position() : holder_position{}};
  this->link.send(this->relay, request);
}

void store_relay::request_missing() {
  const bool no_relay =
      this->relay.empty() || this->relay == this->node.settings.node;
  if (no_relay) return;
  const int64_t known_revision = this->node.directory.revision();
  if (!this->receiver.request_out_of_turn(known_revision, this->node.now()))
    return;
  this->node.metrics.count_update_event("asked_at_once");
  // Reuses the nonce of the last regular request, so that the response to that
  // one, which may be in transit, still counts. Ages then count from the
  // earlier request, so no data appears fresher than it is.
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
    const bool loop_late = this->node.loop_delay > max_loop_delay;
    if (!this->answered && !loop_late && ++this->missed >= max_missed) {
      this->exclude_relay(this->relay, silent_exclusion, "does not answer");
    }
    this->search.begin_period();
    this->announce_recovery();
    this->request_update();
  }
}

}  // namespace spokesail
