// Lease, orders and reports of the group controller.
#include "group-duty.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Name of the lease in the store.
constexpr char lease_name[] = "groups";

/// Period of the controller's steps while it holds the lease.
constexpr absl::Duration step_period = absl::Milliseconds(40);

/// Period at which other nodes look whether the lease has run out.
constexpr absl::Duration idle_period = absl::Milliseconds(100);

/// An order or a report that has no answer after this long has lost it; a
/// server answers in a few milliseconds.
constexpr absl::Duration order_limit = absl::Milliseconds(500);
constexpr absl::Duration report_limit = absl::Milliseconds(150);

/// A node that has not heard of the lease from a peer by then reads it; drawn
/// between these, so that few nodes read it when all start at once.
constexpr absl::Duration earliest_read = absl::Milliseconds(250);
constexpr absl::Duration latest_read = absl::Milliseconds(2000);

/// Candidates take a lease that ran out over in turn, this long one after the
/// other: a store's answer and a message to the peers fit in between.
constexpr absl::Duration turn_step = absl::Milliseconds(60);
/// Candidates beyond this rank share the last turns by chance.
constexpr int most_turns = 12;

/// Who has had no news of the store for this long would hardly reach it.
constexpr absl::Duration reach_time = absl::Milliseconds(1500);

/// Pauses after calls for the lease that failed. The holder has about 1.7 s
/// left when a renewal fails.
constexpr absl::Duration first_pause = absl::Milliseconds(100);
constexpr absl::Duration longest_pause = absl::Milliseconds(800);

/// A holder that found itself cut off from the servers leaves the duty to
/// others for this long.
constexpr absl::Duration stand_down_time = absl::Seconds(5);

}  // namespace

group_duty::group_duty(node_context& state)
    : node(state),
      controller(state.settings.groups),
      pauses(first_pause, longest_pause),
      self(absl::StrCat(state.settings.node, "/", state.random.engine())) {
  this->lease = spokesail::lease(lease_name, this->self, state.settings.lease);
}

bool group_duty::holds() const {
  return this->lease.held(this->node.now()) && !this->giving_up;
}

std::string group_duty::holder() const {
  if (this->holds()) return this->node.settings.node;
  const std::string& holder = this->lease.last_seen().holder;
  const std::string name = holder.substr(0, holder.rfind('/'));
  // What this node itself held before it started anew, or gave up, is over.
  return name == this->node.settings.node ? "" : name;
}

double group_duty::turn() {
  const auto names = this->candidates();
  const auto order = rendezvous("lease", names, most_turns);
  const auto at =
      std::find(order.begin(), order.end(), this->node.settings.node);
  const double rank = at == order.end()
                          ? most_turns * (1 + this->node.random.unit())
                          : static_cast<double>(at - order.begin());
  return rank * turn_step / this->node.settings.lease.takeover_spread;
}

bool group_duty::may_ask() const {
  const absl::Time now = this->node.now();
  if (now < this->quiet_until) return false;
  if (this->holds()) return true;
  if (now < this->stood_down_until) return false;
  if (!this->node.routes || !this->node.directory_listed) return false;
  return this->node.config_age() < reach_time;
}

void group_duty::stop() {
  this->giving_up = true;
  this->lease.release();
}

std::optional<lease_word> group_duty::word() const {
  // Who gave the lease up passes that on too, so that others need not wait.
  const bool gave_up = this->giving_up && this->lease.released();
  if (!this->holds() && !gave_up) return std::nullopt;
  const object& seen = this->lease.last_object();
  return lease_word{seen.version, seen.body};
}

std::vector<std::string> group_duty::silent() const {
  return this->controller.silent_servers();
}

void group_duty::observe(const lease_word& said) {
  object seen{{kinds::lease, lease_name}, said.version, said.record, false};
  this->lease.observe(seen, this->node.now(), this->turn());
  this->lease_read = true;
}

void group_duty::suspect(const std::string& server) {
  this->controller.suspect(server, this->node.now());
}

net::awaitable<void> group_duty::write_lease() {
  const auto call = this->lease.due(
      this->node.now(),
      absl::StrCat(this->self, "-", this->node.random.below(1ULL << 40)));
  if (!call) co_return;
  const platform_answer answer = co_await this->node.store.call(*call);
  this->node.metrics.count_store_call(
      "lease", answer.status == call_status::ok ? "ok" : "failed");
  const bool held = this->lease.held(this->node.now());
  this->lease.on_answer(answer, this->node.now(), this->turn());
  if (answer.status == call_status::unavailable) {
    this->quiet_until = this->node.now() + this->pauses.next(this->node.random);
  } else {
    this->pauses.reset();
  }
  if (held == this->lease.held(this->node.now())) co_return;
  this->node.log.belief(held ? "lease_lost" : "lease_taken",
                        {{"fence", absl::StrCat(this->lease.fence())},
                         {"holder", this->lease.last_seen().holder}},
                        this->node.now());
}

net::awaitable<bool> group_duty::read_lease() {
  const platform_call call{call_kind::read, {kinds::lease, lease_name}, 0, ""};
  const platform_answer answer = co_await this->node.store.call(call);
  this->node.metrics.count_store_call("get_lease", "sent");
  if (answer.status == call_status::unavailable) {
    this->quiet_until = this->node.now() + this->pauses.next(this->node.random);
    co_return false;
  }
  this->lease_read = true;
  if (answer.status == call_status::not_found) {
    this->lease.observe_absent(this->node.now(), this->node.random.unit());
  } else {
    this->lease.observe(answer.found, this->node.now(), this->turn());
  }
  co_return true;
}

net::awaitable<void> group_duty::look_at_lease() {
  if (this->giving_up) {
    if (!this->lease.released()) co_await this->write_lease();
    co_return;
  }
  if (!this->may_ask()) co_return;
  if (!this->lease_read) {
    const absl::Time now = this->node.now();
    if (this->first_read == absl::InfiniteFuture()) {
      this->first_read =
          now + earliest_read +
          (latest_read - earliest_read) * this->node.random.unit();
    }
    if (now < this->first_read) co_return;
    const bool read = co_await this->read_lease();
    if (!read) co_return;
  }
  co_await this->write_lease();
}

void group_duty::take_term() {
  const bool held = this->holds();
  if (held == this->term_active) return;
  this->term_active = held;
  if (held) {
    this->controller.start_term(this->lease.fence());
  } else {
    this->node.log.belief("term_ended",
                          {{"fence", absl::StrCat(this->lease.fence())}},
                          this->node.now());
    this->controller.stop_term();
  }
}

net::awaitable<void> group_duty::send_order(group_order order) {
  const http_request request = this->node.adapter.write_order(order);
  const fetch_result result =
      co_await this->node.fetcher.fetch(order.address, request, order_limit);
  order_result end = order_result::unknown;
  if (result.status == fetch_status::not_sent) end = order_result::unreachable;
  if (result.status == fetch_status::ok) {
    end = this->node.adapter.read_order_answer(result.response);
  }
  this->node.metrics.count_order(order_name(order.kind),
                                 order_result_name(end));
  this->node.log.belief(
      "order",
      {{"order", order_name(order.kind)},
       {"server", order.server},
       {"group", order.group},
       {"model", order.model},
       {"expected", absl::StrCat(order.expected_orders)},
       {"fence", absl::StrCat(order.fence)},
       {"result", order_result_name(end)},
       {"why",
        end == order_result::conflict ? result.response.body() : result.error}},
      this->node.now());
  this->controller.on_order(order, end, this->node.now());
}

net::awaitable<void> group_duty::ask_report(std::string server,
                                            std::string address) {
  const http_request request = this->node.adapter.write_report_request(server);
  const fetch_result result =
      co_await this->node.fetcher.fetch(address, request, report_limit);
  std::optional<server_report> report;
  if (result.status == fetch_status::ok) {
    report = this->node.adapter.read_report(result.response);
  }
  if (!report) {
    this->node.log.belief("server_silent",
                          {{"server", server}, {"why", result.error}},
                          this->node.now());
  }
  this->controller.on_report(server, report, this->node.now());
}

void group_duty::step() {
  if (!this->controller.active() || !this->node.routes) return;
  const group_actions actions =
      this->controller.step(this->node.directory, this->node.routes->config(),
                            this->node.requests_seen, this->node.now());
  for (const auto& note : actions.notes) {
    this->node.log.belief(
        note.event.c_str(),
        {{"subject", note.subject},
         {"why", note.reason},
         {"servers_rev", absl::StrCat(this->node.directory.revision())}},
        this->node.now());
  }
  for (const auto& order : actions.orders) {
    net::co_spawn(this->node.loop, this->send_order(order), net::detached);
  }
  for (const auto& id : actions.reports) {
    const server_entry* entry = this->node.directory.find(id);
    if (entry == nullptr) continue;
    net::co_spawn(this->node.loop, this->ask_report(id, entry->address),
                  net::detached);
  }
  if (actions.step_down) {
    this->stood_down_until = this->node.now() + stand_down_time;
    this->lease.abandon();
  }
}

net::awaitable<void> group_duty::keep_lease() {
  for (;;) {
    co_await this->look_at_lease();
    co_await this->node.sleep(idle_period);
  }
}

net::awaitable<void> group_duty::run() {
  net::co_spawn(this->node.loop, this->keep_lease(), net::detached);
  for (;;) {
    this->take_term();
    this->step();
    const absl::Duration period = this->term_active ? step_period : idle_period;
    co_await this->node.sleep(period);
  }
}

}  // namespace spokesail
