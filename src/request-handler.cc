// The processing of a request from its head to its end: checks, attempts,
// refusals.
#include "request-handler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "caller-session.h"
#include "end-to-end.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

/// Grace period for a response that is about to arrive at the deadline.
constexpr absl::Duration response_grace = absl::Milliseconds(150);

/// A plain call is slow if it takes this many times the route's goal.
constexpr double slow_response_goal_factor = 2.2;

/// Retry delay for callers refused for lack of capacity: groups reopen or free
/// a slot within about this time.
constexpr absl::Duration no_capacity_retry_delay = absl::Milliseconds(400);
/// Retry delay during evacuations, which last seconds at least.
constexpr absl::Duration evacuation_retry_delay = absl::Seconds(1);
/// Upper bound on the retry delay for rate limits: a low limit may end before
/// the computed delay has passed.
constexpr absl::Duration max_limit_retry_delay = absl::Seconds(3);
/// Upper bound on the retry delay for backoffs: servers may be added meanwhile.
constexpr absl::Duration max_backoff_retry_delay = absl::Seconds(10);
/// Retry delay if only this node refuses: another node can take the request at
/// once.
constexpr absl::Duration other_node_retry_delay = absl::Milliseconds(20);
/// Retry delay if no path to the servers is known; direct connections are
/// probed several times meanwhile.
constexpr absl::Duration no_path_retry_delay = absl::Milliseconds(500);
/// Retry delay while no configuration is known; one is read within about this
/// time.
constexpr absl::Duration no_config_retry_delay = absl::Milliseconds(500);

/// How long a request waits on a node that has just started. The node reads its
/// configuration and the server list within about this time, most of which goes
/// into a large configuration on a small host.
constexpr absl::Duration startup_timeout = absl::Milliseconds(450);
constexpr absl::Duration startup_poll_interval = absl::Milliseconds(15);

/// A first event is overdue after this many times its predicted time plus this
/// slack. Overdue first events reveal stalled groups.
constexpr double first_event_factor = 2;
constexpr absl::Duration first_event_slack = absl::Milliseconds(300);

/// Maximum attempts of one request that reach a server, including those that
/// servers reject.
constexpr int max_attempts = 4;
/// Maximum attempts of one request that do not. Many servers may have crashed
/// at once, and it shows within a few round trips.
constexpr int max_unconnected_attempts = 8;

/// Lowest priority rank that servers accept; 0 is the highest.
constexpr int lowest_rank = 9;
/// Ranks of routes within one rank of a workspace.
constexpr int route_ranks = 3;
/// Rank of requests that belong to no workspace.
constexpr int no_workspace_rank = 1;

}  // namespace

request_handler::request_handler(node_context& state, caller_session& caller,
                                 http_request content, absl::Time when,
                                 bool keep)
    : node(state),
      session(caller),
      request(std::move(content)),
      arrived(when),
      keep_alive(keep),
      table(state.routes),
      chunked(this->request.version() >= http_11) {}

absl::Duration request_handler::time_left() const {
  return std::min(this->deadline, this->node.serves_until()) - this->node.now();
}

bool request_handler::too_late_to_send() const {
  return this->node.closing() && this->time_left() < this->route->goal;
}

net::awaitable<void> request_handler::wait_until_ready() {
  const absl::Time until = this->arrived + startup_timeout;
  const auto is_ready = [this] {
    // Without a configuration it is refused at once.
    if (!this->node.routes) return true;
    return this->node.directory_listed && this->node.evacuations_known();
  };
  while (!is_ready() && !this->session.disconnected &&
         this->node.now() < until) {
    co_await this->node.sleep(startup_poll_interval);
  }
  this->table = this->node.routes;
}

absl::Duration request_handler::first_config_delay() const {
  const absl::Duration left =
      startup_timeout - (this->node.now() - this->node.started);
  return left > absl::ZeroDuration() ? std::max(left, other_node_retry_delay)
                                     : no_config_retry_delay;
}

std::optional<request_handler::refusal> request_handler::reason_to_refuse() {
  std::string fault;
  const auto parsed =
      this->node.adapter.read_caller_request(this->request, fault);
  if (!parsed) {
    this->last_error = fault;
    return refusal{400, "request head not understood", {}};
  }
  this->info = *parsed;
  if (this->node.closing()) {
    return refusal{503, "node is stopping", other_node_retry_delay};
  }
  if (!this->node.held.accepts_requests()) {
    return refusal{503, "node holds too much", other_node_retry_delay};
  }
  if (!this->table) {
    return refusal{503, "no configuration yet", this->first_config_delay()};
  }
  if (!this->node.evacuations_known()) {
    return refusal{503, "evacuations are not known yet", no_config_retry_delay};
  }
  if (const auto refused = this->match_route()) return refused;
  const absl::Duration timeout =
      this->info.time_limit.value_or(this->route->timeout);
  this->deadline = this->arrived + std::min(timeout, this->route->timeout);
  if (const auto refused = this->match_service()) return refused;
  // A quarantined request crashes each server that runs it, and all requests
  // running beside it are lost. The refusal says that the request has not run,
  // which is true of this attempt, and its retry delay lasts until the
  // quarantine ends.
  if (this->quarantined()) return this->crash_refusal;
  return std::nullopt;
}

std::optional<request_handler::refusal> request_handler::match_route() {
  const auto host = this->request[http::field::host];
  const auto target = this->request.target();
  this->route = this->table->find_route({host.data(), host.size()},
                                        {target.data(), target.size()});
  if (this->route == nullptr)
    return this->unknown_refusal(404, "no such route");
  const bool needs_key =
      !this->route->public_access && !this->table->config().workspaces.empty();
  if (!needs_key) return std::nullopt;
  this->workspace = this->table->find_workspace(this->info.key);
  if (!this->node.keys_trusted()) {
    return refusal{503, "keys cannot be checked", no_config_retry_delay};
  }
  if (this->workspace == nullptr)
    return this->unknown_refusal(401, "unknown key");
  return std::nullopt;
}

request_handler::refusal request_handler::unknown_refusal(
    unsigned status, const char* reason) const {
  // It may have been added since; a node with a newer configuration knows it.
  if (!this->node.config_fresh()) {
    return {503, "configuration is old", no_config_retry_delay};
  }
  return {status, reason, {}};
}

std::optional<request_handler::refusal> request_handler::match_service() {
  this->choose_service();
  if (this->service == nullptr) {
    return refusal{503, "service is not configured", no_config_retry_delay};
  }
  this->last_event = this->info.last_event;
  this->node.retries.count_request(this->service->name, this->node.now());
  for (const std::string& id : this->info.prompt_parts)
    this->part_traits.push_back(prompt_part_trait(this->service->name, id));
  if (!this->service->engine) return std::nullopt;
  this->model = find_model(*this->service->engine, this->info.model);
  if (this->model == nullptr) {
    return refusal{503, "model is not configured", no_config_retry_delay};
  }
  return std::nullopt;
}

int request_handler::rank() const {
  const int workspace_rank = this->workspace == nullptr
                                 ? no_workspace_rank
                                 : this->workspace->priority;
  return std::clamp(workspace_rank * route_ranks + this->route->priority, 0,
                    lowest_rank);
}

http_request request_handler::attempt_request(
    const endpoint_target& endpoint) const {
  http_request out;
  out.version(http_11);
  out.method_string(this->request.method_string());
  out.target(this->request.target());
  copy_end_to_end_headers(this->request, out);
  const bool has_length =
      this->request.find(http::field::content_length) != this->request.end() ||
      this->request.find(http::field::transfer_encoding) != this->request.end();
  out.body() = this->request.body();
  if (has_length) out.content_length(out.body().size());
  attempt_head head;
  head.server = endpoint.server;
  if (this->workspace != nullptr) head.workspace = this->workspace->name;
  head.time_left = std::max(absl::Milliseconds(1), this->time_left());
  head.priority = this->rank();
  head.last_event = this->last_event;
  this->node.adapter.write_attempt_headers(head, out);
  return out;
}

void request_handler::prepare_exchange(exchange& ex,
                                       const endpoint_target& endpoint) const {
  ex.deadline = this->deadline + response_grace;
  ex.repeatable = this->route->repeatable;
  ex.expected_ms = absl::ToDoubleMilliseconds(this->route->goal);
  const bool attempts_left = this->possible_runs + 1 < this->route->attempts;
  ex.parts = this->part_traits;
  ex.may_wait_for_trial =
      ex.repeatable && attempts_left && !this->in_trial && !this->ran_untried;
  if (!this->service->engine) {
    ex.slow_at =
        this->node.now() + slow_response_goal_factor * this->route->goal;
    return;
  }
  const endpoint_load load =
      this->node.loads.total(endpoint.group, this->node.now());
  group_option option;
  option.running = load.running;
  option.pending_prefill_tokens = load.pending_prefill_tokens;
  const double predicted =
      predict_first_event_ms(*this->service->engine, *this->model, option, 0);
  ex.expected_ms = predicted;
  const double slowness =
      this->node.speeds.slowness(endpoint.group, this->node.now());
  ex.first_event_deadline =
      this->node.now() + first_event_slack +
      first_event_factor * absl::Milliseconds(predicted * slowness);
}

std::shared_ptr<exchange> request_handler::make_exchange(
    const endpoint_target& endpoint) const {
  return std::make_shared<exchange>(this->node, endpoint,
                                    this->info.prompt_tokens);
}

net::awaitable<attempt_result> request_handler::attempt(
    std::shared_ptr<exchange> running) {
  exchange& ex = *running;
  ex.on_doubt = [this, weak = std::weak_ptr(running)](abort_cause cause) {
    this->on_doubt(weak, cause);
  };
  this->searching = false;
  this->next_search = absl::InfinitePast();
  this->kept_reason = "";
  this->session.current_exchange = &ex;
  struct detach {
    caller_session& session;
    ~detach() { this->session.current_exchange = nullptr; }
  } detach_at_end{this->session};
  this->prepare_exchange(ex, ex.endpoint);
  this->attempts_made++;
  this->note_known_crashes();
  const attempt_result result = co_await this->run_exchange(ex);
  // The server may have failed, or the proxy; the next connection will show.
  const bool proxy_lost = ex.server_lost && !ex.malformed &&
                          ex.aborted == abort_cause::none && !ex.proxy.empty();
  if (proxy_lost)
    this->node.reachability.demote_proxy(ex.proxy, this->node.now());
  this->path_lost = ex.aborted == abort_cause::path_lost || proxy_lost;
  if (result != attempt_result::done) this->record_failure(ex);
  co_await this->record_run_result(ex, result);
  co_return result;
}

net::awaitable<attempt_result> request_handler::run_exchange(exchange& ex) {
  const bool connected = co_await this->connect(ex);
  if (!connected) co_return attempt_result::not_run;
  const bool head_received = co_await this->send_and_read_head(ex);
  if (!head_received) co_return attempt_result::broken;
  const answer_head head =
      this->node.adapter.read_response_head(ex.head().result_int(), ex.head());
  this->update_server_limit(ex, head);
  this->record_server_state(ex, head);
  const std::optional<attempt_result> result = this->classify_head(ex, head);
  if (result) co_return *result;
  co_return co_await this->relay_response(ex, head);
}

net::awaitable<bool> request_handler::connect(exchange& ex) {
  // A call that may run only once needs a new connection: if a kept one breaks,
  // it is unknown whether the call arrived. After a lost attempt, a new
  // connection shows whether the server is alive. After a lost path, other open
  // connections are likely to hang as well.
  const bool reuse =
      this->route->repeatable && !this->server_lost_before && !this->path_lost;
  const absl::Time begun = this->node.now();
  const std::string error = co_await ex.connect(reuse);
  this->proxy = ex.proxy;
  if (error.empty()) {
    // The endpoint was chosen before connecting.
    const char* reason = this->reason_not_to_send(ex.endpoint);
    if (reason == nullptr) co_return true;
    ex.withheld = true;
    this->log_attempt(ex, "not_sent", reason);
    co_return false;
  }
  this->log_attempt(ex, "not_connected", error);
  // Servers that were reached meanwhile can take the request, even if it is in
  // doubt why this one was not.
  const bool others_reached = this->node.reachability.last_reached() >= begun;
  this->no_path =
      !ex.server_failed && !others_reached && ex.aborted == abort_cause::none;
  if (ex.server_failed) {
    this->node.avoid_endpoint(ex.endpoint.load_key());
    this->node.suspect_server(ex.endpoint.server);
  }
  co_return false;
}

const char* request_handler::reason_not_to_send(
    const endpoint_target& endpoint) {
  if (this->session.check_disconnected()) return "caller has left";
  if (this->node.now() >= endpoint.send_by)
    return "connected after the grant expired";
  return this->node.reason_to_withhold({endpoint.server, endpoint.incarnation});
}

net::awaitable<bool> request_handler::send_and_read_head(exchange& ex) {
  if (this->reserved) this->count_retry();
  if (this->chosen.limit) this->node.metrics.count_limited("sent");
  this->connected_attempts++;
  http_request outgoing = this->attempt_request(ex.endpoint);
  std::string error = co_await ex.send(outgoing);
  if (error.empty()) {
    const bool no_body = this->request.method() == http::verb::head;
    error = co_await ex.read_head(no_body);
  }
  ex.head_received = error.empty();
  if (ex.head_received) co_return true;
  this->possible_runs++;
  ex.server_lost = ex.server_at_fault();
  this->log_attempt(ex, "broken", error);
  if (ex.malformed) {
    this->node.avoid_endpoint(ex.endpoint.load_key());
    co_return false;
  }
  if (ex.aborted != abort_cause::none) co_return false;
  if (!ex.proxy.empty()) co_return false;
  // The server may have failed, or this node's link to it.
  this->node.connector.probe(ex.endpoint.address);
  // A kept connection may just have been closed by its server.
  if (!ex.reused) this->node.avoid_endpoint(ex.endpoint.load_key());
  co_return false;
}

void request_handler::update_server_limit(const exchange& ex,
                                          const answer_head& head) {
  if (head.request_id != this->info.id) return;
  const server_instance server{ex.endpoint.server, ex.endpoint.incarnation};
  const std::optional<double> before = this->node.limits.find(server);
  if (head.limit_invalid) {
    this->log_limit("server_limit_unreadable", ex, before, std::nullopt);
    return;
  }
  // A missing header counts only in a stamped response that is not marked as
  // not run; any other may not come from the server itself.
  if (!head.limit_per_s && (head.not_run || !head.has_server_stamp)) return;
  this->node.limits.note_answer(server, head.limit_per_s, ex.sent_at,
                                this->node.now());
  const std::optional<double> after = this->node.limits.find(server);
  if (before == after) return;
  this->log_limit(after ? "server_limit_named" : "server_limit_ended", ex,
                  before, after);
}

void request_handler::record_server_state(const exchange& ex,
                                          const answer_head& head) {
  const bool other_request =
      !head.request_id.empty() && head.request_id != this->info.id;
  if (other_request) return;
  const server_instance server{ex.endpoint.server, ex.endpoint.incarnation};
  if (head.leaving) this->log_leaving(ex, head);
  if (head.backoff_invalid)
    this->log_backoff("server_backoff_unreadable", ex, head);
  if (head.backoff) this->log_backoff("server_backoff", ex, head);
  this->node.note_server_state(server, head);
}

std::optional<attempt_result> request_handler::classify_head(
    const exchange& ex, const answer_head& head) {
  const bool known_id = head.request_id == this->info.id;
  if (head.not_run && (known_id || head.request_id.empty())) {
    this->log_attempt(ex, "not_run",
                      absl::StrCat("status ", ex.head().result_int(), " at ",
                                   head.faulty_server));
    this->node.avoid_endpoint(ex.endpoint.load_key());
    this->suspect_member(ex.endpoint, head.faulty_server);
    return attempt_result::not_run;
  }
  this->possible_runs++;
  if (!known_id) {
    this->log_attempt(ex, "broken", "response has the id of another request");
    return attempt_result::broken;
  }
  if (ex.head().find(http::field::content_encoding) != ex.head().end()) {
    this->log_attempt(ex, "broken", "response has a content encoding");
    return attempt_result::broken;
  }
  return std::nullopt;
}

void request_handler::suspect_member(const endpoint_target& endpoint,
                                     const std::string& named) {
  for (const auto& id : endpoint.members) {
    const server_entry* entry = this->node.directory.find(id);
    const bool matches =
        id == named || (entry != nullptr && entry->address == named);
    if (matches) this->node.suspect_server(id);
  }
}

const char* request_handler::reason_not_to_retry(attempt_result result) {
  if (this->session.disconnected) return "caller has left";
  if (this->connected_attempts >= max_attempts) return "too many attempts";
  const int unconnected = this->attempts_made - this->connected_attempts;
  if (unconnected >= max_unconnected_attempts)
    return "too many servers not reached";
  if (this->time_left() <= absl::ZeroDuration()) return "time is up";
  if (this->too_late_to_send()) return "node is stopping";
  // A stream that has begun cannot be refused; a path may be found meanwhile.
  if (this->no_path && !this->head_sent) return "no path to the servers";
  if (this->quarantined()) return "servers crashed under it";
  if (result != attempt_result::broken) return nullptr;
  if (!this->route->repeatable) return "route is not repeatable";
  if (this->possible_runs >= this->route->attempts)
    return "all attempts of the route used";
  return nullptr;
}

bool request_handler::may_retry(attempt_result result) {
  const char* reason = this->reason_not_to_retry(result);
  if (reason == nullptr && !this->reserve_retry())
    reason = "no retry left in the budget";
  this->no_retry_reason = reason == nullptr ? "" : reason;
  return reason == nullptr;
}

bool request_handler::reserve_retry() {
  // The first attempt that reaches a server is no retry.
  if (this->connected_attempts == 0 || this->reserved) return true;
  const absl::Time now = this->node.now();
  auto reservation = this->node.retries.reserve(
      this->service->name, this->node.fleet.peak(now), now);
  if (!reservation) {
    this->log_retry("repeat_refused");
    return false;
  }
  this->reserved.emplace(std::move(*reservation));
  return true;
}

request_handler::refusal request_handler::final_refusal(
    attempt_result result) const {
  const bool not_run =
      this->possible_runs == 0 && result != attempt_result::broken;
  if (not_run && this->crash_refusal) return *this->crash_refusal;
  if (not_run && this->too_late_to_send())
    return {503, "node is stopping", other_node_retry_delay};
  if (not_run && this->node.service_closed(this->service->name)) {
    return {503, "data halls are evacuated", evacuation_retry_delay};
  }
  if (not_run && this->no_path) {
    return {503, "servers cannot be reached", no_path_retry_delay};
  }
  if (not_run) {
    const auto backoff = this->common_backoff();
    if (backoff) return this->backoff_refusal(*backoff);
  }
  const bool not_admitted =
      this->last_decision &&
      this->last_decision->action != admission_action::send;
  if (this->attempts_made == 0 && not_admitted) {
    return {503, this->last_decision->reason, this->last_decision->retry_after};
  }
  if (this->attempts_made == 0 && this->ungranted_count > 0) {
    return this->no_grant_refusal();
  }
  if (this->attempts_made == 0) {
    const bool groups = this->service->engine.has_value();
    return {503, groups ? "no group has room" : "no server is there",
            no_capacity_retry_delay};
  }
  if (not_run) return {503, "no server took it", no_capacity_retry_delay};
  if (this->time_left() <= absl::ZeroDuration()) {
    return {504, "time is up", {}};
  }
  return {502, "server broke off", {}};
}

request_handler::refusal request_handler::backoff_refusal(
    const server_backoff& first) const {
  const absl::Duration delay = backoff_retry_delay(first, this->node.now());
  return {503, "servers asked to back off",
          std::clamp(delay, other_node_retry_delay, max_backoff_retry_delay)};
}

request_handler::refusal request_handler::no_grant_refusal() const {
  const absl::Duration grant_lifetime = this->node.cold.times().grant_lifetime;
  if (this->skipped_per_s <= 0) {
    return {503, "servers are cold", grant_lifetime};
  }
  this->node.metrics.count_limited("refused");
  // The time in which these servers' grants amount to one request per node.
  const absl::Duration one_per_node =
      absl::Seconds(std::max(1, this->node.live_nodes) / this->skipped_per_s);
  return {503, "servers have reached their limits",
          std::clamp(one_per_node, grant_lifetime, max_limit_retry_delay)};
}

net::awaitable<bool> request_handler::send_refusal(refusal r) {
  http_response out(static_cast<http::status>(r.status), http_11);
  out.set(http::field::content_type, "text/plain");
  out.keep_alive(this->keep_alive && this->node.keeps_connections());
  this->node.adapter.write_refusal(this->info.id, r.retry_after, out);
  if (this->request.method() != http::verb::head) out.body() = r.reason;
  co_await this->session.write(out);
  this->log_end(r.status == 502 || r.status == 504 ? "failed" : "refused",
                r.reason, r.status);
  co_return out.keep_alive();
}

net::awaitable<bool> request_handler::run() {
  this->node.requests_seen = true;
  const bool ready = this->table && this->node.directory_listed &&
                     this->node.evacuations_known();
  if (!ready) {
    co_await this->wait_until_ready();
  }
  if (const auto refused = this->reason_to_refuse()) {
    co_return co_await this->send_refusal(*refused);
  }
  this->record_demand();
  struct trial_end {
    request_handler& handler;
    ~trial_end() { this->handler.leave_trial(); }
  } leave_trial_at_end{*this};
  attempt_result result = attempt_result::not_run;
  while (co_await this->wait_for_trial()) {
    std::shared_ptr<exchange> next = std::move(this->placed);
    if (next != nullptr) {
      this->chosen = this->placed_choice;
    } else if (const auto endpoint = co_await this->find_endpoint()) {
      next = this->make_exchange(*endpoint);
    }
    if (this->attempts_made == 0) {
      this->queue_time = this->node.now() - this->arrived;
      this->node.metrics.observe_queue(absl::ToDoubleSeconds(this->queue_time));
    }
    if (next == nullptr && this->attempts_made > 0)
      this->no_retry_reason = "no server can take it";
    if (this->session.disconnected || next == nullptr) break;
    // Waited until the process is about to exit.
    if (this->too_late_to_send()) break;
    // A trait may have been suspected or quarantined while the request waited.
    if (!this->may_run()) continue;
    const std::string endpoint = next->endpoint.load_key();
    this->tried_endpoints.insert(endpoint);
    result = co_await this->attempt(std::move(next));
    this->attempt_ended_at = this->node.now();
    this->leave_trial();
    this->ran_untried = false;
    if (result == attempt_result::done) {
      co_return this->keep_alive&& this->node.keeps_connections();
    }
    // The endpoint itself may be sound and reached on another path.
    if (this->path_lost) this->tried_endpoints.erase(endpoint);
    const bool retries = this->may_retry(result);
    if (this->last_abort != abort_cause::none) this->count_given_up(retries);
    if (!retries) break;
  }
  co_return co_await this->finish_unserved(result);
}

void request_handler::count_retry() {
  this->log_retry("repeat_sent");
  this->reserved->spend(this->node.now());
  this->reserved.reset();
  if (this->head_sent) this->node.metrics.count_resume();
}

net::awaitable<bool> request_handler::finish_unserved(attempt_result result) {
  if (this->session.disconnected) {
    this->log_end("caller_gone", this->last_error, 0);
    co_return false;
  }
  if (this->head_sent) {
    this->log_end("broken_off", this->last_error, 0);
    this->session.abort_connection();
    co_return false;
  }
  const refusal r = this->final_refusal(result);
  const bool no_capacity = this->node.settings.groups.follow_demand &&
                           this->attempts_made == 0 && this->model != nullptr &&
                           !this->crash_refusal;
  if (no_capacity) {
    this->node.own_demand.count_refusal(this->service->name, this->model->name,
                                        this->node.now());
  }
  co_return co_await this->send_refusal(r);
}

}  // namespace spokesail
