#include "node-gossip.h"

#include <boost/asio/steady_timer.hpp>

#include "detail/socket.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Least time between two messages to one peer.
constexpr absl::Duration least_period = absl::Milliseconds(100);

/// The period grows with the nodes of the data hall, so that a node sends and
/// receives at most about this many messages a second there.
constexpr double hall_messages_per_s = 160;

/// Nodes of other halls are told each so many periods, more when there are
/// more of them: bytes between halls are dear, and most requests stay in one.
constexpr double far_messages_per_s = 60;

/// A node with nothing new to say still says it this often.
constexpr absl::Duration longest_silence = absl::Milliseconds(500);

/// Suspicions are passed on for this long.
constexpr absl::Duration suspect_time = absl::Milliseconds(1500);

}  // namespace

absl::Duration node_gossip::period(bool far) const {
  int count = 0;
  for (const auto& [name, p] : this->link.live()) {
    if ((p.hall != this->node.settings.hall) == far) ++count;
  }
  const double rate = far ? far_messages_per_s : hall_messages_per_s;
  return std::max(least_period, absl::Seconds(count / rate));
}

void node_gossip::take(const std::string& peer, const gossip& said) {
  if (said.requests_seen) this->node.requests_seen = true;
  this->node.loads.take_peer(peer, said.places, this->node.now());
  if (said.lease) {
    this->node.silent = {said.silent.begin(), said.silent.end()};
    this->on_lease(*said.lease);
  }
  for (const auto& id : said.suspects) this->on_suspect(id);
}

gossip node_gossip::compose(absl::Time now) {
  gossip out;
  out.places = this->node.loads.own();
  std::erase_if(this->node.suspects, [&](const auto& item) {
    return now - item.second >= suspect_time;
  });
  for (const auto& [id, at] : this->node.suspects) out.suspects.push_back(id);
  out.lease = this->lease();
  if (out.lease) out.silent = this->silent();
  out.requests_seen = this->node.requests_seen;
  return out;
}

void node_gossip::tell(bool far, absl::Time now) {
  last_word& last = far ? this->far_word : this->hall_word;
  if (now < last.next) return;
  const gossip said = this->compose(now);
  last.next = now + this->period(far);
  if (far) this->node.far_news_period = this->period(far);
  if (said == last.said && now - last.at < longest_silence) return;
  last.at = now;
  last.said = said;
  this->link.send_all(said, far);
}

net::awaitable<void> node_gossip::run() {
  for (;;) {
    const absl::Time now = this->node.now();
    this->tell(false, now);
    this->tell(true, now);
    const absl::Time next = std::min(this->hall_word.next, this->far_word.next);
    net::steady_timer timer(this->node.loop);
    timer.expires_after(absl::ToChronoNanoseconds(next - this->node.now()));
    co_await timer.async_wait(detail::use_tuple);
  }
}

}  // namespace spokesail
