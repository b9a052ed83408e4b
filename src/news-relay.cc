#include "news-relay.h"

#include <absl/strings/str_cat.h>

#include <boost/asio/steady_timer.hpp>

#include "detail/socket.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// How often a node asks its relay. Changes are passed on unasked; asking
/// finds those that got lost and proves how old the configuration is.
constexpr absl::Duration ask_period = absl::Milliseconds(250);

/// A relay that left this many questions unanswered is passed over.
constexpr int most_missed = 2;
constexpr absl::Duration failed_time = absl::Seconds(5);

/// A relay whose own proof is older than this is itself cut off: it watches
/// with a wait of 0.7 s and has a proof of about that age at most.
constexpr absl::Duration oldest_proof = absl::Milliseconds(1000);

/// Who asked this long ago is not told any more.
constexpr absl::Duration follower_time = absl::Seconds(2);

/// Changes that one datagram holds. Who lacks more lists the servers.
constexpr size_t most_changes = 200;

}  // namespace

std::string news_relay::choose_relay() const {
  std::vector<std::string> names = {this->node.settings.node};
  for (const auto& [name, p] : this->link.live()) {
    if (p.hall != this->node.settings.hall) continue;
    const auto bad = this->failed.find(name);
    if (bad != this->failed.end() && this->node.now() < bad->second) continue;
    names.push_back(name);
  }
  return rendezvous("relay", names, 1).front();
}

bool news_relay::watches_store() const {
  if (this->urgent()) return true;
  return this->relay.empty() || this->relay == this->node.settings.node;
}

void news_relay::fail(const std::string& peer, const char* why) {
  this->failed[peer] = this->node.now() + failed_time;
  this->node.log.belief("relay_failed", {{"peer", peer}, {"why", why}},
                        this->node.now());
}

news news_relay::compose(int64_t from) const {
  const absl::Time now = this->node.now();
  news out;
  out.config_revision = this->node.config_revision;
  out.config_age =
      std::min(this->node.config_age(), absl::Hours(1)) + absl::Milliseconds(1);
  out.store_reachable = this->node.store_reachable;
  out.from_revision = from;
  out.to_revision = this->node.directory.revision();
  for (const auto& [id, server] : this->node.directory.servers()) {
    const bool lapsing = server.lapses_at != absl::InfinitePast();
    if (server.revision <= from && !lapsing) continue;
    server_news item;
    item.server = server;
    if (lapsing) {
      item.lapses_in = std::max(absl::Milliseconds(1), server.lapses_at - now);
    }
    out.servers.push_back(item);
  }
  for (const auto& [id, revision] : this->node.directory.gone()) {
    if (revision <= from) continue;
    server_news item;
    item.server.entry.id = id;
    item.server.revision = revision;
    item.gone = true;
    out.servers.push_back(item);
  }
  // Who is too far behind gets no servers, and has to list them.
  if (out.servers.size() > most_changes)
    out.servers.clear(), out.from_revision = -1;
  return out;
}

void news_relay::answer(const std::string& peer, const news_request& request) {
  news out = this->compose(request.servers_revision);
  out.nonce = request.nonce;
  this->followers[peer] = {this->node.now(), out.to_revision};
  this->link.send(peer, out);
}

void news_relay::push() {
  const absl::Time now = this->node.now();
  std::erase_if(this->followers, [&](const auto& item) {
    return now - item.second.asked > follower_time;
  });
  for (auto& [peer, f] : this->followers) {
    if (f.revision >= this->node.directory.revision()) continue;
    const news out = this->compose(f.revision);
    f.revision = out.to_revision;
    this->link.send(peer, out);
  }
}

void news_relay::take(const std::string& peer, const news& said) {
  const absl::Time now = this->node.now();
  if (said.nonce != 0) {
    if (peer != this->relay || said.nonce != this->nonce) return;
    this->answered = true;
    this->missed = 0;
    if (!said.store_reachable || said.config_age > oldest_proof ||
        said.config_revision < this->node.config_revision) {
      this->fail(peer, "its own news are old");
      this->ask();
      return;
    }
    if (said.config_revision > this->node.config_revision) {
      this->on_config();
    } else if (this->node.routes) {
      this->node.config_proof =
          std::max(this->node.config_proof, this->asked_at - said.config_age);
    }
  }
  // Changes apply only to who has all those before.
  if (said.from_revision < 0) {
    if (said.nonce != 0) this->node.directory_listed = false;
    return;
  }
  if (said.from_revision > this->node.directory.revision()) return;
  bool changed = false;
  for (const auto& item : said.servers) {
    listed_server server = item.server;
    if (item.gone) {
      changed |= this->node.directory.remove(server.entry.id, server.revision,
                                             absl::InfinitePast());
      continue;
    }
    if (item.lapses_in > absl::ZeroDuration()) {
      this->node.directory.remove(server.entry.id, server.revision,
                                  now + item.lapses_in);
      continue;
    }
    changed |= this->node.directory.update(server);
  }
  this->node.directory.caught_up(said.to_revision);
  if (!changed) return;
  this->node.forget_groups();
  this->node.log.belief("servers_changed",
                        {{"relay", peer},
                         {"count", absl::StrCat(said.servers.size())},
                         {"rev", absl::StrCat(said.to_revision)}},
                        now);
  if (this->on_servers) this->on_servers();
}

void news_relay::ask() {
  const std::string chosen = this->choose_relay();
  if (chosen != this->relay) {
    this->missed = 0;
    this->node.log.belief("relay_chosen", {{"peer", chosen}}, this->node.now());
  }
  this->relay = chosen;
  this->answered = true;
  if (this->watches_store() || !this->node.directory_listed) return;
  this->answered = false;
  this->asked_at = this->node.now();
  this->link.send(this->relay,
                  news_request{++this->nonce, this->node.directory.revision()});
}

net::awaitable<void> news_relay::run() {
  for (;;) {
    net::steady_timer timer(this->node.loop);
    timer.expires_after(absl::ToChronoNanoseconds(ask_period));
    co_await timer.async_wait(detail::use_tuple);
    if (!this->answered && ++this->missed >= most_missed) {
      this->fail(this->relay, "does not answer");
    }
    this->ask();
  }
}

}  // namespace spokesail
