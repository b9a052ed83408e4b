// Load summaries of whole data halls, and direct gossip between nodes of small
// fleets.
#include "remote-gossip.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Minimum time between two messages to one peer.
constexpr absl::Duration min_period = absl::Milliseconds(100);

/// Messages per second that a node sends to nodes of remote halls in all:
/// traffic between halls is expensive, and most requests stay in one hall.
constexpr double remote_messages_per_s = 60;

/// With more nodes than this in remote halls, halls exchange summaries instead:
/// a full mesh would update each node less than four times a second.
constexpr int max_mesh_nodes = 15;

/// Period of a hall's summary, and its age when it reaches the leaves of a
/// relay tree: two levels of relays request updates every 0.18 s each.
constexpr absl::Duration summary_period = absl::Milliseconds(200);
constexpr absl::Duration relayed_age = absl::Milliseconds(500);

/// Period at which callers' demand is sent.
constexpr absl::Duration demand_period = absl::Seconds(1);

/// A node sends its state at least this often, even if it has not changed.
constexpr absl::Duration max_silence = absl::Milliseconds(500);

/// A hall that has sent nothing for this long has no top-ranked node that
/// sends, or is unreachable.
constexpr absl::Duration hall_timeout = absl::Seconds(3);

/// The loads of remote halls that relays forward are stored under this one peer
/// name.
constexpr char relayed_peer[] = "/relayed";

std::string hall_peer(const std::string& hall) { return "/" + hall; }

std::vector<std::string> top_ranked(std::vector<std::string> order) {
  if (order.size() > top_ranked_per_hall) order.resize(top_ranked_per_hall);
  return order;
}

}  // namespace

bool remote_gossip::meshed() const {
  return this->link.count_reachable_peers(true) <= max_mesh_nodes;
}

absl::Duration remote_gossip::mesh_period() const {
  const int count = this->link.count_reachable_peers(true);
  return std::max(min_period, absl::Seconds(count / remote_messages_per_s));
}

gossip remote_gossip::summarize_hall(const gossip& own, absl::Time now) const {
  gossip out = own;
  out.places = this->node.loads.hall_sum(false, now);
  std::vector<std::string> order = this->link.hall_relay_order();
  out.hall_nodes = static_cast<int>(order.size());
  out.hall_contacts = top_ranked(std::move(order));
  return out;
}

std::vector<model_demand> remote_gossip::demand_to_send(bool mesh,
                                                        absl::Time now) const {
  std::vector<model_demand> own = this->node.own_demand.rates(now);
  if (mesh) return own;
  return this->node.demand.hall_sum(this->node.settings.hall, own, now);
}

std::vector<std::string> remote_gossip::top_ranked_of(
    const std::string& hall, const std::vector<relay_candidate>& known,
    absl::Time now) const {
  const auto summary = this->halls.find(hall);
  const bool fresh =
      summary != this->halls.end() && now - summary->second.at < hall_timeout;
  return fresh ? summary->second.contacts : top_ranked(relay_order(known));
}

absl::Duration remote_gossip::receive_period(
    bool mesh, const std::vector<std::string>& contacts) const {
  if (mesh) return std::max(this->mesh_period(), max_silence);
  const bool is_contact = std::find(contacts.begin(), contacts.end(),
                                    this->node.settings.node) != contacts.end();
  return is_contact ? summary_period : absl::InfiniteDuration();
}

void remote_gossip::send_due(const gossip& own, absl::Time now) {
  if (now < this->next) return;
  const bool mesh = this->meshed();
  const absl::Duration period = mesh ? this->mesh_period() : summary_period;
  this->next = now + period;
  this->node.remote_update_period = mesh ? period : relayed_age;
  const std::vector<std::string> contacts =
      top_ranked(this->link.hall_relay_order());
  this->node.remote_halls.set_period(this->receive_period(mesh, contacts), now);
  if (!mesh && contacts.front() != this->node.settings.node) {
    this->send_keep_alive(contacts, now);
    return;
  }
  gossip report = mesh ? own : this->summarize_hall(own, now);
  const bool sends_demand = this->node.settings.groups.follow_demand &&
                            now - this->demand_sent >= demand_period;
  // A hall's summary also shows that the hall can be reached.
  if (mesh && !sends_demand && report == this->last_gossip &&
      now - this->last_sent < max_silence) {
    return;
  }
  this->last_gossip = report;
  this->last_sent = now;
  if (sends_demand) {
    this->demand_sent = now;
    report.demand = this->demand_to_send(mesh, now);
  }
  if (mesh) {
    this->link.send_all(report, true);
  } else {
    this->send_to_contacts(report, now);
  }
}

void remote_gossip::send_to_contacts(const gossip& report, absl::Time now) {
  for (const auto& [hall, known] : this->link.remote_hall_peers()) {
    for (const auto& name : this->top_ranked_of(hall, known, now)) {
      this->link.send(name, report);
    }
  }
}

void remote_gossip::send_keep_alive(const std::vector<std::string>& contacts,
                                    absl::Time now) {
  const bool is_contact = std::find(contacts.begin(), contacts.end(),
                                    this->node.settings.node) != contacts.end();
  if (is_contact) this->send_to_contacts(gossip{}, now);
}

void remote_gossip::handle_gossip(const std::string& peer, const gossip& report,
                                  absl::Time now) {
  const std::string hall = this->link.hall_of(peer);
  this->node.remote_halls.on_heard(hall, now);
  const bool is_keep_alive = !this->meshed() && report == gossip{};
  if (is_keep_alive) return;
  if (report.hall_nodes == 0) {
    this->node.loads.update_peer(peer, report.places, now, true);
    this->node.demand.update_node(peer, hall, report.demand, now);
    return;
  }
  this->node.demand.update_hall(hall, report.demand, now);
  this->halls[hall] = {report.hall_nodes, report.hall_contacts, now};
  this->node.loads.remove_peer(relayed_peer);
  this->node.loads.update_peer(hall_peer(hall), report.places, now, true);
}

bool remote_gossip::heard_directly(absl::Time now) const {
  return std::any_of(this->halls.begin(), this->halls.end(),
                     [&](const auto& item) {
                       return now - item.second.at <= load_table::peer_timeout;
                     });
}

void remote_gossip::apply_relayed(const std::vector<endpoint_load>& loads,
                                  int nodes, absl::Time now) {
  if (this->meshed() || this->heard_directly(now)) return;
  this->relayed_nodes = nodes;
  this->node.loads.update_peer(relayed_peer, loads, now, true);
}

int remote_gossip::nodes(absl::Time now) const {
  if (this->meshed()) return this->link.count_live_remote_peers();
  if (!this->heard_directly(now)) return this->relayed_nodes;
  int sum = 0;
  for (const auto& [hall, summary] : this->halls) {
    if (now - summary.at < hall_timeout) sum += summary.nodes;
  }
  return sum;
}

std::vector<std::string> remote_gossip::lease_candidates(absl::Time now) const {
  const bool mesh = this->meshed();
  std::vector<relay_candidate> candidates = this->link.live_local_peers();
  candidates.push_back({this->node.settings.node, this->node.settings.cores});
  if (!mesh) {
    const auto contacts = top_ranked(relay_order(candidates));
    std::erase_if(candidates, [&](const relay_candidate& c) {
      return std::find(contacts.begin(), contacts.end(), c.name) ==
             contacts.end();
    });
  }
  for (const auto& [hall, peers] : this->link.remote_hall_peers()) {
    const auto contacts = this->top_ranked_of(hall, peers, now);
    for (const auto& node_of_hall : peers) {
      const bool is_contact = std::find(contacts.begin(), contacts.end(),
                                        node_of_hall.name) != contacts.end();
      if (is_contact || mesh) candidates.push_back(node_of_hall);
    }
  }
  return relay_order(std::move(candidates));
}

}  // namespace spokesail
