#include "peer-link.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "detail/socket.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
using net::ip::udp;
using json = nlohmann::json;

constexpr char node_kind[] = "entry-nodes";

/// Interval at which the store's list of nodes is read. A copy that may be
/// stale is enough, since a new node also sends messages to its peers.
constexpr absl::Duration list_period = absl::Seconds(15);
/// Delay between attempts to enroll this node.
constexpr absl::Duration enroll_retry_delay = absl::Milliseconds(700);

/// A peer that has sent nothing for this long does not count as alive.
constexpr absl::Duration peer_timeout = absl::Seconds(3);

/// Nothing is sent to a peer that was not listed and sent nothing for this
/// long.
constexpr absl::Duration peer_forget_time = absl::Seconds(60);

/// Maximum size of a datagram in bytes.
constexpr size_t max_datagram_bytes = 60000;

/// Whether a node's entry in the store equals `spec`.
bool entry_matches(const std::string& body, const std::string& spec) {
  const json found = json::parse(body, nullptr, false);
  return found == json::parse(spec);
}

}  // namespace

peer_link::peer_link(node_context& state)
    : node(state), socket(state.loop), boot(state.random.engine()) {
  boost::system::error_code error;
  const auto endpoint = parse_endpoint(state.settings.peer_address, error);
  this->socket.open(udp::v4());
  this->socket.bind(udp::endpoint(endpoint.address(), endpoint.port()));
}

bool peer_link::reachable(const peer_node& p) const {
  const absl::Time last = std::max(p.last_heard, p.last_listed);
  return p.endpoint.port() != 0 && this->node.now() - last <= peer_forget_time;
}

bool peer_link::alive(const peer_node& p) const {
  return this->node.now() - p.last_heard < peer_timeout;
}

bool peer_link::in_own_hall(const peer_node& p) const {
  return p.hall == this->node.settings.hall;
}

std::vector<relay_candidate> peer_link::live_local_peers() const {
  std::vector<relay_candidate> out;
  for (const auto& [name, p] : this->peers) {
    if (this->in_own_hall(p) && this->alive(p)) out.push_back({name, p.cores});
  }
  return out;
}

std::vector<std::string> peer_link::hall_relay_order() const {
  std::vector<relay_candidate> nodes = this->live_local_peers();
  nodes.push_back({this->node.settings.node, this->node.settings.cores});
  return relay_order(std::move(nodes));
}

std::vector<std::string> peer_link::reachable_peers() const {
  std::vector<std::string> out;
  for (const auto& [name, p] : this->peers) {
    const bool unresponsive = this->in_own_hall(p) && !this->alive(p);
    if (this->reachable(p) && !unresponsive) out.push_back(name);
  }
  return out;
}

std::map<std::string, std::vector<relay_candidate>>
peer_link::remote_hall_peers() const {
  std::map<std::string, std::vector<relay_candidate>> out;
  for (const auto& [name, p] : this->peers) {
    if (this->in_own_hall(p) || !this->reachable(p)) continue;
    out[p.hall].push_back({name, p.cores});
  }
  return out;
}

int peer_link::count_reachable_peers(bool remote_halls) const {
  return static_cast<int>(
      std::count_if(this->peers.begin(), this->peers.end(), [&](const auto& p) {
        return this->in_own_hall(p.second) != remote_halls &&
               this->reachable(p.second);
      }));
}

int peer_link::count_live_remote_peers() const {
  return static_cast<int>(
      std::count_if(this->peers.begin(), this->peers.end(), [&](const auto& p) {
        return !this->in_own_hall(p.second) && this->alive(p.second);
      }));
}

std::string peer_link::address_of(const std::string& name) const {
  const auto found = this->peers.find(name);
  if (found == this->peers.end()) return "";
  const auto& endpoint = found->second.endpoint;
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

std::string peer_link::hall_of(const std::string& name) const {
  const auto found = this->peers.find(name);
  return found == this->peers.end() ? "" : found->second.hall;
}

std::string peer_link::own_entry() const {
  const json spec = {{"address", this->node.settings.peer_address},
                     {"hall", this->node.settings.hall},
                     {"cores", this->node.settings.cores}};
  return spec.dump();
}

net::awaitable<bool> peer_link::enroll() {
  const std::string name = this->node.settings.node;
  const std::string spec = this->own_entry();
  const platform_call call{
      call_kind::write, {node_kind, name}, this->own_revision, spec};
  const platform_answer answer = co_await this->node.store.call(call);
  const bool ok = answer.status == call_status::ok;
  this->node.metrics.count_store_call("enroll", ok ? "ok" : "failed");
  if (answer.status == call_status::not_found) this->own_revision = 0;
  if (answer.status != call_status::conflict) co_return ok;
  this->own_revision = answer.found.version;
  co_return entry_matches(answer.found.body, spec);
}

net::awaitable<peer_link::list_result> peer_link::list_peers(bool stale) {
  const std::string kind = node_kind;
  const object_listing listing = co_await this->node.store.list(kind, stale);
  this->node.metrics.count_store_call(stale ? "list_nodes_copy" : "list_nodes",
                                      store_status_name(listing.status));
  bool own_found = false;
  for (const auto& o : listing.objects) {
    if (o.key.name != this->node.settings.node) {
      this->apply_peer_entry(o);
      continue;
    }
    this->own_revision = o.version;
    own_found = entry_matches(o.body, this->own_entry());
  }
  if (listing.status != store_status::ok) co_return list_result::failed;
  co_return own_found ? list_result::own_entry_present
                      : list_result::own_entry_missing;
}

void peer_link::apply_peer_entry(const object& o) {
  json body = json::parse(o.body, nullptr, false);
  if (!body.is_object()) return;
  const json& address = body["address"];
  const json& hall = body["hall"];
  const json& cores = body["cores"];
  if (!address.is_string() || !hall.is_string()) return;
  if (!cores.is_null() && !cores.is_number()) return;
  boost::system::error_code error;
  const auto endpoint = parse_endpoint(address.get<std::string>(), error);
  if (error) return;
  peer_node& p = this->peers[o.key.name];
  p.endpoint = udp::endpoint(endpoint.address(), endpoint.port());
  p.hall = hall.get<std::string>();
  p.cores = cores.is_null() ? 1 : cores.get<float>();
  p.last_listed = this->node.now();
  // Peers that are listed when this node starts count as alive until they have
  // sent nothing for the usual time, so that a relay is found at once.
  if (!this->list_read) p.last_heard = std::max(p.last_heard, p.last_listed);
}

net::awaitable<void> peer_link::jittered_sleep(absl::Duration time) {
  return this->node.sleep(time * (1 + 0.2 * this->node.random.unit()));
}

net::awaitable<void> peer_link::maintain_peers() {
  // A node that restarts under the same address is on the list already, and
  // nodes that were added since have found it there and send to it first. So a
  // copy that may be stale is enough. It costs a tenth of a normal call, where
  // enrolling and listing take two or three calls.
  bool enrolled =
      co_await this->list_peers(true) == list_result::own_entry_present;
  this->list_read = enrolled;
  for (int attempts = 0; !enrolled; ++attempts) {
    enrolled = co_await this->enroll();
    // Of two nodes that enroll at the same time, the later one finds the other,
    // provided that the list is not stale.
    const list_result result = co_await this->list_peers(attempts > 0);
    if (result != list_result::failed) this->list_read = true;
    if (!enrolled) co_await this->jittered_sleep(enroll_retry_delay);
  }
  for (;;) {
    co_await this->jittered_sleep(list_period);
    co_await this->list_peers(true);
  }
}

void peer_link::handle_message(const node_message& message,
                               const udp::endpoint& from) {
  if (message.node == this->node.settings.node) return;
  const absl::Time now = this->node.now();
  peer_node& p = this->peers[message.node];
  const bool stale = p.boot == message.boot && message.sequence <= p.sequence;
  if (stale) {
    this->node.metrics.count_update_event("overtaken");
    this->node.log.state_change("message_overtaken",
                                {{"peer", message.node},
                                 {"sequence", absl::StrCat(message.sequence)},
                                 {"known", absl::StrCat(p.sequence)}},
                                now);
    return;
  }
  const bool reappeared = now - p.last_heard >= peer_timeout;
  // Messages to a node that is not on the list yet go to its source address.
  if (p.last_listed == absl::InfinitePast()) p.endpoint = from;
  p.hall = message.hall;
  p.cores = message.cores;
  p.boot = message.boot;
  p.sequence = message.sequence;
  p.last_heard = now;
  if (reappeared) {
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
    this->node.log.state_change(
        "message_unreadable",
        {{"from", from.address().to_string()}, {"bytes", absl::StrCat(size)}},
        this->node.now());
  }
}

void peer_link::send_to(const peer_node& p, const std::string& bytes) {
  boost::system::error_code ignored;
  // A datagram that cannot be sent is not retried: later ones repeat its
  // content.
  this->socket.send_to(net::buffer(bytes), p.endpoint,
                       udp::socket::message_flags{}, ignored);
  this->node.metrics.count_peer_bytes("out", static_cast<double>(bytes.size()));
}

node_message peer_link::make_message(message_content content) {
  return {
      this->node.settings.node, this->node.settings.hall,  this->boot,
      ++this->sequence,         this->node.settings.cores, std::move(content)};
}

void peer_link::send(const std::string& peer, message_content content) {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end() || !this->reachable(found->second)) return;
  this->send_to(found->second, encode(this->make_message(std::move(content))));
}

void peer_link::send_all(const message_content& content, bool remote_halls) {
  const std::string bytes = encode(this->make_message(content));
  for (const auto& [name, p] : this->peers) {
    if (this->in_own_hall(p) == remote_halls || !this->reachable(p)) continue;
    this->send_to(p, bytes);
  }
}

}  // namespace spokesail
