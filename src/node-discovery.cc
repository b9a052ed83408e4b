#include "node-discovery.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace spokesail {
namespace {

namespace net = boost::asio;
using json = nlohmann::json;

constexpr char node_kind[] = "entry-nodes";

/// Interval at which a node that starts asks for others, and for how long. If
/// the whole fleet starts, those it asks know little themselves at first.
constexpr absl::Duration join_step = absl::Milliseconds(100);
constexpr int join_steps = 6;

/// After this time a node has been heard by, and has heard, the nodes that
/// started together with it.
constexpr absl::Duration settle_time = absl::Seconds(1);

/// A response that comes later than this is dropped.
constexpr absl::Duration query_timeout = absl::Seconds(2);

/// Interval at which top-ranked nodes read the store's list. A copy that may be
/// stale is enough, since a new node also sends messages to its peers.
constexpr absl::Duration list_period = absl::Seconds(15);
/// Delay between attempts to enroll this node.
constexpr absl::Duration enroll_retry_delay = absl::Milliseconds(700);
/// A node that joined by seeds enters the store's list at the earliest after
/// this time, when it knows whether it is top-ranked.
constexpr absl::Duration first_entry_delay = absl::Seconds(3);

/// Highest number of cores that a node's entry may state.
constexpr double max_cores = 1024;

/// A member that is a text; empty if it is missing or something else.
std::string text_member(const json& object, const char* name) {
  const auto found = object.find(name);
  const bool is_text = found != object.end() && found->is_string();
  return is_text ? found->get<std::string>() : std::string();
}

/// Whether a node's entry in the store equals `spec`.
bool entry_matches(const std::string& body, const std::string& spec) {
  // Another writer's entry may be nested deeply, so that its values are not
  // compared unless they are simple.
  const json found = json::parse(body, nullptr, false);
  const bool flat = found.is_object() &&
                    std::none_of(found.begin(), found.end(), [](const json& v) {
                      return v.is_structured();
                    });
  return flat && found == json::parse(spec);
}

/// Reads a node's entry; nothing if another writer has left it.
std::optional<peer_info> read_peer(const object& o) {
  const json body = json::parse(o.body, nullptr, false);
  if (!body.is_object() || !is_plain_name(o.key.name)) return std::nullopt;
  const auto cores = body.find("cores");
  peer_info peer = {o.key.name, text_member(body, "address"),
                    text_member(body, "hall"), 1};
  if (cores != body.end() && !cores->is_null()) {
    if (!cores->is_number()) return std::nullopt;
    const auto count = cores->get<double>();
    if (!(count > 0 && count <= max_cores)) return std::nullopt;
    peer.cores = static_cast<float>(count);
  }
  boost::system::error_code error;
  const auto endpoint = parse_endpoint(peer.address, error);
  if (error || endpoint.port() == 0 || !is_plain_name(peer.hall))
    return std::nullopt;
  return peer;
}

/// The address of the node at a seed's IP number: all nodes receive messages at
/// the same port.
std::string peer_address_of(const std::string& seed,
                            const std::string& own_address) {
  const std::pair<std::string, std::string> host =
      absl::StrSplit(seed, absl::MaxSplits(':', 1));
  const std::pair<std::string, std::string> own =
      absl::StrSplit(own_address, absl::MaxSplits(':', 1));
  return absl::StrCat(host.first, ":", own.second);
}

}  // namespace

std::string node_discovery::own_entry() const {
  const json spec = {{"address", this->node.settings.peer_address},
                     {"hall", this->node.settings.hall},
                     {"cores", this->node.settings.cores}};
  return spec.dump();
}

net::awaitable<bool> node_discovery::enroll() {
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

net::awaitable<node_discovery::list_result> node_discovery::list_peers(
    bool stale) {
  const std::string kind = node_kind;
  const object_listing listing = co_await this->node.store.list(kind, stale);
  this->node.metrics.count_store_call(stale ? "list_nodes_copy" : "list_nodes",
                                      store_status_name(listing.status));
  bool own_found = false;
  this->enrolled_in_hall.clear();
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

void node_discovery::apply_peer_entry(const object& o) {
  const auto entry = read_peer(o);
  if (!entry) {
    this->node.unusable.report(o, "not a node", this->node.now());
    return;
  }
  const peer_info& peer = *entry;
  if (peer.hall == this->node.settings.hall) {
    this->enrolled_in_hall.push_back(peer.name);
  }
  // Peers that are listed when this node starts count as alive until they have
  // sent nothing for the usual time, so that a relay is found at once.
  this->link.table().on_enrolled(peer, !this->link.listed(), this->node.now());
}

net::awaitable<void> node_discovery::jittered_sleep(absl::Duration time) {
  return this->node.sleep(time * (1 + 0.2 * this->node.random.unit()));
}

std::string node_discovery::random_local_peer() {
  return this->link.table().random_local_peer(this->node.random,
                                              this->node.now());
}

bool node_discovery::settled() const {
  return this->link.listed() &&
         this->node.now() - this->node.started >= settle_time;
}

void node_discovery::remember_query(uint64_t sent, absl::Time now) {
  std::erase_if(this->asked_at, [&](const auto& item) {
    return now - item.second > query_timeout;
  });
  this->asked_at[sent] = now;
}

void node_discovery::request_sample(const std::string& address) {
  const absl::Time now = this->node.now();
  this->remember_query(++this->nonce, now);
  this->link.send_to_address(address,
                             this->link.table().query(this->nonce, true, now));
}

void node_discovery::exchange(const std::string& peer) {
  const absl::Time now = this->node.now();
  if (peer.empty()) return;
  this->remember_query(++this->nonce, now);
  this->link.send(peer, this->link.table().query(this->nonce, false, now));
}

void node_discovery::handle_query(const std::string& peer,
                                  const peer_query& query) {
  const absl::Time now = this->node.now();
  for (auto& part :
       this->link.table().answer(query, peer, this->node.random, now)) {
    part.settled = this->settled();
    this->link.send(peer, std::move(part));
  }
}

void node_discovery::handle_report(const peer_report& report) {
  const auto asked = this->asked_at.find(report.nonce);
  if (asked == this->asked_at.end()) return;
  const bool learned = this->link.table().apply(report, asked->second);
  if (learned) this->pacer.on_learned();
  if (report.settled) this->heard_settled = true;
  const bool complete = report.settled && !report.sample;
  if (complete && !this->link.listed()) this->link.set_listed();
}

net::awaitable<bool> node_discovery::join_by_seeds() {
  std::vector<std::string> seeds;
  for (const auto& seed : this->node.settings.seeds) {
    const std::string address =
        peer_address_of(seed, this->node.settings.peer_address);
    if (address != this->node.settings.peer_address) seeds.push_back(address);
  }
  if (seeds.empty()) co_return false;
  for (int step = 0; step < join_steps && !this->link.listed(); ++step) {
    // Once some node of the hall is known, it shares the work of the seeds.
    const std::string known = this->random_local_peer();
    if (this->heard_settled && !known.empty()) {
      this->exchange(known);
    } else if (!known.empty() && step % 2 == 1) {
      this->request_sample(this->link.address_of(known));
    } else if (step > 0) {
      this->request_sample(seeds[this->node.random.below(seeds.size())]);
    } else {
      for (const auto& seed : seeds) this->request_sample(seed);
    }
    co_await this->jittered_sleep(join_step);
  }
  co_return this->heard_settled || this->link.size() > 0;
}

net::awaitable<void> node_discovery::join_by_store() {
  // A node that restarts under the same address is on the list already, and
  // nodes that were added since have found it there and send to it first. So a
  // copy that may be stale is enough. It costs a tenth of a normal call, where
  // enrolling and listing take two or three calls.
  bool enrolled =
      co_await this->list_peers(true) == list_result::own_entry_present;
  if (!enrolled && !this->enrolled_in_hall.empty()) {
    // The nodes on the list know the others, so this one need not be on it.
    this->exchange(this->random_local_peer());
    co_await this->jittered_sleep(join_step);
    if (this->link.listed()) co_return;
  }
  for (int attempts = 0; !enrolled; ++attempts) {
    enrolled = co_await this->enroll();
    // Of two nodes that enroll at the same time, the later one finds the other,
    // provided that the list is not stale.
    const list_result result = co_await this->list_peers(attempts > 0);
    if (result != list_result::failed) this->link.set_listed();
    if (!enrolled) co_await this->jittered_sleep(enroll_retry_delay);
  }
}

net::awaitable<void> node_discovery::maintain_entry() {
  const absl::Time now = this->node.now();
  if (now < this->next_entry_check || !this->top_ranked()) co_return;
  this->next_entry_check = now + list_period;
  if (co_await this->list_peers(true) != list_result::own_entry_missing)
    co_return;
  std::vector<std::string> alive = this->link.reachable_peers();
  const auto listed_alive = std::count_if(
      alive.begin(), alive.end(), [this](const std::string& name) {
        return std::find(this->enrolled_in_hall.begin(),
                         this->enrolled_in_hall.end(),
                         name) != this->enrolled_in_hall.end();
      });
  if (listed_alive >= static_cast<long>(top_ranked_per_hall)) co_return;
  co_await this->enroll();
}

net::awaitable<void> node_discovery::run() {
  const bool joined = co_await this->join_by_seeds();
  if (!joined) co_await this->join_by_store();
  this->link.set_listed();
  this->next_entry_check = this->node.now() + first_entry_delay;
  this->exchange(this->random_local_peer());
  for (;;) {
    co_await this->jittered_sleep(this->pacer.next_delay());
    this->exchange(
        this->link.table().next_partner(this->node.random, this->node.now()));
    co_await this->maintain_entry();
  }
}

}  // namespace spokesail
