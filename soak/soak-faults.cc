// The faults of a soak, drawn from its seed.
#include <absl/strings/str_cat.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <iostream>

#include "clock.h"
#include "fleet-loop.h"
#include "soak.h"

namespace spokesail::soak {
namespace {

namespace net = boost::asio;
using json = nlohmann::json;
using standin::sleep_for;

/// Faults at work at the same time, at most.
constexpr int most_at_work = 3;
constexpr absl::Duration least_gap = absl::Milliseconds(100);
constexpr absl::Duration longest_gap = absl::Milliseconds(900);
constexpr absl::Duration least_fault = absl::Milliseconds(200);
constexpr absl::Duration longest_fault = absl::Milliseconds(3500);
constexpr absl::Duration least_delay = absl::Milliseconds(10);
constexpr absl::Duration longest_delay = absl::Milliseconds(300);
/// A process that was stopped is started again after this long at most.
constexpr absl::Duration longest_down = absl::Milliseconds(900);
constexpr absl::Duration look_again = absl::Milliseconds(20);

/// Numbers that `strike` knows; a fault that has several is drawn more often.
constexpr uint64_t fault_kinds = 12;

}  // namespace

absl::Duration soak_run::drawn(absl::Duration least, absl::Duration most) {
  return least + (most - least) * this->random.unit();
}

soak_run::entry_host& soak_run::some_host() {
  return *this->hosts[this->random.below(this->hosts.size())];
}

size_t soak_run::begin_struck(const char* what, bool planned) {
  this->result.faults++;
  this->struck.push_back({boot_now(), absl::InfiniteFuture(), planned});
  std::cout << "time=" << absl::FormatTime(absl::Now())
            << " event=fault what=" << what << "\n";
  return this->struck.size() - 1;
}

net::awaitable<void> soak_run::strike_all() {
  const absl::Time until = boot_now() + this->options.time;
  while (boot_now() < until) {
    co_await sleep_for(this->drawn(least_gap, longest_gap));
    if (this->at_work >= most_at_work) continue;
    this->at_work++;
    const uint64_t kind = this->random.below(fault_kinds);
    net::co_spawn(
        this->loop,
        [this, kind]() -> net::awaitable<void> {
          co_await this->strike(kind);
          this->at_work--;
        },
        net::detached);
  }
  while (this->at_work > 0) co_await sleep_for(look_again);
}

net::awaitable<void> soak_run::strike(uint64_t kind) {
  switch (kind) {
    case 0:
    case 1:
      co_await this->restart_node(SIGTERM);
      break;
    case 2:
      co_await this->restart_node(SIGKILL);
      break;
    case 3:
      co_await this->pause_node();
      break;
    case 4:
    case 5:
      co_await this->harm_relay(*this->some_host().store);
      break;
    case 6:
      co_await this->harm_relay(*this->some_host().callers);
      break;
    case 7:
      co_await this->set_fault("store_silent", true, false);
      break;
    case 8:
      co_await this->take_key_away();
      break;
    case 9:
      co_await this->darken_server();
      break;
    default:
      co_await this->harm_servers();
  }
}

net::awaitable<void> soak_run::restart_node(int signal) {
  entry_host& host = this->some_host();
  const bool planned = signal == SIGTERM;
  const size_t at =
      this->begin_struck(planned ? "terminate_node" : "kill_node", planned);
  // Another kill may strike while this node still stops.
  if (!planned) host.killed = true;
  host.process.signal(signal);
  while (host.process.running()) co_await sleep_for(look_again);
  if (planned && !host.killed && host.process.exit_code() != 0) {
    this->result.breaches.push_back(absl::StrCat(
        "a node that was told to stop ended with ", host.process.exit_code()));
  }
  co_await sleep_for(this->drawn(absl::ZeroDuration(), longest_down));
  if (this->start_process(host)) host.killed = false;
  this->struck[at].to = boot_now();
}

net::awaitable<void> soak_run::pause_node() {
  entry_host& host = this->some_host();
  const size_t at = this->begin_struck("pause_node", false);
  host.process.signal(SIGSTOP);
  co_await sleep_for(this->drawn(least_fault, longest_fault));
  host.process.signal(SIGCONT);
  this->struck[at].to = boot_now();
}

net::awaitable<void> soak_run::harm_relay(faulty_relay& relay) {
  const uint64_t how = this->random.below(4);
  static const char* const names[] = {"reset", "delay", "one_way", "silence"};
  const size_t at = this->begin_struck(names[how], false);
  switch (how) {
    case 0:
      relay.reset_all();
      break;
    case 1:
      relay.faults.delay = this->drawn(least_delay, longest_delay);
      break;
    case 2: {
      const bool forth = this->random.below(2) == 0;
      (forth ? relay.faults.hold_forth : relay.faults.hold_back) = true;
      break;
    }
    default:
      relay.faults.hold_forth = true;
      relay.faults.hold_back = true;
  }
  co_await sleep_for(this->drawn(least_fault, longest_fault));
  relay.faults = {};
  this->struck[at].to = boot_now();
}

net::awaitable<void> soak_run::set_fault(std::string name, json value,
                                         json normal) {
  const size_t at = this->begin_struck(name.c_str(), false);
  json body = json::object();
  body[name] = std::move(value);
  co_await this->steer("/faults", body);
  co_await sleep_for(this->drawn(least_fault, longest_fault));
  body[name] = std::move(normal);
  co_await this->steer("/faults", body);
  this->struck[at].to = boot_now();
}

net::awaitable<void> soak_run::harm_servers() {
  switch (this->random.below(6)) {
    case 0:
      co_await this->set_fault("lose_plain_answers", true, false);
      break;
    case 1:
      co_await this->set_fault("shed_plain", true, false);
      break;
    case 2:
      co_await this->set_fault("cross_plain_answers", true, false);
      break;
    case 3:
      co_await this->set_fault("late_orders", 0.3, 0.0);
      break;
    case 4:
      co_await this->set_fault("lost_order_answers", 0.3, 0.0);
      break;
    default:
      co_await this->set_fault("break_after_events", 1 + this->random.below(8),
                               0);
  }
}

net::awaitable<void> soak_run::darken_server() {
  const json record = co_await this->steer("/record", nullptr);
  const auto servers = record.value("servers", std::vector<std::string>());
  if (servers.empty()) co_return;
  const std::string id = servers[this->random.below(servers.size())];
  const size_t at = this->begin_struck("dark_server", false);
  json body = json::object();
  body["server"] = id;
  body["dark"] = true;
  co_await this->steer("/dark", body);
  co_await sleep_for(this->drawn(least_fault, longest_fault));
  body["dark"] = false;
  co_await this->steer("/dark", body);
  this->struck[at].to = boot_now();
}

net::awaitable<void> soak_run::take_key_away() {
  // Two of these at once would give the key back while it counts as gone.
  if (this->key_taken) co_return;
  this->key_taken = true;
  this->begin_struck("take_key_away", true);
  this->struck.back().to = boot_now();
  json keys = json::array();
  keys.push_back("key-1");
  co_await this->steer("/keys", keys);
  const size_t at = this->key_gone.size();
  this->key_gone.push_back({boot_now()});
  co_await sleep_for(2 * longest_fault);
  this->key_gone[at].to = boot_now();
  keys.push_back("key-2");
  co_await this->steer("/keys", keys);
  this->key_taken = false;
}

}  // namespace spokesail::soak
