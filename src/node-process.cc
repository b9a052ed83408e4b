// The node's listeners, its periodic tick, and the wiring between its parts.
#include "node-process.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "caller-session.h"
#include "detail/socket.h"
#include "exchange.h"
#include "fleet-adapter.h"
#include "host-meter.h"
#include "listener.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using detail::use_tuple;
using net::ip::tcp;

/// Period of the checks of session limits and idle connections.
constexpr absl::Duration housekeeping_period = absl::Milliseconds(200);

/// Period of the log line with the number of store calls since the start. Each
/// store call is charged; this period is short enough to show which kind of
/// call increased during an incident.
constexpr absl::Duration store_calls_period = absl::Seconds(5);

/// Period of the log line on pauses in accepting connections.
constexpr absl::Duration intake_log_period = absl::Seconds(1);

/// Idle connections to servers and the store are closed after this time.
constexpr absl::Duration fetch_idle_timeout = absl::Seconds(4);

}  // namespace

node_process::node_process(const node_settings& node_settings_in,
                           net::io_context& io, node_log& logger)
    : settings(node_settings_in),
      loop(io),
      log(logger),
      adapter(make_fleet_adapter()),
      fetcher(io.get_executor(), node_settings_in.node,
              max_incoming_bytes(node_settings_in)),
      store(make_fleet_store(fetcher, node_settings_in.platform_address)),
      state(node_settings_in, io, *adapter, *store, fetcher, logger),
      sync(state),
      link(state),
      discovery(state, link),
      gossip(state, link),
      relay(state, link),
      crashes(state, link),
      trials(state, link),
      config(state),
      tunnels(state),
      lease(state),
      group_runner(state, lease),
      cold(state, link, lease),
      limits(state, link),
      departures(state, link),
      stalls(state),
      callers(state) {}

bool node_process::listen() {
  const auto open = [this](tcp::acceptor& acceptor,
                           const std::string& address) {
    return open_listener(acceptor, address, this->state);
  };
  return this->callers.listen(this->settings.caller_address) &&
         open(this->readiness, this->settings.ready_address) &&
         open(this->metrics, this->settings.metrics_address) &&
         this->config.listen();
}

std::optional<holder_state> node_process::own_holder_state() {
  const auto lease_state = this->lease.snapshot();
  if (!lease_state) return std::nullopt;
  holder_state next = this->group_runner.published_state();
  next.lease = *lease_state;
  next.sequence = this->published_holder_state.sequence;
  if (!(next == this->published_holder_state)) ++next.sequence;
  this->published_holder_state = next;
  return next;
}

void node_process::connect_messages() {
  this->link.on_gossip = [this](const std::string& peer, const auto& message) {
    this->gossip.handle_gossip(peer, message);
  };
  this->link.on_request = [this](const std::string& peer, const auto& request) {
    this->relay.handle_request(peer, request);
  };
  this->link.on_store_update = [this](const std::string& peer,
                                      const auto& message) {
    this->relay.handle_update(peer, message);
  };
  this->link.on_crashes = [this](const std::string& peer, const auto& message) {
    this->crashes.handle_report(peer, message);
  };
  this->link.on_trial_request = [this](const std::string& peer,
                                       const auto& request) {
    this->trials.handle_request(peer, request);
  };
  this->link.on_trial_response = [this](const auto& response) {
    this->trials.handle_response(response);
  };
  this->link.on_grant_request = [this](const std::string& peer,
                                       const auto& request) {
    this->cold.handle_request(peer, request);
  };
  this->link.on_grant_response = [this](const std::string& peer,
                                        const auto& message) {
    this->cold.handle_response(peer, message);
  };
  this->link.on_limit_update = [this](const std::string& peer,
                                      const auto& message) {
    this->limits.handle_reports(peer, message);
  };
  this->link.on_departures = [this](const std::string& peer,
                                    const auto& message) {
    this->departures.handle_update(peer, message);
  };
  this->link.on_peer_query = [this](const std::string& peer,
                                    const auto& query) {
    this->discovery.handle_query(peer, query);
  };
  this->link.on_peer_report = [this](const auto& report) {
    this->discovery.handle_report(report);
  };
  this->link.on_holder_part = [this](const holder_part& part) {
    this->gossip.apply_holder_part(part);
  };
  this->link.on_suspicion = [this](const suspicion& message) {
    for (const auto& id : message.servers) this->group_runner.suspect(id);
    this->stalls.handle_suspicion(message);
  };
}

void node_process::connect_group_runner() {
  this->lease.candidates = [this] { return this->gossip.lease_candidates(); };
  this->gossip.own_holder_state = [this] { return this->own_holder_state(); };
  this->gossip.holder = [this] { return this->lease.holder(); };
  this->gossip.on_lease = [this](const lease_snapshot& snapshot) {
    this->lease.observe(snapshot);
  };
  this->gossip.on_suspect = [this](const std::string& id) {
    this->group_runner.suspect(id);
  };
  this->stalls.on_loss = [this](const suspicion& report) {
    this->link.send_all(report, false);
  };
  this->stalls.on_suspect = [this](const std::string& id) {
    this->group_runner.suspect(id);
  };
}

void node_process::connect_store() {
  this->relay.holder = [this] { return this->lease.holder(); };
  this->relay.holder_state_known = [this] {
    return this->gossip.current_holder_state();
  };
  this->relay.fill_update = [this](store_update& out) {
    this->gossip.fill_update(out);
  };
  this->relay.on_update = [this](const store_update& update) {
    this->gossip.apply_relayed(update);
  };
  this->relay.on_config = [this](int64_t revision) {
    this->sync.request_config(revision);
  };
  this->relay.on_servers = [this] { this->relay.push(); };
  this->sync.watches_directly = [this] { return this->relay.watches_store(); };
  this->sync.may_have_followers = [this] {
    return this->relay.may_have_followers();
  };
  this->sync.on_answer = [this] { this->relay.announce_recovery(); };
  this->sync.on_change = [this] { this->relay.push(); };
  this->sync.expects_config = [this] { return this->relay.expects_config(); };
  this->sync.expects_servers = [this] { return this->relay.expects_servers(); };
  this->sync.expects_evacuations = [this] {
    return this->relay.expects_evacuations();
  };
  this->sync.fetch_from_peer = [this] {
    const std::string source = this->relay.config_source();
    return this->config.fetch_from(this->link.address_of(source));
  };
  this->state.connector.proxies = [this] { return this->link.proxies(); };
  this->config.on_tunnel = [this](std::shared_ptr<tcp::socket> socket,
                                  http_request request) {
    return this->tunnels.serve(std::move(socket), std::move(request));
  };
  this->discovery.top_ranked = [this] {
    return this->relay.may_have_followers();
  };
  this->sync.low_latency_needed = [this] { return this->lease.holds(); };
}

void node_process::start() {
  this->connect_messages();
  this->connect_group_runner();
  this->connect_store();
  this->spawn(this->sync.follow_config());
  this->spawn(this->sync.follow_servers());
  if (this->settings.bounds.evacuate_deadline) {
    this->spawn(this->sync.follow_evacuations());
  }
  this->spawn(this->discovery.run());
  this->spawn(this->link.receive());
  this->spawn(this->config.serve());
  this->spawn(this->gossip.run());
  this->spawn(this->relay.run());
  this->spawn(this->crashes.run());
  this->spawn(this->trials.run());
  this->spawn(this->limits.run());
  this->spawn(this->departures.run());
  this->spawn(this->lease.run());
  this->spawn(this->group_runner.run());
  this->spawn(this->callers.run());
  this->spawn(this->serve_admin(this->readiness, true));
  this->spawn(this->serve_admin(this->metrics, false));
  this->spawn(this->tick());
}

void node_process::spawn(net::awaitable<void> task) {
  net::co_spawn(this->loop, std::move(task), net::detached);
}

net::awaitable<void> node_process::serve_admin(tcp::acceptor& acceptor,
                                               bool ready) {
  for (;;) {
    auto [error, socket] = co_await acceptor.async_accept(use_tuple);
    if (error == net::error::operation_aborted) co_return;
    if (error) {
      co_await this->state.sleep(node_timing::tick);
      continue;
    }
    net::co_spawn(this->loop, this->answer_admin(std::move(socket), ready),
                  net::detached);
  }
}

net::awaitable<void> node_process::answer_admin(tcp::socket socket,
                                                bool ready) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    http_request request;
    auto [error, size] =
        co_await http::async_read(socket, buffer, request, use_tuple);
    if (error) co_return;
    http_response response(http::status::not_found, http_11);
    if (ready && request.target() == this->adapter->ready_path()) {
      response.result(this->state.ready() ? http::status::ok
                                          : http::status::service_unavailable);
    }
    if (!ready && request.target() == "/metrics") {
      this->set_gauges();
      response.result(http::status::ok);
      response.set(http::field::content_type, "text/plain; version=0.0.4");
      response.body() = this->state.metrics.text();
    }
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    auto [failed, sent] =
        co_await http::async_write(socket, response, use_tuple);
    if (failed || !request.keep_alive()) co_return;
  }
}

void node_process::set_gauges() {
  node_metrics& m = this->state.metrics;
  m.set_gauge("sessions", static_cast<double>(this->state.sessions.size()));
  m.set_gauge("exchanges", static_cast<double>(this->state.exchanges.size()));
  m.set_gauge("accept_queue", this->callers.queue_length());
  m.set_gauge("requests_in_progress", this->state.requests_in_progress);
  m.set_gauge("intake_limit", this->state.intake.limit());
  m.set_gauge("host_utilization", this->state.intake.utilization());
  m.set_gauge("processor_seconds",
              absl::ToDoubleSeconds(used_processor_time()));
  m.set_gauge("loop_delay_seconds",
              absl::ToDoubleSeconds(this->state.loop_delay));
  m.set_gauge("held_bytes", static_cast<double>(this->state.held.held()));
  m.set_gauge("kept_connections", static_cast<double>(this->state.pool.size()));
  m.set_gauge("servers",
              static_cast<double>(this->state.directory.servers().size()));
  m.set_gauge("servers_revision",
              static_cast<double>(this->state.directory.revision()));
  m.set_gauge("limited_servers",
              static_cast<double>(this->state.limits.size()));
  m.set_gauge("servers_in_backoff",
              static_cast<double>(this->state.backoffs.size()));
  m.set_gauge("tunnels", static_cast<double>(this->state.tunnel_count));
  m.set_gauge("servers_unreachable",
              this->state.reachability.partitioned(this->state.now()) ? 1 : 0);
  m.set_gauge("live_nodes", this->state.live_nodes);
  const auto max_nodes = this->state.fleet.peak(this->state.now());
  m.set_gauge("most_nodes", max_nodes.value_or(0));
  m.set_gauge("lease_held", this->lease.holds() ? 1 : 0);
  m.set_gauge("config_age_seconds",
              absl::ToDoubleSeconds(
                  std::min(this->state.config_age(), absl::Hours(1))));
  m.set_gauge("servers_age_seconds",
              absl::ToDoubleSeconds(
                  std::min(this->state.age().servers, absl::Hours(1))));
  this->set_evacuation_gauges();
  this->cold.set_gauges();
  m.set_gauge("log_lines_left_out",
              static_cast<double>(this->log.omitted_lines()));
}

void node_process::set_evacuation_gauges() {
  if (!this->settings.bounds.evacuate_deadline) return;
  const absl::Time now = this->state.now();
  const evacuation_snapshot snapshot = this->state.evacuations.snapshot(now);
  node_metrics& m = this->state.metrics;
  m.set_gauge("halls_evacuated", static_cast<double>(snapshot.halls.size()));
  m.set_gauge("evacuations_age_seconds",
              absl::ToDoubleSeconds(std::min(snapshot.age, absl::Hours(1))));
}

net::awaitable<void> node_process::tick() {
  absl::Time last_housekeeping = absl::InfinitePast();
  absl::Time last = this->state.now();
  for (;;) {
    co_await this->state.sleep(node_timing::tick);
    const absl::Time now = this->state.now();
    const absl::Duration delay = now - last - node_timing::tick;
    this->state.record_loop_delay(delay);
    this->update_intake(delay, now);
    last = now;
    this->state.connector.check(now);
    this->tunnels.check(now);
    this->stalls.check(now);
    this->cold.step();
    if (now - last_housekeeping >= housekeeping_period) {
      last_housekeeping = now;
      this->run_housekeeping(now);
    }
    if (this->can_exit(now) && this->on_exit) this->on_exit();
  }
}

void node_process::update_intake(absl::Duration loop_delay, absl::Time now) {
  this->state.intake.update(
      {used_processor_time(), this->state.bytes_in, this->state.bytes_out},
      this->state.requests_in_progress, loop_delay, now);
}

void node_process::log_intake(absl::Time now) {
  const uint64_t pauses = this->callers.pauses();
  if (pauses == this->intake_logged_count ||
      now - this->intake_logged < intake_log_period) {
    return;
  }
  this->log.state_change(
      "intake_paused",
      {{"pauses", absl::StrCat(pauses - this->intake_logged_count)},
       {"in_progress", absl::StrCat(this->state.requests_in_progress)},
       {"limit", absl::StrCat(this->state.intake.limit())},
       {"utilization", absl::StrCat(this->state.intake.utilization())},
       {"sockets", absl::StrCat(this->state.used_sockets())},
       {"loop_delay_ms",
        absl::StrCat(absl::ToInt64Milliseconds(this->state.loop_delay))}},
      now);
  this->intake_logged = now;
  this->intake_logged_count = pauses;
}

void node_process::run_housekeeping(absl::Time now) {
  const auto sessions = this->state.sessions;
  for (caller_session* session : sessions) session->check_deadlines(now);
  this->state.pool.expire(now);
  this->fetcher.close_idle(fetch_idle_timeout, now);
  std::erase_if(this->state.avoided_until,
                [&](const auto& item) { return item.second <= now; });
  if (this->state.directory.expire(now, this->state.servers_verified_at)) {
    this->state.invalidate_group_cache();
  }
  const auto exists = [this](const server_instance& instance) {
    const server_entry* entry = this->state.directory.find(instance.server);
    return entry != nullptr && entry->incarnation == instance.incarnation;
  };
  this->state.limits.forget(exists);
  this->state.limit_shares.forget(exists);
  this->state.backoffs.expire(now);
  this->state.reachability.expire(now);
  this->state.prober.expire(now);
  if (this->state.closing()) this->callers.close();
  this->log_readiness(now);
  this->log_servers_age(now);
  this->log_closed_halls(now);
  this->log_halls_out_of_reach(now);
  this->log_store_calls(now);
  this->log_intake(now);
}

void node_process::log_store_calls(absl::Time now) {
  if (now - this->store_calls_logged < store_calls_period) return;
  this->store_calls_logged = now;
  std::vector<log_field> fields;
  for (const auto& [verb, count] : this->state.metrics.store_calls_by_verb()) {
    fields.push_back({verb, absl::StrCat(count)});
  }
  this->log.state_change("store_calls", fields, now);
}

void node_process::log_servers_age(absl::Time now) {
  const snapshot_age age = this->state.age();
  const bool stale = servers_stale(age, this->settings.bounds);
  if (!this->state.directory_listed || stale == this->logged_servers_late)
    return;
  this->logged_servers_late = stale;
  this->log.state_change(
      stale ? "servers_late" : "servers_in_time",
      {{"age_ms", absl::StrCat(absl::ToInt64Milliseconds(age.servers))},
       {"rev", absl::StrCat(this->state.directory.revision())}},
      now);
}

void node_process::log_closed_halls(absl::Time now) {
  auto closed =
      this->state.evacuations.closed_halls(this->state.servers_verified_at);
  if (closed == this->logged_closed_halls) return;
  this->logged_closed_halls = std::move(closed);
  const snapshot_age age = this->state.age();
  this->log.state_change(
      "halls_closed",
      {{"halls", absl::StrJoin(this->logged_closed_halls, ",")},
       {"rev", absl::StrCat(this->state.evacuations.snapshot(now).revision)},
       {"age_ms", absl::StrCat(absl::ToInt64Milliseconds(age.evacuations))},
       {"servers_rev", absl::StrCat(this->state.directory.revision())},
       {"servers_age_ms",
        absl::StrCat(absl::ToInt64Milliseconds(age.servers))}},
      now);
}

void node_process::log_halls_out_of_reach(absl::Time now) {
  std::set<std::string> halls = this->state.remote_halls.silent(now).halls;
  if (halls == this->logged_halls_out_of_reach) return;
  this->logged_halls_out_of_reach = std::move(halls);
  this->log.state_change(
      "halls_out_of_reach",
      {{"halls", absl::StrJoin(this->logged_halls_out_of_reach, ",")}}, now);
}

void node_process::log_readiness(absl::Time now) {
  const bool ready = this->state.ready();
  if (ready == this->logged_ready) return;
  this->logged_ready = ready;
  this->log.state_change(
      ready ? "ready" : "not_ready",
      {{"config_age_ms",
        absl::StrCat(absl::ToInt64Milliseconds(this->state.config_age()))},
       {"servers_listed", this->state.directory_listed ? "1" : "0"},
       {"evacuations_known", this->state.evacuations_known() ? "1" : "0"},
       {"stopping", this->state.stopping() ? "1" : "0"}},
      now);
}

bool node_process::can_exit(absl::Time now) const {
  if (!this->state.stopping()) return false;
  const absl::Duration elapsed = now - this->state.stopping_since;
  if (elapsed >= this->settings.stop_grace - node_timing::exit_margin)
    return true;
  return this->state.closing() && this->state.sessions.empty() &&
         this->state.tunnel_count == 0;
}

void node_process::stop(const std::string& why) {
  if (this->state.stopping()) return;
  this->state.stopping_since = this->state.now();
  this->lease.stop();
  this->log.state_change(
      "stopping",
      {{"why", why},
       {"sessions", absl::StrCat(this->state.sessions.size())},
       {"exchanges", absl::StrCat(this->state.exchanges.size())}},
      this->state.now());
}

}  // namespace spokesail
