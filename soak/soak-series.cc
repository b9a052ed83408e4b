// Planned work in series, beside sound servers that are silent or slow.
#include <absl/strings/str_cat.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>

#include "clock.h"
#include "fleet-loop.h"
#include "soak.h"

namespace spokesail::soak {
namespace {

namespace net = boost::asio;
using json = nlohmann::json;
using standin::sleep_for;

/// The series draw from streams of their own, so that they do not change which
/// other faults a seed draws.
constexpr uint64_t work_stream = 0x100000000;
constexpr uint64_t silence_stream = 0x200000000;

constexpr absl::Duration max_work_gap = absl::Milliseconds(1200);
constexpr absl::Duration max_silence_gap = absl::Milliseconds(1200);
constexpr absl::Duration min_silence = absl::Milliseconds(200);
constexpr absl::Duration max_silence = absl::Seconds(4);
/// Maximum delay from the silence of one server to that of the next.
constexpr absl::Duration max_server_gap = absl::Milliseconds(250);
/// Number of servers of the small fleet.
constexpr int fleet_servers = 12;
/// Bounds of the delay of each answer of slow servers.
constexpr absl::Duration min_slowness = absl::Milliseconds(20);
constexpr absl::Duration max_slowness = absl::Milliseconds(250);
constexpr absl::Duration max_burst = absl::Seconds(2);
constexpr absl::Duration min_idle_timeout = absl::Seconds(1);
constexpr absl::Duration max_idle_timeout = absl::Seconds(15);
/// A node blocks its signals within this time of its start.
constexpr absl::Duration startup_time = absl::Seconds(1);

absl::Duration draw(random_stream& draws, absl::Duration min,
                    absl::Duration max) {
  return min + (max - min) * draws.unit();
}

}  // namespace

void soak_run::start_series() {
  for (auto series : {&soak_run::work_in_series, &soak_run::pause_in_series}) {
    this->active_series++;
    net::co_spawn(this->loop, (this->*series)(),
                  [this](std::exception_ptr failed) {
                    if (failed)
                      this->result.breaches.push_back("a series has failed");
                    this->active_series--;
                  });
  }
}

net::awaitable<void> soak_run::work_in_series() {
  random_stream draws{std::mt19937_64(this->options.seed + work_stream)};
  int64_t added_routes = 0;
  while (!this->series_over) {
    co_await sleep_for(draw(draws, absl::ZeroDuration(), max_work_gap));
    switch (draws.below(5)) {
      case 0:
        co_await this->change_config(
            "idle_timeout_ms", absl::ToInt64Milliseconds(draw(
                                   draws, min_idle_timeout, max_idle_timeout)));
        break;
      case 1:
        co_await this->change_config(
            "timeout_ms", absl::ToInt64Milliseconds(draw(
                              draws, request_deadline, 2 * request_deadline)));
        break;
      case 2:
        co_await this->change_config("added_routes", ++added_routes);
        break;
      case 3:
        this->hang_up(*this->hosts[draws.below(this->hosts.size())]);
        break;
      default:
        co_await this->burst(draws);
    }
  }
}

net::awaitable<void> soak_run::change_config(const char* setting,
                                             int64_t value) {
  const size_t at = this->begin_fault(setting, true);
  json body = json::object();
  body[setting] = value;
  co_await this->control_fleet("/configure", body);
  this->fault_windows[at].to = boot_now();
}

void soak_run::hang_up(entry_host& host) {
  if (boot_now() < host.started + startup_time) return;
  const size_t at = this->begin_fault("hang_up", true);
  host.process.signal(SIGHUP);
  this->fault_windows[at].to = boot_now();
}

net::awaitable<void> soak_run::burst(random_stream& draws) {
  const size_t at = this->begin_fault("burst", true);
  const size_t first = this->callers.size();
  this->start_callers(absl::StrCat("burst-", first, "-"), draws);
  const size_t end = this->callers.size();
  co_await sleep_for(draw(draws, absl::ZeroDuration(), max_burst));
  for (size_t i = first; i < end; ++i) this->callers[i]->stop();
  this->fault_windows[at].to = boot_now();
}

net::awaitable<void> soak_run::pause_in_series() {
  random_stream draws{std::mt19937_64(this->options.seed + silence_stream)};
  while (!this->series_over) {
    co_await sleep_for(draw(draws, absl::ZeroDuration(), max_silence_gap));
    co_await this->pause_servers(draws);
  }
}

net::awaitable<std::vector<std::string>> soak_run::some_servers(
    random_stream& draws) {
  const uint64_t chosen = draws.below(uint64_t{1} << fleet_servers);
  const json record = co_await this->control_fleet("/record", nullptr);
  auto servers = record.value("servers", std::vector<std::string>());
  servers.insert(servers.end(), {"p0", "p1"});
  std::vector<std::string> out;
  for (size_t i = 0; i < servers.size(); ++i) {
    if ((chosen >> i & 1) != 0) out.push_back(servers[i]);
  }
  co_return out;
}

net::awaitable<void> soak_run::pause_servers(random_stream& draws) {
  static const char* const services[] = {"", "lm", "status"};
  const uint64_t kind = draws.below(4);
  const absl::Duration length = draw(draws, min_silence, max_silence);
  absl::Duration gap;
  json body = json::object();
  body["service"] = services[draws.below(std::size(services))];
  body["share"] = 1;
  if (kind == 1) body["servers"] = co_await this->some_servers(draws);
  // Servers that are silent one after the other overlap at most in part.
  if (kind == 2) gap = draw(draws, absl::ZeroDuration(), max_server_gap);
  body["gap_ms"] = absl::ToInt64Milliseconds(gap);
  body["for_ms"] = absl::ToInt64Milliseconds(length);
  const bool slow = kind == 3;
  if (slow) {
    body["max_delay_ms"] =
        absl::ToInt64Milliseconds(draw(draws, min_slowness, max_slowness));
  }
  const std::string what = absl::StrCat(
      slow ? "slow_servers" : "silent_servers", " settings=", body.dump());
  const size_t at = this->begin_fault(what.c_str(), true);
  this->fault_windows[at].delays = true;
  co_await this->control_fleet(slow ? "/slow" : "/silent", body);
  co_await sleep_for(length + (fleet_servers - 1) * gap);
  this->fault_windows[at].to = boot_now();
}

}  // namespace spokesail::soak
