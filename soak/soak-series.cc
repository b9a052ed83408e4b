// Planned work in series, beside sound servers that are silent or slow.
#include <absl/strings/str_cat.h>

#include <boost/asio/co_spawn.hpp>
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

constexpr uint64_t max_gap_ms = 1200;
constexpr uint64_t max_burst_ms = 2000;
constexpr uint64_t min_silence_ms = 200;
constexpr uint64_t max_silence_ms = 4000;
/// Maximum delay from the silence of one server to that of the next.
constexpr uint64_t max_server_gap_ms = 250;
/// Maximum delay of each answer and event of a slow server.
constexpr uint64_t max_slowness_ms = 250;
/// Servers of the small fleet: engines, then plain ones.
constexpr uint64_t engines = 10;
constexpr uint64_t servers = 12;
/// A process that has just started may not handle its signals yet.
constexpr absl::Duration startup_time = absl::Seconds(1);

/// A setting that changes of the configuration set to a value up to `max`.
struct changed_setting {
  const char* name;
  uint64_t min;
  uint64_t max;
};
constexpr changed_setting settings[] = {{"idle_timeout_ms", 1000, 15000},
                                        {"timeout_ms", 4000, 8000},
                                        {"added_routes", 0, 8}};

/// A control call that makes servers silent or slow, and for how long.
struct server_pause {
  const char* call = "/silent";
  json body = json::object();
  absl::Duration length;
};

server_pause draw_pause(random_stream& draws) {
  static const char* const services[] = {"", "lm", "status"};
  server_pause out;
  const uint64_t kind = draws.below(4);
  const uint64_t length =
      min_silence_ms + draws.below(max_silence_ms - min_silence_ms);
  const uint64_t gap = kind == 2 ? draws.below(max_server_gap_ms) : 0;
  out.length = absl::Milliseconds(length + (servers - 1) * gap);
  out.body = {{"for_ms", length}, {"gap_ms", gap}, {"share", 1}};
  out.body["service"] = services[draws.below(std::size(services))];
  for (uint64_t i = 0; kind == 1 && i < servers; ++i) {
    if (draws.below(2) == 0) continue;
    out.body["servers"].push_back(i < engines ? absl::StrCat("s", 1 + i)
                                              : absl::StrCat("p", i - engines));
  }
  if (kind == 3) {
    out.call = "/slow";
    out.body["max_delay_ms"] = draws.below(max_slowness_ms);
  }
  return out;
}

net::awaitable<void> sleep_up_to(random_stream& draws, uint64_t max_ms) {
  return sleep_for(absl::Milliseconds(draws.below(max_ms)));
}

}  // namespace

net::awaitable<void> soak_run::work_in_series() {
  random_stream draws{std::mt19937_64(this->options.seed + work_stream)};
  while (!this->series_over) {
    co_await sleep_up_to(draws, max_gap_ms);
    const uint64_t kind = draws.below(std::size(settings) + 2);
    if (kind < std::size(settings)) {
      const auto& [name, min, max] = settings[kind];
      this->begin_fault(name, true);
      json body = json::object();
      body[name] = min + draws.below(max - min);
      co_await this->control_fleet("/configure", body);
    } else if (kind == std::size(settings)) {
      entry_host& host = *this->hosts[draws.below(this->hosts.size())];
      this->begin_fault("hang_up", true);
      if (boot_now() > host.started + startup_time) host.process.signal(SIGHUP);
    } else {
      this->begin_fault("burst", true);
      const size_t first = this->callers.size();
      this->start_callers(absl::StrCat("burst-", first, "-"), draws);
      co_await sleep_up_to(draws, max_burst_ms);
      for (size_t i = first; i < this->callers.size(); ++i)
        this->callers[i]->stop();
    }
  }
}

net::awaitable<void> soak_run::pause_in_series() {
  random_stream draws{std::mt19937_64(this->options.seed + silence_stream)};
  while (!this->series_over) {
    co_await sleep_up_to(draws, max_gap_ms);
    const server_pause pause = draw_pause(draws);
    const std::string what = absl::StrCat(pause.call, " ", pause.body.dump());
    const size_t at = this->begin_fault(what.c_str(), true);
    this->fault_windows[at].delays = true;
    co_await this->control_fleet(pause.call, pause.body);
    co_await sleep_for(pause.length);
    this->fault_windows[at].to = boot_now();
  }
}

}  // namespace spokesail::soak
