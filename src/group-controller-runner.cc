// Sends the group controller's orders and report requests.
#include "group-controller-runner.h"

#include <absl/strings/str_cat.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Interval at which the lease holder checks whether a step is due.
constexpr absl::Duration step_check_period = absl::Milliseconds(20);

/// Period at which other nodes check whether they hold the lease.
constexpr absl::Duration lease_check_period = absl::Milliseconds(100);

/// Intervals at which demand is passed to the controller and logged.
constexpr absl::Duration demand_period = absl::Milliseconds(500);
constexpr absl::Duration demand_log_period = absl::Seconds(2);

/// Timeouts of an order and of a report request; a server answers within a few
/// milliseconds.
constexpr absl::Duration order_timeout = absl::Milliseconds(500);
constexpr absl::Duration report_timeout = absl::Milliseconds(150);

/// A node whose loop is delayed reads answers late, so the timeout of a report
/// request grows by this multiple of the loop's worst recent delay: once for
/// sending and once for reading.
constexpr double delay_allowance = 2;

/// A holder that cannot tell for this long whether it reaches the servers
/// leaves the lease to other nodes.
constexpr absl::Duration max_doubt = absl::Milliseconds(400);

/// Upper bound on the age of a holder state when it is received: two levels of
/// relays forward it every 0.18 s.
constexpr absl::Duration max_state_age = absl::Milliseconds(500);

}  // namespace

group_controller_runner::group_controller_runner(node_context& state,
                                                 lease_manager& lease)
    : node(state), manager(lease), controller(state.settings.groups) {}

holder_state group_controller_runner::published_state() const {
  holder_state out;
  out.unresponsive = this->controller.unresponsive_servers();
  out.loads_begun = this->controller.loads_begun(this->node.now());
  out.shares = this->controller.shares();
  return out;
}

earlier_loads group_controller_runner::known_earlier_loads() const {
  if (!this->node.last_holder_state) return {};
  return {this->node.last_holder_state->loads_begun,
          this->node.holder_heard_at - max_state_age};
}

std::vector<model_share> group_controller_runner::known_shares() const {
  const bool received_later = this->node.last_holder_state &&
                              this->node.holder_heard_at > this->last_term_end;
  return received_later ? this->node.last_holder_state->shares
                        : this->last_shares;
}

void group_controller_runner::update_demand() {
  const absl::Time now = this->node.now();
  if (!this->node.settings.groups.follow_demand) return;
  if (now - this->demand_updated < demand_period) return;
  this->demand_updated = now;
  const demand_view demand =
      this->node.demand.total(this->node.own_demand.rates(now), now);
  this->controller.update_demand(demand, now);
  ++this->events;
  if (now - this->demand_logged < demand_log_period) return;
  this->demand_logged = now;
  for (const auto& item : demand.models) {
    this->node.log.state_change(
        "model_demand",
        {{"service", item.service},
         {"model", item.model},
         {"requests_s", absl::StrCat(item.requests)},
         {"prompt_tokens_s", absl::StrCat(item.prompt_tokens)},
         {"answer_tokens_s", absl::StrCat(item.answer_tokens)},
         {"refused_s", absl::StrCat(item.refused)},
         {"window_s", absl::StrCat(demand_window::window_s)},
         {"age_ms", absl::StrCat(absl::ToInt64Milliseconds(demand.age))},
         {"missing_halls", absl::StrCat(demand.missing_halls)}},
        now);
  }
}

void group_controller_runner::suspect(const std::string& server) {
  this->controller.suspect(server, this->node.now());
  ++this->events;
}

void group_controller_runner::sync_with_lease() {
  const bool holds_lease = this->manager.holds();
  if (holds_lease == this->term_active) return;
  this->term_active = holds_lease;
  if (holds_lease) {
    ++this->events;
    this->controller.start_term(this->manager.fence(),
                                this->known_earlier_loads(),
                                this->known_shares());
  } else {
    this->node.log.state_change(
        "term_ended", {{"fence", absl::StrCat(this->manager.fence())}},
        this->node.now());
    this->last_shares = this->controller.shares();
    this->last_term_end = this->node.now();
    this->controller.stop_term();
    this->node.metrics.forget_model_groups();
  }
}

net::awaitable<void> group_controller_runner::send_order(group_order order) {
  const http_request request = this->node.adapter.write_order(order);
  const fetch_result result =
      co_await this->node.call_server(order.address, request, order_timeout);
  order_result outcome = order_result::unknown;
  if (result.status == fetch_status::not_sent)
    outcome = order_result::unreachable;
  if (result.status == fetch_status::ok) {
    outcome = this->node.adapter.read_order_response(result.response);
  }
  this->node.metrics.count_order(order_name(order.kind),
                                 order_result_name(outcome));
  const bool conflict = outcome == order_result::conflict;
  this->log_order(order, outcome,
                  conflict ? result.response.body() : result.error);
  this->controller.on_order_result(order, outcome, this->node.now());
  ++this->events;
}

void group_controller_runner::log_order(const group_order& order,
                                        order_result outcome,
                                        const std::string& reason) {
  this->node.log.state_change(
      "order",
      {{"order", order_name(order.kind)},
       {"server", order.server},
       {"group", order.group},
       {"model", order.model},
       {"expected", absl::StrCat(order.expected_orders)},
       {"fence", absl::StrCat(order.fence)},
       {"result", order_result_name(outcome)},
       {"why", reason}},
      this->node.now());
}

net::awaitable<void> group_controller_runner::fetch_report(
    std::string server, std::string address) {
  const http_request request = this->node.adapter.write_report_request(server);
  const absl::Duration timeout =
      report_timeout + delay_allowance * this->node.loop_delay;
  const fetch_result result =
      co_await this->node.call_server(address, request, timeout);
  std::optional<server_report> report;
  if (result.status == fetch_status::ok) {
    report = this->node.adapter.read_report(result.response);
  }
  const absl::Time now = this->node.now();
  if (!report) {
    this->node.log.state_change(
        "server_silent",
        {{"server", server},
         {"why", result.error},
         {"connected", result.status == fetch_status::not_sent ? "0" : "1"}},
        now);
  }
  if (!report && this->node.reachability.in_doubt(now)) {
    this->controller.on_probe_failed(server, now);
  } else if (result.status == fetch_status::no_response) {
    this->controller.on_silence(server, now);
  } else {
    this->controller.on_report(server, report, now);
  }
  ++this->events;
}

void group_controller_runner::log_events(
    const std::vector<controller_event>& events) {
  for (const auto& change : events) {
    this->node.log.state_change(
        change.event.c_str(),
        {{"subject", change.subject},
         {"why", change.reason},
         {"servers_rev", absl::StrCat(this->node.directory.revision())}},
        this->node.now());
  }
}

void group_controller_runner::log_summaries(
    const std::vector<model_summary>& models) {
  for (const auto& m : models) {
    this->node.metrics.set_model_groups(m.model, "wanted", m.wanted);
    this->node.metrics.set_model_groups(m.model, "standing", m.standing);
    this->node.metrics.set_model_groups(m.model, "serving", m.serving);
    this->node.log.state_change("model_state",
                                {{"model", m.model},
                                 {"serving", absl::StrCat(m.serving)},
                                 {"standing", absl::StrCat(m.standing)},
                                 {"wanted", absl::StrCat(m.wanted)},
                                 {"idle_hosts", absl::StrCat(m.idle)},
                                 {"loading_hosts", absl::StrCat(m.loading)}},
                                this->node.now());
  }
}

step_pacer::inputs group_controller_runner::step_inputs() const {
  return {this->node.directory.revision(), this->node.config_revision,
          this->events};
}

void group_controller_runner::step_if_due() {
  const absl::Time begun = this->node.now();
  const step_pacer::inputs inputs = this->step_inputs();
  if (!this->term_active || !this->pacer.due(inputs, begun)) return;
  this->step();
  this->pacer.on_step(inputs, begun, this->node.now());
}

void group_controller_runner::step() {
  if (!this->controller.active() || !this->node.routes) return;
  if (!this->node.evacuations_known()) return;
  this->controller.set_closed_halls(
      this->node.evacuations.closed_halls(this->node.servers_verified_at));
  this->controller.set_loop_delay(this->node.loop_delay);
  this->update_demand();
  const group_actions actions =
      this->controller.step(this->node.directory, this->node.routes->config(),
                            this->node.requests_seen, this->node.now());
  // A holder gets no states of other holders.
  const auto unresponsive = this->controller.unresponsive_servers();
  this->node.unresponsive_servers = {unresponsive.begin(), unresponsive.end()};
  this->log_events(actions.events);
  this->log_summaries(actions.summaries);
  for (const auto& order : actions.orders) {
    net::co_spawn(this->node.loop, this->send_order(order), net::detached);
  }
  for (const auto& id : actions.report_requests) {
    const server_entry* entry = this->node.directory.find(id);
    if (entry == nullptr) continue;
    net::co_spawn(this->node.loop, this->fetch_report(id, entry->address),
                  net::detached);
  }
  if (actions.step_down) this->manager.step_down();
}

void group_controller_runner::leave_lease_if_partitioned() {
  const absl::Duration doubt =
      this->node.connector.doubt_duration(this->node.now());
  if (!this->manager.holds() || doubt < max_doubt) return;
  this->node.log.state_change(
      "holder_partitioned",
      {{"doubt_ms", absl::StrCat(absl::ToInt64Milliseconds(doubt))}},
      this->node.now());
  this->manager.step_down();
}

net::awaitable<void> group_controller_runner::run() {
  for (;;) {
    this->leave_lease_if_partitioned();
    this->sync_with_lease();
    this->step_if_due();
    co_await this->node.sleep(this->term_active ? step_check_period
                                                : lease_check_period);
  }
}

}  // namespace spokesail
