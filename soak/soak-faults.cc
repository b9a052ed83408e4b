// The faults of a soak test, drawn from its seed.
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

/// Maximum number of faults active at the same time.
constexpr int max_active_faults = 3;
constexpr absl::Duration min_fault_gap = absl::Milliseconds(100);
constexpr absl::Duration max_fault_gap = absl::Milliseconds(900);
constexpr absl::Duration min_fault_time = absl::Milliseconds(200);
constexpr absl::Duration max_fault_time = absl::Milliseconds(3500);
constexpr absl::Duration min_proxy_delay = absl::Milliseconds(10);
constexpr absl::Duration max_proxy_delay = absl::Milliseconds(300);
/// Maximum time from the end of a node's process to its next start.
constexpr absl::Duration max_downtime = absl::Milliseconds(900);
constexpr absl::Duration poll_interval = absl::Milliseconds(20);

/// Number of cases of `inject_fault`. A fault with several cases is drawn more
/// often.
constexpr uint64_t fault_kinds = 12;

}  // namespace

absl::Duration soak_run::random_duration(absl::Duration min,
                                         absl::Duration max) {
  return min + (max - min) * this->random.unit();
}

soak_run::entry_host& soak_run::random_host() {
  return *this->hosts[this->random.below(this->hosts.size())];
}

size_t soak_run::begin_fault(const char* what, bool planned) {
  this->result.faults++;
  this->fault_windows.push_back({boot_now(), absl::InfiniteFuture(), planned});
  std::cout << "time=" << absl::FormatTime(absl::Now())
            << " event=fault what=" << what << "\n";
  return this->fault_windows.size() - 1;
}

net::awaitable<void> soak_run::inject_planned_stops() {
  // This phase does not change which faults the seed draws after it.
  const random_stream before = this->random;
  const absl::Time until = boot_now() + this->options.time;
  while (boot_now() < until) {
    co_await sleep_for(this->random_duration(min_fault_gap, max_fault_gap));
    co_await this->restart_node(SIGTERM);
  }
  this->random = before;
}

net::awaitable<void> soak_run::inject_faults() {
  const absl::Time until = boot_now() + this->options.time;
  while (boot_now() < until) {
    co_await sleep_for(this->random_duration(min_fault_gap, max_fault_gap));
    if (this->active_faults >= max_active_faults) continue;
    this->active_faults++;
    const uint64_t kind = this->random.below(fault_kinds);
    net::co_spawn(
        this->loop,
        [this, kind]() -> net::awaitable<void> {
          co_await this->inject_fault(kind);
          this->active_faults--;
        },
        net::detached);
  }
  while (this->active_faults > 0) co_await sleep_for(poll_interval);
}

net::awaitable<void> soak_run::inject_fault(uint64_t kind) {
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
      co_await this->inject_proxy_fault(*this->random_host().store_proxy);
      break;
    case 6:
      co_await this->inject_proxy_fault(*this->random_host().callers_proxy);
      break;
    case 7:
      co_await this->set_fault("store_silent", true, false);
      break;
    case 8:
      co_await this->revoke_key();
      break;
    case 9:
      co_await this->isolate_server();
      break;
    default:
      co_await this->inject_server_fault();
  }
}

net::awaitable<void> soak_run::restart_node(int signal) {
  entry_host& host = this->random_host();
  const bool planned = signal == SIGTERM;
  const size_t at =
      this->begin_fault(planned ? "terminate_node" : "kill_node", planned);
  // The node may be killed by another fault while it is still stopping.
  if (!planned) host.killed = true;
  host.process.signal(signal);
  while (host.process.running()) co_await sleep_for(poll_interval);
  if (planned && !host.killed && host.process.exit_code() != 0) {
    this->result.breaches.push_back(
        absl::StrCat("a node stopped by SIGTERM ended with exit code ",
                     host.process.exit_code()));
  }
  co_await sleep_for(this->random_duration(absl::ZeroDuration(), max_downtime));
  if (this->start_process(host)) host.killed = false;
  this->fault_windows[at].to = boot_now();
}

net::awaitable<void> soak_run::pause_node() {
  entry_host& host = this->random_host();
  const size_t at = this->begin_fault("pause_node", false);
  host.process.signal(SIGSTOP);
  co_await sleep_for(this->random_duration(min_fault_time, max_fault_time));
  host.process.signal(SIGCONT);
  this->fault_windows[at].to = boot_now();
}

net::awaitable<void> soak_run::inject_proxy_fault(fault_proxy& proxy) {
  const uint64_t fault = this->random.below(4);
  static const char* const names[] = {"reset", "delay", "one_way", "silence"};
  const size_t at = this->begin_fault(names[fault], false);
  switch (fault) {
    case 0:
      proxy.reset_all();
      break;
    case 1:
      proxy.faults.delay =
          this->random_duration(min_proxy_delay, max_proxy_delay);
      break;
    case 2: {
      const bool to_target = this->random.below(2) == 0;
      (to_target ? proxy.faults.hold_to_target : proxy.faults.hold_to_client) =
          true;
      break;
    }
    default:
      proxy.faults.hold_to_target = true;
      proxy.faults.hold_to_client = true;
  }
  co_await sleep_for(this->random_duration(min_fault_time, max_fault_time));
  proxy.faults = {};
  this->fault_windows[at].to = boot_now();
}

net::awaitable<void> soak_run::set_fault(std::string name, json value,
                                         json normal) {
  const size_t at = this->begin_fault(name.c_str(), false);
  json body = json::object();
  body[name] = std::move(value);
  co_await this->control_fleet("/faults", body);
  co_await sleep_for(this->random_duration(min_fault_time, max_fault_time));
  body[name] = std::move(normal);
  co_await this->control_fleet("/faults", body);
  this->fault_windows[at].to = boot_now();
}

net::awaitable<void> soak_run::inject_server_fault() {
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

net::awaitable<void> soak_run::isolate_server() {
  const json record = co_await this->control_fleet("/record", nullptr);
  const auto servers = record.value("servers", std::vector<std::string>());
  if (servers.empty()) co_return;
  const std::string id = servers[this->random.below(servers.size())];
  const size_t at = this->begin_fault("dark_server", false);
  json body = json::object();
  body["server"] = id;
  body["dark"] = true;
  co_await this->control_fleet("/dark", body);
  co_await sleep_for(this->random_duration(min_fault_time, max_fault_time));
  body["dark"] = false;
  co_await this->control_fleet("/dark", body);
  this->fault_windows[at].to = boot_now();
}

net::awaitable<void> soak_run::revoke_key() {
  // With two revocations at once, the end of the first would restore the key
  // while the second still counts it as revoked.
  if (this->key_revoked) co_return;
  this->key_revoked = true;
  this->begin_fault("take_key_away", true);
  this->fault_windows.back().to = boot_now();
  json keys = json::array();
  keys.push_back("key-1");
  co_await this->control_fleet("/keys", keys);
  const size_t at = this->key_revocations.size();
  this->key_revocations.push_back({boot_now()});
  co_await sleep_for(2 * max_fault_time);
  this->key_revocations[at].to = boot_now();
  keys.push_back("key-2");
  co_await this->control_fleet("/keys", keys);
  this->key_revoked = false;
}

}  // namespace spokesail::soak
