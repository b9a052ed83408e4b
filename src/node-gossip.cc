#include "node-gossip.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Interval at which a node checks whether it has something to send. Bounds the
/// delay of a suspicion.
constexpr absl::Duration check_period = absl::Milliseconds(25);

/// Maximum time between two gossip messages, even if nothing has changed.
constexpr absl::Duration max_gossip_interval = absl::Milliseconds(500);

/// Interval at which a node sends the demand of its callers.
constexpr absl::Duration demand_period = absl::Seconds(1);

/// Time after the start during which the number of live nodes is not recorded:
/// the nodes on the store's list count as alive until nothing was received from
/// them for some seconds.
constexpr absl::Duration node_count_settle_time = absl::Seconds(4);

/// How long suspicions are sent, and the interval at which they are repeated: a
/// datagram may be lost, and the holder may change.
constexpr absl::Duration suspicion_lifetime = absl::Milliseconds(1500);
constexpr absl::Duration suspicion_resend_interval = absl::Milliseconds(400);

}  // namespace

void node_gossip::handle_gossip(const std::string& peer,
                                const gossip& message) {
  const absl::Time now = this->node.now();
  if (message.requests_seen) this->node.requests_seen = true;
  if (message.servers_unreachable)
    this->node.reachability.demote_proxy(peer, this->node.now());
  if (message.holder) this->apply_holder_part(*message.holder);
  const bool is_local = this->link.hall_of(peer) == this->node.settings.hall;
  if (is_local) {
    this->node.loads.update_peer(peer, message.places, now);
    if (this->node.settings.policy.learn_speeds) {
      this->node.speeds.update_peer(peer, message.speeds, now);
    }
    if (this->node.settings.groups.follow_demand) {
      this->node.demand.update_node(peer, this->node.settings.hall,
                                    message.demand, now);
    }
  } else {
    this->remote.handle_gossip(peer, message, now);
  }
}

void node_gossip::apply_relayed(const store_update& update) {
  if (update.requests_seen) this->node.requests_seen = true;
  if (update.holder) this->apply_holder_part(*update.holder);
  // Only responses carry the load of remote halls.
  if (update.nonce == 0) return;
  const absl::Time now = this->node.now();
  this->node.remote_halls.on_relayed(
      {update.silent_halls, now - update.silent_halls_age});
  this->remote.apply_relayed(update.remote_places, update.remote_nodes, now);
}

void node_gossip::apply_holder_part(const holder_part& part) {
  const auto assembled = this->received_holder.add(part);
  if (!assembled) return;
  const holder_state& state = *assembled;
  const auto& last_state = this->node.last_holder_state;
  if (last_state && !(state == *last_state) && !state.newer_than(*last_state))
    return;
  this->node.holder_heard_at = this->node.now();
  if (last_state && state == *last_state) return;
  this->node.last_holder_state = state;
  this->node.unresponsive_servers = {state.unresponsive.begin(),
                                     state.unresponsive.end()};
  this->on_lease(state.lease);
}

std::optional<holder_state> node_gossip::current_holder_state() const {
  const auto own = this->own_holder_state();
  return own ? own : this->node.last_holder_state;
}

void node_gossip::fill_update(store_update& out) const {
  const absl::Time now = this->node.now();
  out.requests_seen = this->node.requests_seen;
  if (out.nonce == 0) return;
  out.remote_places = this->node.loads.hall_sum(true, now);
  out.remote_nodes = this->remote.nodes(now);
  const silent_halls silent = this->node.remote_halls.silent(now);
  out.silent_halls = silent.halls;
  out.silent_halls_age = now - silent.as_of;
}

gossip node_gossip::make_gossip() const {
  gossip out;
  out.places = this->node.loads.own_loads();
  const auto own = this->own_holder_state();
  if (own) out.holder = inline_holder_state(*own);
  out.requests_seen = this->node.requests_seen;
  out.servers_unreachable = this->node.reachability.in_doubt(this->node.now());
  return out;
}

void node_gossip::send_local_gossip(gossip message, absl::Time now) {
  const uint64_t requests_sent = this->node.loads.requests_begun();
  const int peers = this->link.count_reachable_peers(false);
  if (!this->local_pace.due(requests_sent, peers, now)) return;
  this->local_pace.on_sent(requests_sent, peers, now);
  message.speeds = this->node.speeds.reported(now);
  const bool demand_due = this->node.settings.groups.follow_demand &&
                          now - this->demand_sent >= demand_period;
  const bool unchanged = message == this->last_local_gossip;
  if (!demand_due && unchanged &&
      now - this->local_gossip_sent_at < max_gossip_interval)
    return;
  this->local_gossip_sent_at = now;
  this->last_local_gossip = message;
  if (demand_due) {
    this->demand_sent = now;
    message.demand = this->node.own_demand.rates(now);
  }
  this->link.send_all(message, false);
}

void node_gossip::send_suspicions(absl::Time now) {
  auto& suspected = this->node.suspected_servers;
  std::erase_if(suspected, [&](const auto& item) {
    return now - item.second >= suspicion_lifetime;
  });
  const bool has_new =
      std::any_of(suspected.begin(), suspected.end(), [&](const auto& item) {
        return item.second >= this->suspicions_sent_at;
      });
  if (suspected.empty()) return;
  if (!has_new && now - this->suspicions_sent_at < suspicion_resend_interval)
    return;
  const std::string holder_name = this->holder();
  if (holder_name.empty()) return;
  this->suspicions_sent_at = now;
  suspicion message;
  for (const auto& [id, at] : suspected) message.servers.push_back(id);
  if (holder_name != this->node.settings.node) {
    this->link.send(holder_name, message);
    return;
  }
  for (const auto& id : message.servers) this->on_suspect(id);
}

void node_gossip::log_speeds(absl::Time now) {
  for (const auto& [speed, age] : this->node.speeds.take_changes()) {
    const bool slow = speed.slowness > 1;
    this->node.log.state_change(
        slow ? "group_slow" : "group_fast_again",
        {{"place", speed.endpoint},
         {"slowness", absl::StrCat(speed.slowness)},
         {"samples", absl::StrCat(speed.samples)},
         {"age_ms", age == absl::InfiniteDuration()
                        ? "none"
                        : absl::StrCat(absl::ToInt64Milliseconds(age))}},
        now);
  }
}

void node_gossip::update_hall_size(absl::Time now) {
  const int peers = this->link.count_reachable_peers(false);
  const absl::Duration lifetime = gossip_pacer::report_lifetime(peers);
  this->node.loads.set_local_lifetime(lifetime);
  this->node.speeds.set_peer_lifetime(lifetime);
  this->link.table().set_silence_timeout(gossip_pacer::silence_timeout(peers));
  const auto local_nodes =
      static_cast<int>(this->link.live_local_peers().size());
  this->node.live_nodes = 1 + local_nodes + this->remote.nodes(now);
  // A node that knows peers but receives nothing from any of them may be cut
  // off; its count is then not recorded.
  const bool no_peers = this->link.listed() && this->link.size() == 0;
  const bool reliable = this->node.live_nodes > 1 || no_peers;
  if (!reliable || now - this->node.started < node_count_settle_time) return;
  this->node.fleet.record(this->node.live_nodes, now);
}

net::awaitable<void> node_gossip::run() {
  absl::Time last_count = absl::InfinitePast();
  for (;;) {
    const absl::Time now = this->node.now();
    const gossip message = this->make_gossip();
    this->send_local_gossip(message, now);
    this->remote.send_due(message, now);
    this->send_suspicions(now);
    this->log_speeds(now);
    if (now - last_count >= max_gossip_interval) {
      last_count = now;
      this->update_hall_size(now);
    }
    co_await this->node.sleep(check_period);
  }
}

}  // namespace spokesail
