#include "server-connector.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>

#include "detail/socket-deadline.h"
#include "detail/socket.h"
#include "end-mark.h"
#include "node-context.h"
#include "tunnel.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
using net::ip::tcp;

/// A connection takes a few round trips. If it takes longer than this, the
/// server is down or its accept queue is full. Short enough for another server
/// to respond in time.
constexpr absl::Duration connect_timeout = absl::Milliseconds(80);

/// While this node's links are in doubt, another server would be no better: a
/// request's search for a node that reaches its server may take this long.
constexpr absl::Duration search_timeout = absl::Milliseconds(400);

/// Time after which an attempt that is still pending is raced by the next one;
/// several round trips between data halls.
constexpr absl::Duration head_start = absl::Milliseconds(25);

/// Proxies tried for one connection. Those that refuse cost a round trip.
constexpr size_t max_proxies = 16;

/// Time in which a proxy answers, unless it has failed; longer than it takes to
/// find that the server cannot be reached.
constexpr absl::Duration proxy_timeout = absl::Milliseconds(100);

/// Proxies that must fail to reach a server before it counts as down.
constexpr int proxies_for_verdict = 2;

/// Other servers that are probed when one is not reached, so that two that have
/// failed are outweighed.
constexpr int probes_after_failure = 3;

/// Interval at which it is checked whether a probe was answered.
constexpr absl::Duration probe_poll_interval = absl::Milliseconds(2);

/// Lifetime of a connection for one call to a server.
constexpr absl::Duration call_lifetime = absl::Seconds(1);

}  // namespace

struct server_connector::attempt {
  enum class state { pending, connected, failed, server_unreachable };

  explicit attempt(net::io_context& loop)
      : socket(std::make_shared<tcp::socket>(loop)) {}

  std::shared_ptr<tcp::socket> socket;
  /// Nothing if it is direct.
  std::optional<proxy_node> proxy;
  absl::Time begun;
  state result = state::pending;
  boost::system::error_code error;
};

struct server_connector::race {
  race(net::io_context& loop, tunnel_request request)
      : asked(std::move(request)), changed(loop) {}

  /// The server, and what proxies are asked for.
  const tunnel_request asked;
  absl::Time begun;
  /// When the first proxy was asked, since the direct attempt had failed or was
  /// overdue.
  absl::Time proxies_asked_at = absl::InfiniteFuture();
  /// The time that it may take while this node's links are in doubt.
  absl::Duration limit = connect_timeout;
  /// Whether the direct attempt comes before those through proxies.
  bool direct_first = true;
  std::vector<std::shared_ptr<attempt>> attempts;
  /// The proxies to try; nothing until they are needed.
  std::optional<std::vector<proxy_node>> proxies;
  size_t proxies_tried = 0;
  /// When the next attempt starts, unless none is pending before.
  absl::Time next_start = absl::InfinitePast();
  /// Cancelled when an attempt ends.
  net::steady_timer changed;
  bool over = false;

  size_t count(attempt::state state) const {
    return static_cast<size_t>(
        std::count_if(attempts.begin(), attempts.end(),
                      [&](const auto& a) { return a->result == state; }));
  }
  bool pending() const { return count(attempt::state::pending) > 0; }
  /// Whether a proxy has yet to be asked or to answer.
  bool proxies_left() const {
    const bool waits =
        std::any_of(attempts.begin(), attempts.end(), [](const auto& a) {
          return a->proxy && a->result == attempt::state::pending;
        });
    return waits || !proxies || proxies_tried < proxies->size();
  }
  /// The attempt that connected; null if none has.
  attempt* winner() const {
    for (const auto& a : attempts) {
      if (a->result == attempt::state::connected) return a.get();
    }
    return nullptr;
  }
  /// The direct attempt; null if there was none.
  const attempt* direct() const {
    for (const auto& a : attempts) {
      if (!a->proxy) return a.get();
    }
    return nullptr;
  }
  /// Whether enough nodes have failed to reach the server.
  bool server_down() const {
    return count(attempt::state::server_unreachable) >= proxies_for_verdict;
  }
};

std::vector<proxy_node> server_connector::choose_proxies() {
  if (!this->proxies) return {};
  const std::vector<proxy_node> all = this->proxies();
  std::vector<proxy_candidate> candidates;
  candidates.reserve(all.size());
  for (const auto& p : all) candidates.push_back(p.candidate);
  std::vector<proxy_node> out;
  for (const auto& name : this->node.reachability.choose_proxies(
           candidates, this->node.settings.hall, max_proxies, this->node.now(),
           this->node.random)) {
    const auto found = std::find_if(all.begin(), all.end(), [&](const auto& p) {
      return p.candidate.name == name;
    });
    out.push_back(*found);
  }
  return out;
}

void server_connector::start(const std::shared_ptr<race>& r,
                             const proxy_node* proxy) {
  auto a = std::make_shared<attempt>(this->node.loop);
  if (proxy != nullptr) a->proxy = *proxy;
  a->begun = this->node.now();
  r->attempts.push_back(a);
  net::co_spawn(this->node.loop, this->run_attempt(r, a), net::detached);
}

net::awaitable<void> server_connector::run_attempt(std::shared_ptr<race> r,
                                                   std::shared_ptr<attempt> a) {
  using state = attempt::state;
  if (!a->proxy) {
    const auto error =
        co_await this->node.dialer->dial(*a->socket, r->asked.address);
    // At the end of a race it is aborted, which shows no more than its delay.
    if (!r->over) {
      a->error = error;
      a->result = error ? state::failed : state::connected;
    }
  } else {
    const detail::socket_deadline deadline(
        a->socket, proxy_timeout + this->node.loop_delay);
    const tunnel_result result = co_await open_tunnel(
        *a->socket, a->proxy->address, r->asked, this->node.incoming);
    a->result = result == tunnel_result::open ? state::connected
                : result == tunnel_result::server_unreachable
                    ? state::server_unreachable
                    : state::failed;
    if (result == tunnel_result::unavailable) {
      this->node.reachability.demote_proxy(a->proxy->candidate.name,
                                           this->node.now());
    }
  }
  if (r->over) detail::close_ignoring_errors(*a->socket);
  r->changed.cancel();
}

bool server_connector::start_next(const std::shared_ptr<race>& r) {
  const bool direct_due = r->direct() == nullptr;
  if (direct_due && r->direct_first) {
    this->start(r, nullptr);
    return true;
  }
  if (!r->proxies) {
    r->proxies = this->choose_proxies();
    r->proxies_asked_at = this->node.now();
    // Other servers show whether this one or this node's links have failed.
    if (!direct_due) this->verify_links_later();
  }
  if (r->proxies_tried < r->proxies->size()) {
    this->start(r, &(*r->proxies)[r->proxies_tried++]);
    return true;
  }
  if (direct_due) this->start(r, nullptr);
  return direct_due;
}

absl::Duration server_connector::time_left(const race& r) const {
  const absl::Time now = this->node.now();
  const server_reachability& view = this->node.reachability;
  const bool in_doubt =
      view.in_doubt(now) || view.last_heard() < r.proxies_asked_at;
  const bool searches = in_doubt && r.proxies_left();
  // Each attempt was started later by the loop's delay.
  const absl::Duration delays =
      static_cast<int64_t>(r.attempts.size()) * this->node.loop_delay;
  const absl::Duration limit = std::min(r.limit + delays, r.asked.lifetime);
  return r.begun + (searches ? limit : connect_timeout) - now;
}

net::awaitable<connect_outcome> server_connector::run_race(
    std::shared_ptr<race> r) {
  r->begun = this->node.now();
  while (r->winner() == nullptr && !r->server_down()) {
    const absl::Time now = this->node.now();
    const absl::Duration left = this->time_left(*r);
    if (left <= absl::ZeroDuration()) break;
    const bool start_due = !r->pending() || now >= r->next_start;
    if (start_due) {
      const bool started = this->start_next(r);
      r->next_start = started ? now + head_start + this->node.loop_delay
                              : absl::InfiniteFuture();
      if (started) continue;
    }
    if (!r->pending()) break;
    const absl::Duration wait = std::min(left, r->next_start - now);
    r->changed.expires_after(absl::ToChronoNanoseconds(wait));
    co_await r->changed.async_wait(detail::use_tuple);
  }
  attempt* const winner = r->winner();
  r->over = true;
  for (const auto& a : r->attempts) {
    // A proxy that has not answered yet may be slow or have failed; its attempt
    // goes on until that is known.
    const bool waits = a->proxy && a->result == attempt::state::pending;
    if (a.get() != winner && !waits) detail::close_ignoring_errors(*a->socket);
  }
  const bool verdict = winner != nullptr || r->server_down();
  if (!verdict) co_await this->verify_links(r->proxies_asked_at);
  co_return this->conclude(*r, winner);
}

net::awaitable<connect_outcome> server_connector::connect(
    tcp::socket& socket, std::string address, absl::Duration lifetime) {
  tunnel_request asked{std::move(address), lifetime,
                       make_end_mark(this->node.random)};
  return this->connect_within(socket, std::move(asked),
                              std::min(search_timeout, lifetime));
}

net::awaitable<connect_outcome> server_connector::connect_within(
    tcp::socket& socket, tunnel_request asked, absl::Duration limit) {
  const auto r = std::make_shared<race>(this->node.loop, std::move(asked));
  r->limit = limit;
  r->direct_first = !this->node.reachability.prefers_proxies(r->asked.address,
                                                             this->node.now());
  const connect_outcome out = co_await this->run_race(r);
  if (!out.error) socket = std::move(*r->winner()->socket);
  co_return out;
}

connect_outcome server_connector::conclude(const race& r,
                                           const attempt* winner) {
  using state = attempt::state;
  const absl::Time now = this->node.now();
  connect_outcome out;
  const attempt* const direct = r.direct();
  const bool bypassed = winner != nullptr && winner->proxy.has_value();
  // A direct attempt that has only just begun shows nothing.
  const bool direct_counts =
      direct != nullptr &&
      (direct->result != state::pending ||
       now - direct->begun >= head_start + this->node.loop_delay);
  if (direct_counts) {
    const direct_result result = winner == direct ? direct_result::connected
                                 : bypassed       ? direct_result::bypassed
                                                  : direct_result::failed;
    this->node.reachability.on_attempt(
        r.asked.address,
        {result, direct->begun, now, direct->result == state::pending});
  }
  if (direct_counts && winner != direct) this->log_failure(r, *direct, winner);
  if (winner != nullptr) {
    if (bypassed) {
      out.proxy = winner->proxy->candidate.name;
      out.end_mark = r.asked.end_mark;
      this->node.reachability.on_proxied(out.proxy, now);
    }
    this->node.metrics.count_server_connection(bypassed ? "proxied" : "direct");
    return out;
  }
  out.server_failed = r.server_down() ||
                      (direct_counts && !this->node.reachability.in_doubt(now));
  out.error = direct != nullptr && direct->error
                  ? direct->error
                  : make_error_code(net::error::timed_out);
  this->node.metrics.count_server_connection(out.server_failed ? "server_failed"
                                                               : "no_path");
  return out;
}

void server_connector::log_failure(const race& r, const attempt& direct,
                                   const attempt* winner) {
  const absl::Time now = this->node.now();
  const bool pending = direct.result == attempt::state::pending;
  const auto evidence = this->node.reachability.recent(now);
  this->node.log.state_change(
      "server_not_reached",
      {{"address", r.asked.address},
       {"why", pending ? "no answer" : direct.error.message()},
       {"after_ms",
        absl::StrCat(absl::ToInt64Milliseconds(now - direct.begun))},
       {"proxy", winner == nullptr ? "" : winner->proxy->candidate.name},
       {"proxies_tried", absl::StrCat(r.attempts.size() - 1)},
       {"proxies_not_reaching_it",
        absl::StrCat(r.count(attempt::state::server_unreachable))},
       {"unreached", absl::StrCat(evidence.unreached)},
       {"reached", absl::StrCat(evidence.reached)},
       {"loop_delay_ms",
        absl::StrCat(absl::ToInt64Milliseconds(this->node.loop_delay))}},
      now);
}

net::awaitable<boost::system::error_code> server_connector::dial(
    tcp::socket& socket, std::string address) {
  tunnel_request asked{std::move(address), call_lifetime, ""};
  const connect_outcome out =
      co_await this->connect_within(socket, std::move(asked), connect_timeout);
  co_return out.error;
}

bool server_connector::claim_probe(const std::string& address) {
  return this->probed_at.try_emplace(address, this->node.now()).second;
}

void server_connector::probe(const std::string& address) {
  if (!this->claim_probe(address)) return;
  net::co_spawn(this->node.loop, this->run_probe(address), net::detached);
}

net::awaitable<void> server_connector::run_probe(std::string address) {
  const auto r = std::make_shared<race>(
      this->node.loop, tunnel_request{std::move(address), call_lifetime, ""});
  const connect_outcome out = co_await this->run_race(r);
  if (!out.error) detail::close_ignoring_errors(*r->winner()->socket);
}

net::awaitable<void> server_connector::verify_links(absl::Time since) {
  for (int i = 0; i < probes_after_failure; ++i) {
    const std::string address = this->next_to_probe();
    if (address.empty()) continue;
    net::co_spawn(this->node.loop, this->run_direct_probe(address),
                  net::detached);
  }
  const absl::Time until = this->node.now() + head_start;
  while (this->node.reachability.last_heard() < since &&
         this->node.now() < until) {
    co_await this->node.sleep(probe_poll_interval);
  }
}

void server_connector::verify_links_later() {
  net::co_spawn(this->node.loop, this->verify_links(this->node.now()),
                net::detached);
}

net::awaitable<void> server_connector::run_direct_probe(std::string address) {
  const auto socket = std::make_shared<tcp::socket>(this->node.loop);
  const absl::Time begun = this->node.now();
  boost::system::error_code error;
  {
    const detail::socket_deadline deadline(
        socket, connect_timeout + this->node.loop_delay);
    error = co_await this->node.dialer->dial(*socket, address);
  }
  detail::close_ignoring_errors(*socket);
  this->node.reachability.on_attempt(
      address, {error ? direct_result::failed : direct_result::connected, begun,
                this->node.now(), error == net::error::operation_aborted});
}

void server_connector::probe_silent_halls(absl::Time now) {
  const std::vector<std::string> halls =
      this->node.remote_halls.take_halls_to_probe(now);
  // Without links of its own, this node cannot tell which end has failed.
  if (halls.empty() || this->node.reachability.in_doubt(now)) return;
  for (const auto& hall : halls) {
    std::vector<std::string> addresses;
    for (const auto& [id, server] : this->node.directory.servers()) {
      if (server.entry.hall == hall) addresses.push_back(server.entry.address);
    }
    const size_t count =
        std::min(hall_reachability::servers_per_probe, addresses.size());
    for (size_t i = 0; i < count; ++i) {
      const size_t at = i + this->node.random.below(addresses.size() - i);
      std::swap(addresses[i], addresses[at]);
      net::co_spawn(this->node.loop, this->probe_hall(hall, addresses[i]),
                    net::detached);
    }
  }
}

net::awaitable<void> server_connector::probe_hall(std::string hall,
                                                  std::string address) {
  const auto socket = std::make_shared<tcp::socket>(this->node.loop);
  boost::system::error_code error;
  {
    const detail::socket_deadline deadline(
        socket, connect_timeout + this->node.loop_delay);
    error = co_await this->node.dialer->dial(*socket, address);
  }
  detail::close_ignoring_errors(*socket);
  // Not recorded as an attempt: that a hall is cut off says nothing about this
  // node's links to the others.
  this->node.remote_halls.on_probe(hall, !error, this->node.now());
}

absl::Duration server_connector::doubt_duration(absl::Time now) const {
  return std::max(now - this->in_doubt_since, absl::ZeroDuration());
}

void server_connector::check(absl::Time now) {
  this->in_doubt_since = this->node.reachability.in_doubt(now)
                             ? std::min(this->in_doubt_since, now)
                             : absl::InfiniteFuture();
  std::erase_if(this->probed_at, [&](const auto& item) {
    return now - item.second >= server_reachability::probe_period;
  });
  if (this->node.reachability.probe_due(now)) {
    this->node.reachability.on_probe(now);
    const std::string address = this->next_to_probe();
    if (!address.empty()) {
      net::co_spawn(this->node.loop, this->run_probe(address), net::detached);
    }
  }
  this->probe_silent_halls(now);
  this->log_partition(now);
}

std::string server_connector::next_to_probe() {
  const auto& servers = this->node.directory.servers();
  if (servers.empty()) return "";
  auto at = servers.upper_bound(this->last_probed);
  if (at == servers.end()) at = servers.begin();
  this->last_probed = at->first;
  const std::string& address = at->second.entry.address;
  return this->claim_probe(address) ? address : "";
}

void server_connector::log_partition(absl::Time now) {
  const bool was = this->partitioned_since != absl::InfiniteFuture();
  const bool is = this->node.reachability.partitioned(now);
  if (was == is) return;
  if (is) {
    this->partitioned_since = now;
    this->node.forget_recent_blame();
    this->node.log.state_change(
        "servers_unreachable",
        {{"silent_ms", absl::StrCat(absl::ToInt64Milliseconds(
                           now - this->node.reachability.last_heard()))},
         {"exchanges", absl::StrCat(this->node.exchanges.size())}},
        now);
    return;
  }
  this->node.log.state_change(
      "servers_reachable",
      {{"after_ms", absl::StrCat(absl::ToInt64Milliseconds(
                        now - this->partitioned_since))}},
      now);
  this->partitioned_since = absl::InfiniteFuture();
}

}  // namespace spokesail
