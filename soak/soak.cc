// Starts the processes of a soak test and controls its phases.
#include "soak.h"

#include <absl/strings/str_cat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fstream>

#include "clock.h"
#include "fleet-loop.h"
#include "spokesail/platform-adapter.h"

namespace spokesail::soak {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using json = nlohmann::json;
using standin::sleep_for;

/// All nodes must serve within this time of their start and of the last fault.
constexpr absl::Duration serving_timeout = absl::Seconds(15);
constexpr absl::Duration control_timeout = absl::Seconds(5);
constexpr absl::Duration probe_timeout = absl::Milliseconds(1500);
constexpr absl::Duration poll_interval = absl::Milliseconds(50);
/// Maximum wait for requests still running when the callers stop.
constexpr absl::Duration last_requests_timeout = absl::Seconds(8);

/// Id of the requests that the soak test sends to check whether a node serves.
constexpr char probe_id[] = "probe";

/// A new loopback address, derived from the process id so that no other process
/// uses it.
std::string unique_loopback_address() {
  static int port = 20000;
  const auto id = static_cast<unsigned>(getpid());
  return absl::StrCat("127.", 1 + (id >> 16) % 250, ".", (id >> 8) % 256, ".",
                      1 + id % 250, ":", ++port);
}

std::pair<std::string, std::string> split_address(const std::string& address) {
  const size_t colon = address.rfind(':');
  return {address.substr(0, colon), address.substr(colon + 1)};
}

}  // namespace

soak_run::soak_run(net::io_context& io, soak_options run_options)
    : loop(io),
      options(std::move(run_options)),
      random{std::mt19937_64(options.seed)},
      fetcher(io.get_executor(), "soak") {}

net::awaitable<json> soak_run::control_fleet(std::string call, json body) {
  http_request request(http::verb::post, call, http_11);
  request.body() = body.dump();
  const fetch_result got = co_await this->fetcher.fetch(
      this->control_address, request, control_timeout);
  if (got.status != fetch_status::ok) co_return nullptr;
  co_return json::parse(got.response.body(), nullptr, false);
}

net::awaitable<bool> soak_run::start_fleet() {
  this->control_address = unique_loopback_address();
  const auto [ip, port] = split_address(this->control_address);
  const bool started = this->fleet.start(
      {this->options.fleet_program, "--address=" + ip, "--port=" + port},
      this->options.folder + "/fleet.log");
  if (!started) co_return false;
  const absl::Time until = boot_now() + serving_timeout;
  while (boot_now() < until) {
    const json reply = co_await this->control_fleet("/address", nullptr);
    if (reply.is_object()) {
      co_return co_await this->start_nodes(reply.at("store"));
    }
    co_await sleep_for(poll_interval);
  }
  co_return false;
}

void soak_run::add_node(int index, const std::string& store) {
  auto host = std::make_unique<entry_host>();
  const std::string name = absl::StrCat("node-", index);
  const std::string callers_address = unique_loopback_address();
  const std::string public_address = unique_loopback_address();
  const std::string store_proxy_address = unique_loopback_address();
  host->settings_file = absl::StrCat(this->options.folder, "/", name, ".yaml");
  host->log_file = absl::StrCat(this->options.folder, "/", name, ".log");
  host->callers_proxy = std::make_unique<fault_proxy>(
      this->loop, public_address, callers_address);
  host->store_proxy =
      std::make_unique<fault_proxy>(this->loop, store_proxy_address, store);
  host->callers_proxy->start();
  host->store_proxy->start();
  std::ofstream(host->settings_file)
      << "node: " << name
      << "\nhall: hall\nlisten:\n  callers: " << callers_address
      << "\n  ready: " << unique_loopback_address()
      << "\n  metrics: " << unique_loopback_address()
      << "\n  peers: " << unique_loopback_address()
      << "\nplatform: " << store_proxy_address
      << "\nbounds:\n  revoke_ms: 3000\n  stop_grace_s: 8\n"
      << "  repeat_slack: 136\n";
  this->addresses.push_back(public_address);
  this->hosts.push_back(std::move(host));
}

bool soak_run::start_process(entry_host& host) {
  host.started = boot_now();
  return host.process.start(
      {this->options.node_program, "node", "--settings=" + host.settings_file},
      host.log_file);
}

net::awaitable<bool> soak_run::start_nodes(const std::string& store) {
  for (int i = 0; i < this->options.nodes; ++i) this->add_node(i, store);
  for (auto& host : this->hosts) {
    if (!this->start_process(*host)) co_return false;
  }
  co_return co_await this->wait_until_serving(serving_timeout);
}

net::awaitable<bool> soak_run::is_serving(const std::string& address) {
  http_request request(http::verb::post, "/draft/probe", http_11);
  request.set(http::field::host, "callers.example");
  request.set(http::field::authorization, "Bearer key-1");
  request.set("X-Request-Id", probe_id);
  request.set("X-Model", "large");
  const fetch_result got =
      co_await this->fetcher.fetch(address, request, probe_timeout);
  if (got.status != fetch_status::ok) co_return false;
  co_return got.response.result_int() == 200;
}

net::awaitable<bool> soak_run::wait_until_serving(absl::Duration limit) {
  const absl::Time until = boot_now() + limit;
  for (const auto& address : this->addresses) {
    for (;;) {
      if (co_await this->is_serving(address)) break;
      if (boot_now() >= until) co_return false;
      co_await sleep_for(poll_interval);
    }
  }
  co_return true;
}

void soak_run::start_callers(const std::string& prefix, random_stream& draws) {
  for (int i = 0; i < this->options.callers; ++i) {
    this->callers.push_back(std::make_unique<caller>(
        this->loop, this->addresses, absl::StrCat(prefix, i), draws.engine()));
    net::co_spawn(this->loop, this->callers.back()->run(), net::detached);
  }
}

net::awaitable<void> soak_run::stop_callers() {
  for (auto& c : this->callers) c->stop();
  const absl::Time until = boot_now() + last_requests_timeout;
  const auto done = [](const auto& c) { return c->done(); };
  while (boot_now() < until &&
         !std::all_of(this->callers.begin(), this->callers.end(), done)) {
    co_await sleep_for(poll_interval);
  }
}

net::awaitable<soak_result> soak_run::run() {
  if (!co_await this->start_fleet()) {
    this->result.breaches.push_back(
        "startup failed: not all nodes serve requests");
    co_return this->result;
  }
  this->start_callers("c", this->random);
  const auto on_end = [this](std::exception_ptr failed) {
    if (failed) this->result.breaches.push_back("a series has failed");
    this->active_series--;
  };
  this->active_series = 2;
  net::co_spawn(this->loop, this->work_in_series(), on_end);
  net::co_spawn(this->loop, this->pause_in_series(), on_end);
  co_await this->inject_planned_stops();
  co_await this->inject_faults();
  this->series_over = true;
  while (this->active_series > 0) co_await sleep_for(poll_interval);
  if (!co_await this->wait_until_serving(serving_timeout)) {
    this->result.breaches.push_back(
        "not all nodes serve requests after the last fault");
  }
  co_await this->stop_callers();
  json record = co_await this->control_fleet("/record", nullptr);
  if (!record.is_object()) {
    this->result.breaches.push_back(
        "the fleet process did not return its record");
    record = json::object();
  }
  record["runs"].erase(probe_id);
  this->check_all(record);
  co_return this->result;
}

}  // namespace spokesail::soak
