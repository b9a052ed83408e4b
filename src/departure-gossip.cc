#include "departure-gossip.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Period of the gossip rounds. A fleet of 295 nodes needs about ten, which
/// take a fraction of the time for which a leaving server still serves.
constexpr absl::Duration round_period = absl::Milliseconds(50);

}  // namespace

void departure_gossip::handle_update(const std::string& peer,
                                     const departure_update& update) {
  for (const server_instance& server : update.servers) {
    if (!this->node.mark_leaving(server)) continue;
    this->node.log.state_change("server_leaving_heard",
                                {{"server", server.server}, {"peer", peer}},
                                this->node.now());
  }
}

void departure_gossip::send_round() {
  const std::vector<std::string> peers = this->link.reachable_peers();
  if (peers.empty()) return;
  for (const auto& server : this->node.directory.take_departures()) {
    this->rounds.add(server, peers.size());
  }
  const departure_update update{this->rounds.next_round(max_servers)};
  if (update.servers.empty()) return;
  for (const auto& peer : this->rounds.draw_peers(peers, this->node.random)) {
    this->link.send(peer, update);
  }
}

net::awaitable<void> departure_gossip::run() {
  for (;;) {
    if (this->node.directory.has_departures() || !this->rounds.empty()) {
      this->send_round();
    }
    co_await this->node.sleep(round_period);
  }
}

}  // namespace spokesail
