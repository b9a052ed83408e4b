#include "node-gossip.h"

#include <absl/strings/str_cat.h>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "detail/socket.h"
#include "generated/node-gossip.capnp.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
using net::ip::udp;

constexpr char node_kind[] = "entry-nodes";

/// Least time between two messages to one peer.
constexpr absl::Duration least_period = absl::Milliseconds(100);

/// The period grows with the nodes, so that each node sends and receives at
/// most about this many messages a second.
constexpr double most_messages_per_s = 100;

/// A node with nothing new to say still says it this often.
constexpr absl::Duration longest_silence = absl::Milliseconds(500);

/// How often the store's list of nodes is read, from a copy that may be stale:
/// a new node also tells of itself by its own messages.
constexpr absl::Duration list_period = absl::Seconds(6);
constexpr absl::Duration first_list_period = absl::Milliseconds(700);

/// A peer that has said nothing for this long is not counted as living.
constexpr absl::Duration live_time = absl::Seconds(3);

/// A node that was not heard of for this long is taken off the store's list.
constexpr absl::Duration forget_time = absl::Seconds(60);

/// Suspicions are passed on for this long.
constexpr absl::Duration suspect_time = absl::Milliseconds(1500);

/// A datagram is not larger than this.
constexpr size_t largest_message = 60000;

/// Least and most words that a message may make a reader look at.
constexpr uint64_t read_limit_words = 1 << 16;

}  // namespace

std::string encode_gossip(const gossip_message& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<rpc::NodeGossip>();
  root.setNode(message.node);
  root.setBoot(message.boot);
  root.setSequence(message.sequence);
  auto places = root.initPlaces(message.places.size());
  for (size_t i = 0; i < message.places.size(); ++i) {
    places[i].setName(message.places[i].place);
    places[i].setRunning(message.places[i].running);
    places[i].setUnreadTokens(
        static_cast<float>(message.places[i].unread_tokens));
  }
  auto suspects = root.initSuspects(message.suspects.size());
  for (size_t i = 0; i < message.suspects.size(); ++i) {
    suspects.set(i, message.suspects[i]);
  }
  if (message.lease) {
    root.setLeaseVersion(message.lease->version);
    root.setLeaseRecord(message.lease->record);
  }
  root.setRequestsSeen(message.requests_seen);
  auto silent = root.initSilent(message.silent.size());
  for (size_t i = 0; i < message.silent.size(); ++i) {
    silent.set(i, message.silent[i]);
  }
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, builder);
  const auto bytes = out.getArray();
  return std::string(reinterpret_cast<const char*>(bytes.begin()),
                     bytes.size());
}

std::optional<gossip_message> decode_gossip(const char* data, size_t size) {
  std::optional<gossip_message> out;
  const auto problem = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream in(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(data), size));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = read_limit_words;
    capnp::PackedMessageReader reader(in, options);
    const auto root = reader.getRoot<rpc::NodeGossip>();
    gossip_message message;
    message.node = root.getNode().cStr();
    message.boot = root.getBoot();
    message.sequence = root.getSequence();
    for (const auto place : root.getPlaces()) {
      message.places.push_back({place.getName().cStr(),
                                static_cast<int>(place.getRunning()),
                                place.getUnreadTokens()});
    }
    for (const auto id : root.getSuspects()) {
      message.suspects.emplace_back(id.cStr());
    }
    if (root.getLeaseVersion() > 0) {
      message.lease =
          lease_word{root.getLeaseVersion(), root.getLeaseRecord().cStr()};
    }
    message.requests_seen = root.getRequestsSeen();
    for (const auto id : root.getSilent()) {
      message.silent.emplace_back(id.cStr());
    }
    out = std::move(message);
  });
  if (problem != nullptr) return std::nullopt;
  return out;
}

node_gossip::node_gossip(node_context& state)
    : node(state), socket(state.loop), boot(state.random.engine()) {
  boost::system::error_code error;
  const auto at = parse_endpoint(state.settings.peer_address, error);
  this->socket.open(udp::v4());
  this->socket.bind(udp::endpoint(at.address(), at.port()));
}

absl::Duration node_gossip::period() const {
  const double by_count =
      static_cast<double>(this->peers.size()) / most_messages_per_s;
  return std::max(least_period, absl::Seconds(by_count));
}

void node_gossip::count_live() {
  const absl::Time now = this->node.now();
  int live = 1;
  for (const auto& [name, p] : this->peers) {
    if (now - p.heard < live_time) ++live;
  }
  this->node.live_nodes = live;
}

net::awaitable<void> node_gossip::keep_peers() {
  const std::string name = this->node.settings.node;
  const nlohmann::json spec = {{"address", this->node.settings.peer_address},
                               {"boot", absl::StrCat(this->boot)}};
  bool registered = false;
  int64_t version = 0;
  int lists = 0;
  for (;;) {
    if (!registered) {
      const platform_call call{
          call_kind::write, {node_kind, name}, version, spec.dump()};
      const platform_answer answer = co_await this->node.store.call(call);
      this->node.metrics.count_store_call(
          "register", answer.status == call_status::ok ? "ok" : "failed");
      registered = answer.status == call_status::ok;
      if (answer.status == call_status::conflict) {
        version = answer.found.version;
        registered =
            nlohmann::json::parse(answer.found.body, nullptr, false) == spec;
      }
      if (answer.status == call_status::not_found) version = 0;
    }
    const std::string kind = node_kind;
    const object_listing listing =
        co_await this->node.store.list(kind, lists > 1);
    this->node.metrics.count_store_call("list_nodes",
                                        store_status_name(listing.status));
    for (const auto& o : listing.objects) {
      if (o.key.name == name) continue;
      const auto body = nlohmann::json::parse(o.body, nullptr, false);
      if (!body.is_object()) continue;
      boost::system::error_code error;
      const auto at = parse_endpoint(body.value("address", ""), error);
      if (error) continue;
      peer& p = this->peers[o.key.name];
      p.endpoint = udp::endpoint(at.address(), at.port());
      p.listed = this->node.now();
    }
    this->count_live();
    ++lists;
    const bool early = lists < 3 || !registered;
    net::steady_timer timer(this->node.loop);
    const absl::Duration wait = (early ? first_list_period : list_period) *
                                (1 + 0.2 * this->node.random.unit());
    timer.expires_after(absl::ToChronoNanoseconds(wait));
    co_await timer.async_wait(detail::use_tuple);
  }
}

void node_gossip::take(const gossip_message& message) {
  if (message.node == this->node.settings.node) return;
  const absl::Time now = this->node.now();
  peer& p = this->peers[message.node];
  const bool old = p.boot == message.boot && message.sequence <= p.sequence;
  if (old) return;
  const bool back = now - p.heard >= live_time;
  p.boot = message.boot;
  p.sequence = message.sequence;
  p.heard = now;
  if (back) {
    this->count_live();
    this->node.log.belief(
        "peer_heard",
        {{"peer", message.node}, {"live", absl::StrCat(this->node.live_nodes)}},
        now);
  }
  if (message.requests_seen) this->node.requests_seen = true;
  this->node.loads.take_peer(message.node, message.places, now);
  if (message.lease) {
    this->node.silent = {message.silent.begin(), message.silent.end()};
    if (this->on_lease) this->on_lease(*message.lease);
  }
  for (const auto& id : message.suspects) {
    if (this->on_suspect) this->on_suspect(id);
  }
}

net::awaitable<void> node_gossip::receive() {
  std::vector<char> bytes(largest_message);
  for (;;) {
    udp::endpoint from;
    auto [error, size] = co_await this->socket.async_receive_from(
        net::buffer(bytes), from, detail::use_tuple);
    if (error == net::error::operation_aborted) co_return;
    if (error) continue;
    this->node.metrics.count_gossip("in", static_cast<double>(size));
    const auto message = decode_gossip(bytes.data(), size);
    if (!message) {
      this->node.log.belief(
          "gossip_unreadable",
          {{"from", from.address().to_string()}, {"bytes", absl::StrCat(size)}},
          this->node.now());
      continue;
    }
    this->take(*message);
    // A node that is not on the list yet is answered where it speaks from.
    peer& p = this->peers[message->node];
    if (p.listed == absl::InfinitePast()) p.endpoint = from;
  }
}

void node_gossip::send_all(const std::string& bytes) {
  const absl::Time now = this->node.now();
  for (const auto& [name, p] : this->peers) {
    const absl::Time last = std::max(p.heard, p.listed);
    if (p.endpoint.port() == 0 || now - last > forget_time) continue;
    boost::system::error_code ignored;
    // A datagram that cannot be sent is made up for by the next.
    this->socket.send_to(net::buffer(bytes), p.endpoint,
                         udp::socket::message_flags{}, ignored);
    this->node.metrics.count_gossip("out", static_cast<double>(bytes.size()));
  }
}

net::awaitable<void> node_gossip::send() {
  gossip_message last;
  absl::Time sent_at = absl::InfinitePast();
  for (;;) {
    net::steady_timer timer(this->node.loop);
    timer.expires_after(absl::ToChronoNanoseconds(this->period()));
    co_await timer.async_wait(detail::use_tuple);
    const absl::Time now = this->node.now();
    gossip_message message;
    message.node = this->node.settings.node;
    message.boot = this->boot;
    message.places = this->node.loads.own();
    for (const auto& [id, at] : this->node.suspects) {
      if (now - at < suspect_time) message.suspects.push_back(id);
    }
    std::erase_if(this->node.suspects, [&](const auto& item) {
      return now - item.second >= suspect_time;
    });
    if (this->lease) message.lease = this->lease();
    if (message.lease && this->silent) message.silent = this->silent();
    message.requests_seen = this->node.requests_seen;
    message.sequence = last.sequence;
    if (message == last && now - sent_at < longest_silence) continue;
    message.sequence = ++this->sequence;
    sent_at = now;
    last = message;
    this->send_all(encode_gossip(message));
    this->count_live();
  }
}

}  // namespace spokesail
