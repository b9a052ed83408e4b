// Questions to relays, and answers to those that ask this node.
#include "news-relay.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "server-news.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// How often a node asks its relay. Changes are passed on unasked; asking
/// finds those that got lost and proves how old the configuration is.
constexpr absl::Duration ask_period = absl::Milliseconds(180);

/// A node that has started chooses its first relay after this long, when it
/// has heard of its peers.
constexpr absl::Duration first_choice_time = absl::Milliseconds(400);

/// A relay that left this many questions unanswered is passed over.
constexpr int most_missed = 2;
constexpr absl::Duration silent_time = absl::Seconds(5);

/// A relay whose own proof is older than this is itself cut off. The holder's
/// watch proves the configuration every 0.4 s, each relay on the way adds the
/// time between two questions, and a relay whose holder dies needs two more of
/// them before it watches the store itself.
constexpr absl::Duration oldest_proof = absl::Milliseconds(1300);

/// A relay without fresh news is asked again after this long: the store may be
/// away, and then it is the first to know of its return.
constexpr absl::Duration outdated_time = absl::Milliseconds(1200);

/// Who asked this long ago is not told any more.
constexpr absl::Duration follower_time = absl::Seconds(2);

/// Changes that one datagram holds. Who lacks more lists the servers.
constexpr size_t most_changes = 200;

}  // namespace

relay_view news_relay::view() const {
  relay_view out;
  out.self = this->node.settings.node;
  const std::string holder_name = this->holder();
  if (holder_name == out.self) out.holder = holder_name;
  for (const auto& [name, p] : this->link.live()) {
    const bool near = p.hall == this->node.settings.hall;
    if (near) out.hall_peers.push_back(name);
    if (name != holder_name) continue;
    out.holder = name;
    out.holder_near = near;
  }
  for (const auto& [name, until] : this->failed) {
    if (this->node.now() < until) out.passed_over.insert(name);
  }
  return out;
}

relay_choice news_relay::choose() const { return choose_relay(this->view()); }

bool news_relay::watches_store() const {
  if (this->holder() == this->node.settings.node) return true;
  // A node that has just started has listed everything and waits for peers.
  if (this->relay.empty()) return false;
  return this->relay == this->node.settings.node || !this->confirmed;
}

bool news_relay::relied_on() const { return this->choose().candidate; }

void news_relay::fail(const std::string& peer, absl::Duration time,
                      const char* why) {
  this->failed[peer] = this->node.now() + time;
  this->node.log.belief("relay_failed", {{"peer", peer}, {"why", why}},
                        this->node.now());
}

news news_relay::compose(int64_t from) const {
  news out;
  out.config_revision = this->node.config_revision;
  out.config_age =
      std::min(this->node.config_age(), absl::Hours(1)) + absl::Milliseconds(1);
  out.store_reachable = this->node.store_reachable;
  out.from_revision = from;
  out.to_revision = this->node.directory.revision();
  out.servers = news_since(this->node.directory, from, this->node.now());
  // Who is too far behind gets no servers, and has to list them.
  if (out.servers.size() > most_changes) {
    out.servers.clear();
    out.from_revision = -1;
  }
  return out;
}

void news_relay::answer(const std::string& peer, const news_request& request) {
  news out = this->compose(request.servers_revision);
  out.nonce = request.nonce;
  this->followers[peer] = {this->node.now(), out.to_revision,
                           out.config_revision};
  this->link.send(peer, out);
}

void news_relay::push() {
  const absl::Time now = this->node.now();
  std::erase_if(this->followers, [&](const auto& item) {
    return now - item.second.asked > follower_time;
  });
  const int64_t servers_revision = this->node.directory.revision();
  for (auto& [peer, f] : this->followers) {
    const bool behind = f.servers_revision < servers_revision ||
                        f.config_revision < this->node.config_revision;
    if (!behind) continue;
    const news out = this->compose(f.servers_revision);
    f.servers_revision = out.to_revision;
    f.config_revision = out.config_revision;
    this->link.send(peer, out);
  }
}

bool news_relay::take_answer(const std::string& peer, const news& said) {
  if (peer != this->relay || said.nonce != this->nonce) return false;
  this->answered = true;
  this->missed = 0;
  if (!said.store_reachable || said.config_age > oldest_proof) {
    this->fail(peer, outdated_time, "its own news are old");
    this->ask();
    return false;
  }
  this->confirmed = true;
  // A relay that is behind for a moment proves nothing; one that stays behind
  // lets this node's own proof grow old.
  if (said.config_revision == this->node.config_revision) {
    this->node.config_proof =
        std::max(this->node.config_proof, this->asked_at - said.config_age);
  }
  return true;
}

void news_relay::take(const std::string& peer, const news& said) {
  const bool asked_for = said.nonce != 0;
  if (asked_for && !this->take_answer(peer, said)) return;
  if (said.config_revision > this->node.config_revision) {
    this->on_config(said.config_revision);
  }
  if (said.from_revision < 0) {
    if (asked_for) this->node.directory_listed = false;
    return;
  }
  this->take_servers(peer, said);
}

void news_relay::take_servers(const std::string& peer, const news& said) {
  // Changes apply only to who has all those before.
  if (said.from_revision > this->node.directory.revision()) return;
  const bool changed =
      apply_news(this->node.directory, said.servers, this->node.now());
  this->node.directory.caught_up(said.to_revision);
  if (!changed) return;
  this->node.forget_groups();
  this->node.log.belief("servers_changed",
                        {{"relay", peer},
                         {"count", absl::StrCat(said.servers.size())},
                         {"rev", absl::StrCat(said.to_revision)}},
                        this->node.now());
  if (this->on_servers) this->on_servers();
}

void news_relay::ask() {
  const std::string chosen = this->choose().upstream;
  if (chosen != this->relay) {
    this->missed = 0;
    this->confirmed = false;
    this->node.log.belief("relay_chosen", {{"peer", chosen}}, this->node.now());
  }
  this->relay = chosen;
  this->answered = true;
  const bool alone = this->relay == this->node.settings.node;
  if (alone || !this->node.directory_listed) return;
  this->answered = false;
  this->asked_at = this->node.now();
  this->link.send(this->relay,
                  news_request{++this->nonce, this->node.directory.revision()});
}

net::awaitable<void> news_relay::run() {
  co_await this->node.sleep(first_choice_time);
  for (;;) {
    co_await this->node.sleep(ask_period);
    if (!this->answered && ++this->missed >= most_missed) {
      this->fail(this->relay, silent_time, "does not answer");
    }
    this->ask();
  }
}

}  // namespace spokesail
