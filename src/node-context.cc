// The node's clock and the values derived from its state.
#include "node-context.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <random>

#include "clock.h"
#include "detail/socket.h"

namespace spokesail {
namespace {

/// File descriptors reserved for the store, orders and metrics.
constexpr size_t reserved_sockets = 64;

/// Sockets of a tunnel.
constexpr size_t tunnel_sockets = 2;

/// Fraction of the process' memory for buffered requests and answers. The rest
/// is for the process itself and the kernel's socket buffers.
constexpr double buffered_memory_fraction = 0.4;

/// Fraction for bytes of responses that are not passed on yet.
constexpr double incoming_memory_fraction = 0.1;

/// Largest response to a report or an order, in bytes.
constexpr size_t max_server_response_bytes = 64 << 10;

size_t part_of_memory(const node_settings& settings, double fraction) {
  return static_cast<size_t>(fraction * static_cast<double>(settings.memory));
}

}  // namespace

size_t max_incoming_bytes(const node_settings& settings) {
  return part_of_memory(settings, incoming_memory_fraction);
}

node_context::node_context(const node_settings& node_settings_in,
                           boost::asio::io_context& io,
                           platform_adapter& platform, object_store& objects,
                           http_fetcher& fetch, node_log& logger)
    : settings(node_settings_in),
      loop(io),
      adapter(platform),
      store(objects),
      fetcher(fetch),
      log(logger),
      pool(io.get_executor()),
      random{std::mt19937_64(std::random_device()())},
      started(boot_now()),
      held(part_of_memory(node_settings_in, buffered_memory_fraction)),
      incoming(max_incoming_bytes(node_settings_in), &this->held),
      intake({node_settings_in.cores, node_settings_in.link_bytes_per_s}),
      retries(node_settings_in.retries, started) {}

absl::Time node_context::now() const { return boot_now(); }

boost::asio::awaitable<void> node_context::sleep(absl::Duration time) {
  boost::asio::steady_timer timer(this->loop);
  timer.expires_after(absl::ToChronoNanoseconds(time));
  co_await timer.async_wait(detail::use_tuple);
}

boost::asio::awaitable<fetch_result> node_context::call_server(
    std::string address, http_request request, absl::Duration timeout) {
  const bool reuse = this->reachability.may_reuse(address, this->now());
  co_return co_await this->fetcher.fetch(
      std::move(address), std::move(request), timeout,
      {&this->connector, reuse, max_server_response_bytes});
}

void node_context::record_loop_delay(absl::Duration delay) {
  this->loop_delay =
      std::max(delay, this->loop_delay * node_timing::loop_delay_decay);
}

absl::Duration node_context::config_age() const {
  return this->now() - this->config_verified_at;
}

snapshot_age node_context::age() const {
  const absl::Time now = this->now();
  return {this->config_age(), now - this->servers_verified_at,
          this->evacuations.age(now)};
}

bool node_context::config_fresh() const {
  return this->config_age() <
         node_timing::fresh_fraction * this->settings.bounds.revoke_deadline;
}

bool node_context::keys_trusted() const {
  return !this->settings.keys_fail_closed ||
         spokesail::keys_trusted(this->config_age(), this->settings.bounds);
}

bool node_context::evacuations_known() const {
  return !this->settings.bounds.evacuate_deadline || this->evacuations.known();
}

bool node_context::hall_closed(const std::string& hall) const {
  return !this->evacuations_known() ||
         this->evacuations.closed(hall, this->servers_verified_at);
}

bool node_context::service_closed(const std::string& service) const {
  const auto& servers = this->directory.servers_of(service);
  return !servers.empty() &&
         std::all_of(servers.begin(), servers.end(), [this](const auto& id) {
           return this->hall_closed(this->directory.find(id)->hall);
         });
}

bool node_context::ready() const {
  return this->routes != nullptr && this->directory_listed &&
         this->evacuations_known() && !this->stopping() && this->keys_trusted();
}

void node_context::avoid_endpoint(const std::string& endpoint) {
  this->avoided_until[endpoint] = this->now() + node_timing::avoid_duration;
}

bool node_context::avoided(const std::string& endpoint) const {
  const auto found = this->avoided_until.find(endpoint);
  return found != this->avoided_until.end() && this->now() < found->second;
}

int node_context::capacity_sharing_nodes() {
  return std::max(this->live_nodes, this->fleet.peak(this->now()).value_or(1));
}

bool node_context::mark_leaving(const server_instance& server) {
  if (!this->directory.mark_leaving(server, this->now())) return false;
  this->pool.close(server.server);
  this->invalidate_group_cache();
  return true;
}

const char* node_context::reason_to_withhold(
    const server_instance& server) const {
  if (this->backoffs.find(server, this->now())) {
    return "server asked to back off";
  }
  const server_entry* entry = this->directory.find(server.server);
  const bool listed =
      entry != nullptr && entry->incarnation == server.incarnation;
  if (this->directory.is_leaving(server) || (listed && entry->draining)) {
    return "server is leaving";
  }
  return listed && this->hall_closed(entry->hall) ? "data hall is evacuated"
                                                  : nullptr;
}

void node_context::suspect_server(const std::string& server) {
  this->suspected_servers[server] = this->now();
}

void node_context::forget_recent_blame() {
  const absl::Time since = this->reachability.last_heard();
  std::erase_if(this->suspected_servers,
                [&](const auto& item) { return item.second >= since; });
  std::erase_if(this->avoided_until, [&](const auto& item) {
    return item.second - node_timing::avoid_duration >= since;
  });
}

void node_context::note_server_state(const server_instance& server,
                                     const answer_head& head) {
  if (head.leaving) this->mark_leaving(server);
  if (head.backoff)
    this->backoffs.note(server, *head.backoff, this->now(), this->random);
}

size_t node_context::used_sockets() const {
  return this->sessions.size() + this->exchanges.size() + this->pool.size() +
         tunnel_sockets * this->tunnel_count + reserved_sockets;
}

bool node_context::has_socket_for_tunnel() const {
  return this->used_sockets() + tunnel_sockets <=
         static_cast<size_t>(this->settings.max_sockets);
}

const std::vector<group_view>& node_context::groups(
    const std::string& service) {
  const auto cached = this->group_cache.find(service);
  if (cached != this->group_cache.end()) return cached->second;
  std::map<std::string, int> sizes;
  const backend_service* found =
      this->routes ? this->routes->find_service(service) : nullptr;
  if (found != nullptr && found->engine) sizes = group_sizes(*found->engine);
  return this->group_cache[service] =
             collect_groups(this->directory.servers(), service, sizes);
}

}  // namespace spokesail
