// Starts the processes of a soak, lets faults strike, and judges what was seen.
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

/// All nodes serve within this time from their start, and after all faults.
constexpr absl::Duration start_limit = absl::Seconds(15);
constexpr absl::Duration steer_limit = absl::Seconds(5);
constexpr absl::Duration ask_limit = absl::Milliseconds(1500);
constexpr absl::Duration look_again = absl::Milliseconds(50);
/// Requests that run when the callers stop end within this time.
constexpr absl::Duration stop_accept_time = absl::Seconds(8);

/// Id of the requests by which the soak itself asks whether a node serves.
constexpr char probe_id[] = "probe";

/// An address of this process' own on loopback, which no other process uses.
std::string own_address() {
  static int port = 20000;
  const auto id = static_cast<unsigned>(getpid());
  return absl::StrCat("127.", 1 + (id >> 16) % 250, ".", (id >> 8) % 256, ".",
                      1 + id % 250, ":", ++port);
}

std::pair<std::string, std::string> split(const std::string& address) {
  const size_t colon = address.rfind(':');
  return {address.substr(0, colon), address.substr(colon + 1)};
}

}  // namespace

soak_run::soak_run(net::io_context& io, soak_options what)
    : loop(io),
      options(std::move(what)),
      random{std::mt19937_64(options.seed)},
      fetcher(io.get_executor(), "soak") {}

net::awaitable<json> soak_run::steer(std::string call, json body) {
  http_request request(http::verb::post, call, http_11);
  request.body() = body.dump();
  const fetch_result got =
      co_await this->fetcher.fetch(this->steer_address, request, steer_limit);
  if (got.status != fetch_status::ok) co_return nullptr;
  co_return json::parse(got.response.body(), nullptr, false);
}

net::awaitable<bool> soak_run::start_fleet() {
  this->steer_address = own_address();
  const auto [ip, port] = split(this->steer_address);
  const bool started = this->fleet.start(
      {this->options.fleet_program, "--address=" + ip, "--port=" + port},
      this->options.folder + "/fleet.log");
  if (!started) co_return false;
  const absl::Time until = boot_now() + start_limit;
  while (boot_now() < until) {
    const json said = co_await this->steer("/address", nullptr);
    if (said.is_object()) {
      co_return co_await this->start_nodes(said.at("store"));
    }
    co_await sleep_for(look_again);
  }
  co_return false;
}

void soak_run::add_node(int index, const std::string& store) {
  auto host = std::make_unique<entry_host>();
  const std::string name = absl::StrCat("node-", index);
  const std::string callers_at = own_address();
  const std::string outside = own_address();
  const std::string store_at = own_address();
  host->settings_file = absl::StrCat(this->options.folder, "/", name, ".yaml");
  host->log_file = absl::StrCat(this->options.folder, "/", name, ".log");
  host->callers =
      std::make_unique<faulty_relay>(this->loop, outside, callers_at);
  host->store = std::make_unique<faulty_relay>(this->loop, store_at, store);
  host->callers->start();
  host->store->start();
  std::ofstream(host->settings_file)
      << "node: " << name << "\nhall: hall\nlisten:\n  callers: " << callers_at
      << "\n  ready: " << own_address() << "\n  metrics: " << own_address()
      << "\n  peers: " << own_address() << "\nplatform: " << store_at
      << "\nbounds:\n  revoke_ms: 3000\n  stop_grace_s: 8\n"
      << "  repeat_slack: 136\n";
  this->addresses.push_back(outside);
  this->hosts.push_back(std::move(host));
}

bool soak_run::start_process(entry_host& host) {
  return host.process.start(
      {this->options.node_program, "node", "--settings=" + host.settings_file},
      host.log_file);
}

net::awaitable<bool> soak_run::start_nodes(const std::string& store) {
  for (int i = 0; i < this->options.nodes; ++i) this->add_node(i, store);
  for (auto& host : this->hosts) {
    if (!this->start_process(*host)) co_return false;
  }
  co_return co_await this->wait_serving(start_limit);
}

net::awaitable<bool> soak_run::serves(const std::string& address) {
  http_request request(http::verb::post, "/draft/probe", http_11);
  request.set(http::field::host, "callers.example");
  request.set(http::field::authorization, "Bearer key-1");
  request.set("X-Request-Id", probe_id);
  request.set("X-Model", "large");
  const fetch_result got =
      co_await this->fetcher.fetch(address, request, ask_limit);
  if (got.status != fetch_status::ok) co_return false;
  co_return got.response.result_int() == 200;
}

net::awaitable<bool> soak_run::wait_serving(absl::Duration limit) {
  const absl::Time until = boot_now() + limit;
  for (const auto& address : this->addresses) {
    for (;;) {
      if (co_await this->serves(address)) break;
      if (boot_now() >= until) co_return false;
      co_await sleep_for(look_again);
    }
  }
  co_return true;
}

void soak_run::start_callers() {
  for (int i = 0; i < this->options.callers; ++i) {
    this->callers.push_back(
        std::make_unique<caller>(this->loop, this->addresses,
                                 absl::StrCat("c", i), this->random.engine()));
    net::co_spawn(this->loop, this->callers.back()->run(), net::detached);
  }
}

net::awaitable<void> soak_run::stop_callers() {
  for (auto& c : this->callers) c->stop();
  const absl::Time until = boot_now() + stop_accept_time;
  const auto done = [](const auto& c) { return c->done(); };
  while (boot_now() < until &&
         !std::all_of(this->callers.begin(), this->callers.end(), done)) {
    co_await sleep_for(look_again);
  }
}

net::awaitable<soak_result> soak_run::play() {
  if (!co_await this->start_fleet()) {
    this->result.breaches.push_back("the nodes do not serve after their start");
    co_return this->result;
  }
  this->start_callers();
  co_await this->strike_all();
  if (!co_await this->wait_serving(start_limit)) {
    this->result.breaches.push_back("the nodes do not serve after the faults");
  }
  co_await this->stop_callers();
  json record = co_await this->steer("/record", nullptr);
  if (!record.is_object()) {
    this->result.breaches.push_back("the fleet's process does not answer");
    record = json::object();
  }
  record["runs"].erase(probe_id);
  this->check_all(record);
  co_return this->result;
}

}  // namespace spokesail::soak
