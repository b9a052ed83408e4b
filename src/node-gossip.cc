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

void node_gossip::take(const std::string& peer, const gossip& said) {
  const absl::Time now = this->node.now();
  if (said.requests_seen) this->node.requests_seen = true;
  if (said.holder) this->apply_holder_state(*said.holder);
  const bool near = this->link.hall_of(peer) == this->node.settings.hall;
  if (near) {
    this->node.loads.update_peer(peer, said.places, now);
    if (this->node.settings.policy.learn_speeds) {
      this->node.speeds.update_peer(peer, said.speeds, now);
    }
    if (this->node.settings.groups.follow_demand) {
      this->node.demand.update_node(peer, this->node.settings.hall, said.demand,
                                    now);
    }
  } else {
    this->far.receive(peer, said, now);
  }
}

void node_gossip::apply_relayed(const store_update& said) {
  if (said.requests_seen) this->node.requests_seen = true;
  if (said.holder) this->apply_holder_state(*said.holder);
  // Only responses carry the load of remote halls.
  if (said.nonce == 0) return;
  this->far.apply_relayed(said.remote_places, said.remote_nodes,
                          this->node.now());
}

void node_gossip::apply_holder_state(const holder_state& said) {
  const auto& known = this->node.last_holder_state;
  if (known && !(said == *known) && !said.newer_than(*known)) return;
  this->node.holder_heard_at = this->node.now();
  if (known && said == *known) return;
  this->node.last_holder_state = said;
  this->node.unresponsive_servers = {said.unresponsive.begin(),
                                     said.unresponsive.end()};
  this->on_lease(said.lease);
}

std::optional<holder_state> node_gossip::current_holder_state() const {
  const auto own = this->own_holder_state();
  return own ? own : this->node.last_holder_state;
}

void node_gossip::fill_update(store_update& out) const {
  const absl::Time now = this->node.now();
  out.holder = this->current_holder_state();
  out.requests_seen = this->node.requests_seen;
  if (out.nonce == 0) return;
  out.remote_places = this->node.loads.hall_sum(true, now);
  out.remote_nodes = this->far.nodes(now);
}

gossip node_gossip::make_gossip() const {
  gossip out;
  out.places = this->node.loads.own();
  out.holder = this->own_holder_state();
  out.requests_seen = this->node.requests_seen;
  return out;
}

void node_gossip::send_local_gossip(gossip said, absl::Time now) {
  const uint64_t begun = this->node.loads.begun();
  const int peers = this->link.count_reachable_peers(false);
  if (!this->local_pace.due(begun, peers, now)) return;
  this->local_pace.on_sent(begun, peers, now);
  said.speeds = this->node.speeds.reported(now);
  const bool tells_demand = this->node.settings.groups.follow_demand &&
                            now - this->demand_sent >= demand_period;
  const bool same = said == this->last_local_gossip;
  if (!tells_demand && same &&
      now - this->local_gossip_sent_at < max_gossip_interval)
    return;
  this->local_gossip_sent_at = now;
  this->last_local_gossip = said;
  if (tells_demand) {
    this->demand_sent = now;
    said.demand = this->node.own_demand.rates(now);
  }
  this->link.send_all(said, false);
}

void node_gossip::send_suspicions(absl::Time now) {
  auto& suspected_servers = this->node.suspected_servers;
  std::erase_if(suspected_servers, [&](const auto& item) {
    return now - item.second >= suspicion_lifetime;
  });
  const bool is_new =
      std::any_of(suspected_servers.begin(), suspected_servers.end(),
                  [&](const auto& item) {
                    return item.second >= this->suspicions_sent_at;
                  });
  if (suspected_servers.empty()) return;
  if (!is_new && now - this->suspicions_sent_at < suspicion_resend_interval)
    return;
  const std::string to = this->holder();
  if (to.empty()) return;
  this->suspicions_sent_at = now;
  suspicion said;
  for (const auto& [id, at] : suspected_servers) said.servers.push_back(id);
  if (to != this->node.settings.node) {
    this->link.send(to, said);
    return;
  }
  for (const auto& id : said.servers) this->on_suspect(id);
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

void node_gossip::count_nodes(absl::Time now) {
  const auto near = static_cast<int>(this->link.live_local_peers().size());
  this->node.live_nodes = 1 + near + this->far.nodes(now);
  // A node that knows peers but receives nothing from any of them may be cut
  // off; its count is then not recorded.
  const bool alone = this->link.listed() && this->link.size() == 0;
  const bool proved = this->node.live_nodes > 1 || alone;
  if (!proved || now - this->node.started < node_count_settle_time) return;
  this->node.fleet.note(this->node.live_nodes, now);
}

net::awaitable<void> node_gossip::run() {
  absl::Time counted = absl::InfinitePast();
  for (;;) {
    const absl::Time now = this->node.now();
    const gossip said = this->make_gossip();
    this->send_local_gossip(said, now);
    this->far.send_due(said, now);
    this->send_suspicions(now);
    this->log_speeds(now);
    if (now - counted >= max_gossip_interval) {
      counted = now;
      this->count_nodes(now);
    }
    co_await this->node.sleep(check_period);
  }
}

}  // namespace spokesail
