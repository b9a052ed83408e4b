// Sums of data halls, and words between single nodes of small fleets.
#include "remote-gossip.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Least time between two messages to one peer.
constexpr absl::Duration min_period = absl::Milliseconds(100);

/// Nodes of other halls are told so many times a second in all: bytes between
/// halls are dear, and most requests stay in one.
constexpr double far_messages_per_s = 60;

/// More nodes than this in other halls are told by sums: each would hear of
/// single nodes less often than four times a second.
constexpr int max_mesh_nodes = 15;

/// Period of a hall's sum, and how old it is at the leaves: two levels of
/// relays ask for it every 0.18 s each.
constexpr absl::Duration summary_period = absl::Milliseconds(200);
constexpr absl::Duration relayed_age = absl::Milliseconds(500);

/// What callers ask for is told this often.
constexpr absl::Duration demand_period = absl::Seconds(1);

/// A node with nothing new to say still says it this often.
constexpr absl::Duration max_silence = absl::Milliseconds(500);

/// A hall that said nothing for this long has no first node, or is cut off.
constexpr absl::Duration hall_timeout = absl::Seconds(3);

/// What relays pass on of the other halls counts as one peer.
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
  return std::max(min_period, absl::Seconds(count / far_messages_per_s));
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
  std::vector<model_demand> asked = this->node.own_demand.rates(now);
  if (mesh) return asked;
  return this->node.demand.hall_sum(this->node.settings.hall, asked, now);
}

std::vector<std::string> remote_gossip::top_ranked_of(
    const std::string& hall, const std::vector<relay_candidate>& known,
    absl::Time now) const {
  const auto word = this->halls.find(hall);
  const bool fresh =
      word != this->halls.end() && now - word->second.at < hall_timeout;
  return fresh ? word->second.firsts : top_ranked(relay_order(known));
}

void remote_gossip::send_due(const gossip& own, absl::Time now) {
  if (now < this->next) return;
  const bool mesh = this->meshed();
  const absl::Duration period = mesh ? this->mesh_period() : summary_period;
  this->next = now + period;
  this->node.remote_update_period = mesh ? period : relayed_age;
  if (!mesh &&
      this->link.hall_relay_order().front() != this->node.settings.node) {
    return;
  }
  gossip said = mesh ? own : this->summarize_hall(own, now);
  const bool tells_demand = this->node.settings.groups.follow_demand &&
                            now - this->demand_sent >= demand_period;
  if (!tells_demand && said == this->last_gossip &&
      now - this->last_sent < max_silence) {
    return;
  }
  this->last_gossip = said;
  this->last_sent = now;
  if (tells_demand) {
    this->demand_sent = now;
    said.demand = this->demand_to_send(mesh, now);
  }
  if (mesh) {
    this->link.send_all(said, true);
    return;
  }
  for (const auto& [hall, known] : this->link.remote_hall_peers()) {
    for (const auto& name : this->top_ranked_of(hall, known, now)) {
      this->link.send(name, said);
    }
  }
}

void remote_gossip::handle_gossip(const std::string& peer, const gossip& said,
                                  absl::Time now) {
  const std::string hall = this->link.hall_of(peer);
  if (said.hall_nodes == 0) {
    this->node.loads.update_peer(peer, said.places, now, true);
    this->node.demand.update_node(peer, hall, said.demand, now);
    return;
  }
  this->node.demand.update_hall(hall, said.demand, now);
  this->halls[hall] = {said.hall_nodes, said.hall_contacts, now};
  this->node.loads.remove_peer(relayed_peer);
  this->node.loads.update_peer(hall_peer(hall), said.places, now, true);
}

bool remote_gossip::heard_directly(absl::Time now) const {
  return std::any_of(this->halls.begin(), this->halls.end(),
                     [&](const auto& item) {
                       return now - item.second.at <= load_table::peer_timeout;
                     });
}

void remote_gossip::apply_relayed(const std::vector<endpoint_load>& places,
                                  int nodes, absl::Time now) {
  if (this->meshed() || this->heard_directly(now)) return;
  this->relayed_nodes = nodes;
  this->node.loads.update_peer(relayed_peer, places, now, true);
}

int remote_gossip::nodes(absl::Time now) const {
  if (this->meshed()) return this->link.count_live_remote_peers();
  if (!this->heard_directly(now)) return this->relayed_nodes;
  int sum = 0;
  for (const auto& [hall, word] : this->halls) {
    if (now - word.at < hall_timeout) sum += word.nodes;
  }
  return sum;
}

std::vector<std::string> remote_gossip::lease_candidates(absl::Time now) const {
  const bool mesh = this->meshed();
  std::vector<relay_candidate> all = this->link.live_local_peers();
  all.push_back({this->node.settings.node, this->node.settings.cores});
  if (!mesh) {
    const auto firsts = top_ranked(relay_order(all));
    std::erase_if(all, [&](const relay_candidate& c) {
      return std::find(firsts.begin(), firsts.end(), c.name) == firsts.end();
    });
  }
  for (const auto& [hall, known] : this->link.remote_hall_peers()) {
    const auto firsts = this->top_ranked_of(hall, known, now);
    for (const auto& node_of_hall : known) {
      const bool first = std::find(firsts.begin(), firsts.end(),
                                   node_of_hall.name) != firsts.end();
      if (first || mesh) all.push_back(node_of_hall);
    }
  }
  return relay_order(std::move(all));
}

}  // namespace spokesail
