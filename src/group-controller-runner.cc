// Orders and reports of the group controller.
#include "group-controller-runner.h"

#include <absl/strings/str_cat.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Period of the controller's steps while this node holds the lease.
constexpr absl::Duration step_period = absl::Milliseconds(40);

/// Period at which other nodes look whether they hold it.
constexpr absl::Duration idle_period = absl::Milliseconds(100);

/// The controller is told this often what callers ask for, and the log.
constexpr absl::Duration demand_period = absl::Milliseconds(500);
constexpr absl::Duration demand_log_period = absl::Seconds(2);

/// An order or a report that has no answer after this long has lost it; a
/// server answers in a few milliseconds.
constexpr absl::Duration order_timeout = absl::Milliseconds(500);
constexpr absl::Duration report_timeout = absl::Milliseconds(150);

/// A loop that was late reads answers late, so that a question waits longer by
/// this many times its worst delay of late: once for the sending and once for
/// the reading.
constexpr double delay_allowance = 2;

/// A holder's word was said this long before it was heard at most: two levels
/// of relays pass it on every 0.18 s.
constexpr absl::Duration max_status_age = absl::Milliseconds(500);

}  // namespace

group_controller_runner::group_controller_runner(node_context& state,
                                                 lease_manager& lease)
    : node(state), manager(lease), controller(state.settings.groups) {}

holder_state group_controller_runner::published_state() const {
  holder_state out;
  out.unresponsive = this->controller.silent_servers();
  out.loads_begun = this->controller.loads_begun(this->node.now());
  out.shares = this->controller.shares();
  return out;
}

earlier_loads group_controller_runner::known_earlier_loads() const {
  if (!this->node.last_holder_state) return {};
  return {this->node.last_holder_state->loads_begun,
          this->node.holder_heard_at - max_status_age};
}

std::vector<model_share> group_controller_runner::known_shares() const {
  const bool heard_later = this->node.last_holder_state &&
                           this->node.holder_heard_at > this->last_term_end;
  return heard_later ? this->node.last_holder_state->shares : this->last_shares;
}

void group_controller_runner::update_demand() {
  const absl::Time now = this->node.now();
  if (!this->node.settings.groups.follow_demand) return;
  if (now - this->demand_updated < demand_period) return;
  this->demand_updated = now;
  const demand_view known =
      this->node.demand.total(this->node.own_demand.rates(now), now);
  this->controller.update_demand(known, now);
  if (now - this->demand_logged < demand_log_period) return;
  this->demand_logged = now;
  for (const auto& asked : known.models) {
    this->node.log.state_change(
        "model_demand",
        {{"service", asked.service},
         {"model", asked.model},
         {"requests_s", absl::StrCat(asked.requests)},
         {"prompt_tokens_s", absl::StrCat(asked.prompt_tokens)},
         {"answer_tokens_s", absl::StrCat(asked.answer_tokens)},
         {"refused_s", absl::StrCat(asked.refused)},
         {"window_s", absl::StrCat(demand_window::window_s)},
         {"age_ms", absl::StrCat(absl::ToInt64Milliseconds(known.age))},
         {"missing_halls", absl::StrCat(known.missing_halls)}},
        now);
  }
}

void group_controller_runner::suspect(const std::string& server) {
  this->controller.suspect(server, this->node.now());
}

void group_controller_runner::sync_with_lease() {
  const bool held = this->manager.holds();
  if (held == this->term_active) return;
  this->term_active = held;
  if (held) {
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
      co_await this->node.fetcher.fetch(order.address, request, order_timeout);
  order_result end = order_result::unknown;
  if (result.status == fetch_status::not_sent) end = order_result::unreachable;
  if (result.status == fetch_status::ok) {
    end = this->node.adapter.read_order_answer(result.response);
  }
  this->node.metrics.count_order(order_name(order.kind),
                                 order_result_name(end));
  const bool conflict = end == order_result::conflict;
  this->log_order(order, end, conflict ? result.response.body() : result.error);
  this->controller.on_order_result(order, end, this->node.now());
}

void group_controller_runner::log_order(const group_order& order,
                                        order_result end,
                                        const std::string& why) {
  this->node.log.state_change(
      "order",
      {{"order", order_name(order.kind)},
       {"server", order.server},
       {"group", order.group},
       {"model", order.model},
       {"expected", absl::StrCat(order.expected_orders)},
       {"fence", absl::StrCat(order.fence)},
       {"result", order_result_name(end)},
       {"why", why}},
      this->node.now());
}

net::awaitable<void> group_controller_runner::fetch_report(
    std::string server, std::string address) {
  const http_request request = this->node.adapter.write_report_request(server);
  const absl::Duration limit =
      report_timeout + delay_allowance * this->node.loop_delay;
  const fetch_result result =
      co_await this->node.fetcher.fetch(address, request, limit);
  std::optional<server_report> report;
  if (result.status == fetch_status::ok) {
    report = this->node.adapter.read_report(result.response);
  }
  if (!report) {
    this->node.log.state_change("server_silent",
                                {{"server", server}, {"why", result.error}},
                                this->node.now());
  }
  this->controller.on_report(server, report, this->node.now());
}

void group_controller_runner::log_notes(
    const std::vector<controller_event>& notes) {
  for (const auto& note : notes) {
    this->node.log.state_change(
        note.event.c_str(),
        {{"subject", note.subject},
         {"why", note.reason},
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
  this->log_notes(actions.notes);
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

net::awaitable<void> group_controller_runner::run() {
  for (;;) {
    this->sync_with_lease();
    this->step();
    const absl::Duration period = this->term_active ? step_period : idle_period;
    co_await this->node.sleep(period);
  }
}

}  // namespace spokesail
