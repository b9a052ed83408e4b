#include "peer-link.h"

#include <absl/strings/str_cat.h>

#include "detail/socket.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
using net::ip::udp;

/// Maximum size of a datagram in bytes.
constexpr size_t max_datagram_bytes = 60000;

/// For how long the numbers of reachable peers are kept; they are needed more
/// often than they change.
constexpr absl::Duration count_lifetime = absl::Milliseconds(200);

peer_info describe_self(const node_settings& settings) {
  return {settings.node, settings.peer_address, settings.hall, settings.cores};
}

std::string to_address(const udp::endpoint& endpoint) {
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

}  // namespace

peer_link::peer_link(node_context& state)
    : node(state),
      socket(state.loop),
      boot(state.random.engine()),
      peers(describe_self(state.settings)) {
  boost::system::error_code error;
  const auto endpoint = parse_endpoint(state.settings.peer_address, error);
  this->socket.open(udp::v4());
  this->socket.bind(udp::endpoint(endpoint.address(), endpoint.port()));
}

std::vector<relay_candidate> peer_link::live_local_peers() const {
  return this->peers.live_local_peers(this->node.now());
}

std::vector<std::string> peer_link::hall_relay_order() const {
  std::vector<relay_candidate> nodes = this->live_local_peers();
  nodes.push_back({this->node.settings.node, this->node.settings.cores});
  return relay_order(std::move(nodes));
}

std::vector<std::string> peer_link::reachable_peers() const {
  return this->peers.reachable_peers(this->node.now());
}

std::map<std::string, std::vector<relay_candidate>>
peer_link::remote_hall_peers() const {
  return this->peers.remote_hall_peers(this->node.now());
}

std::vector<proxy_node> peer_link::proxies() const {
  std::vector<proxy_node> out;
  const auto add = [&](const std::string& name, const std::string& hall) {
    out.push_back({{name, hall}, this->address_of(name)});
  };
  for (const auto& peer : this->live_local_peers())
    add(peer.name, this->node.settings.hall);
  for (const auto& [hall, peers] : this->remote_hall_peers()) {
    for (const auto& peer : peers) add(peer.name, hall);
  }
  return out;
}

int peer_link::count_reachable_peers(bool remote_halls) const {
  const absl::Time now = this->node.now();
  if (now - this->counts.at >= count_lifetime) {
    this->counts = {now, this->peers.count_reachable(false, now),
                    this->peers.count_reachable(true, now)};
  }
  return remote_halls ? this->counts.remote : this->counts.local;
}

int peer_link::count_live_remote_peers() const {
  return this->peers.count_live_remote(this->node.now());
}

std::string peer_link::address_of(const std::string& name) const {
  const peer_info* found = this->peers.find(name);
  return found == nullptr ? "" : found->address;
}

std::string peer_link::hall_of(const std::string& name) const {
  const peer_info* found = this->peers.find(name);
  return found == nullptr ? "" : found->hall;
}

bool peer_link::is_overtaken(const node_message& message, absl::Time now) {
  message_position& last = this->received[message.node];
  const bool overtaken =
      last.boot == message.boot && message.sequence <= last.sequence;
  if (!overtaken) {
    last = {message.boot, message.sequence};
    return false;
  }
  this->node.metrics.count_update_event("overtaken");
  this->node.log.state_change("message_overtaken",
                              {{"peer", message.node},
                               {"sequence", absl::StrCat(message.sequence)},
                               {"known", absl::StrCat(last.sequence)}},
                              now);
  return true;
}

void peer_link::handle_message(const node_message& message,
                               const udp::endpoint& from) {
  if (message.node == this->node.settings.node) return;
  const absl::Time now = this->node.now();
  if (this->is_overtaken(message, now)) return;
  const bool reappeared = this->peers.on_message(
      {message.node, to_address(from), message.hall, message.cores}, now);
  // Nodes of other halls are heard now and then only.
  if (reappeared && message.hall == this->node.settings.hall) {
    this->node.log.state_change("peer_heard", {{"peer", message.node}}, now);
  }
  this->dispatch(message);
}

void peer_link::dispatch(const node_message& message) {
  if (const auto* g = std::get_if<gossip>(&message.content)) {
    this->on_gossip(message.node, *g);
  } else if (const auto* r =
                 std::get_if<store_update_request>(&message.content)) {
    this->on_request(message.node, *r);
  } else if (const auto* n = std::get_if<store_update>(&message.content)) {
    this->on_store_update(message.node, *n);
  } else if (const auto* c = std::get_if<crash_report>(&message.content)) {
    this->on_crashes(message.node, *c);
  } else if (const auto* w = std::get_if<grant_request>(&message.content)) {
    this->on_grant_request(message.node, *w);
  } else if (const auto* a = std::get_if<grant_response>(&message.content)) {
    this->on_grant_response(message.node, *a);
  } else if (const auto* l = std::get_if<limit_update>(&message.content)) {
    this->on_limit_update(message.node, *l);
  } else if (const auto* q = std::get_if<peer_query>(&message.content)) {
    this->on_peer_query(message.node, *q);
  } else if (const auto* p = std::get_if<peer_report>(&message.content)) {
    this->on_peer_report(*p);
  } else if (const auto* h = std::get_if<holder_part>(&message.content)) {
    this->on_holder_part(*h);
  } else if (const auto* d = std::get_if<departure_update>(&message.content)) {
    this->on_departures(message.node, *d);
  } else if (const auto* t = std::get_if<trial_request>(&message.content)) {
    this->on_trial_request(message.node, *t);
  } else if (const auto* o = std::get_if<trial_response>(&message.content)) {
    this->on_trial_response(*o);
  } else {
    this->on_suspicion(std::get<suspicion>(message.content));
  }
}

net::awaitable<void> peer_link::receive() {
  std::vector<char> bytes(max_datagram_bytes);
  for (;;) {
    udp::endpoint from;
    auto [error, size] = co_await this->socket.async_receive_from(
        net::buffer(bytes), from, detail::use_tuple);
    if (error == net::error::operation_aborted) co_return;
    if (error) continue;
    this->node.metrics.count_peer_bytes("in", static_cast<double>(size));
    const auto message = decode_message(bytes.data(), size);
    if (message) {
      this->handle_message(*message, from);
      continue;
    }
    this->node.metrics.count_update_event("unreadable");
    this->node.log.state_change(
        "message_unreadable",
        {{"from", from.address().to_string()}, {"bytes", absl::StrCat(size)}},
        this->node.now());
  }
}

void peer_link::send_bytes(const std::string& address,
                           const std::string& bytes) {
  boost::system::error_code error;
  const auto endpoint = parse_endpoint(address, error);
  if (error) return;
  // A datagram that cannot be sent is not retried: later ones repeat its
  // content.
  boost::system::error_code ignored;
  this->socket.send_to(net::buffer(bytes),
                       udp::endpoint(endpoint.address(), endpoint.port()),
                       udp::socket::message_flags{}, ignored);
  this->node.metrics.count_peer_bytes("out", static_cast<double>(bytes.size()));
}

node_message peer_link::make_message(message_content content) {
  return {
      this->node.settings.node, this->node.settings.hall,  this->boot,
      ++this->sequence,         this->node.settings.cores, std::move(content)};
}

void peer_link::send(const std::string& peer, message_content content) {
  if (!this->peers.reachable(peer, this->node.now())) return;
  this->send_to_address(this->address_of(peer), std::move(content));
}

void peer_link::send_to_address(const std::string& address,
                                message_content content) {
  this->send_bytes(address, encode(this->make_message(std::move(content))));
}

void peer_link::send_all(const message_content& content, bool remote_halls) {
  const std::string bytes = encode(this->make_message(content));
  for (const auto& name :
       this->peers.reachable_in(remote_halls, this->node.now())) {
    this->send_bytes(this->address_of(name), bytes);
  }
}

}  // namespace spokesail
