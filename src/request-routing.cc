// Chooses where a request is sent: its service, and a group or server of it.
#include <algorithm>

#include "caller-session.h"
#include "request-handler.h"
#include "spokesail/connection-share.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Added cost of another data hall, in ms: the network delay, plus the error of
/// its reported load as a fraction of the interval between reports.
constexpr double remote_hall_delay_ms = 3;
constexpr double report_error_fraction = 0.06;

/// Number of remote groups considered for one request, drawn at random. Two
/// choices spread load nearly as well as all when reports are fresh, and far
/// better when they are old.
constexpr size_t remote_choices = 2;

/// Added cost of a plain server in another data hall, in requests.
constexpr double remote_hall_cost_requests = 0.5;

/// Width of the random term in the cost of plain servers, in requests. It keeps
/// nodes that see the same load from all choosing the same server.
constexpr double random_cost_requests = 0.4;

/// How long a request that lost its server waits for another. At worst its
/// answer is late, and a group that lost a member serves again within about
/// this time. Callers abandon a stream that is silent for two seconds.
constexpr absl::Duration retry_wait = absl::Milliseconds(1500);

/// How long a request waits for a grant if all remaining servers need one: a
/// round trip between data halls plus the tick that sends the grant request.
constexpr absl::Duration grant_wait = absl::Milliseconds(60);

/// How long a request waits for a backoff to end if all servers are in one; its
/// caller would take longer to return.
constexpr absl::Duration backoff_wait = absl::Milliseconds(60);

/// Interval at which a waiting request retries the choice.
constexpr absl::Duration endpoint_poll_interval = absl::Milliseconds(15);

}  // namespace

void request_handler::choose_service() {
  int total = 0;
  for (const auto& target : this->route->targets) total += target.weight;
  int drawn = static_cast<int>(
      this->node.random.below(static_cast<uint64_t>(std::max(1, total))));
  for (const auto& target : this->route->targets) {
    drawn -= target.weight;
    if (drawn >= 0) continue;
    this->service = this->table->find_service(target.service);
    return;
  }
}

std::optional<endpoint_target> request_handler::pick() {
  this->reset_skipped();
  return this->acquire_grant_if_needed(
      this->service->engine ? this->pick_group() : this->pick_server());
}

bool request_handler::is_eligible(const group_view& group) const {
  if (!this->is_able(group)) return false;
  if (this->tried_endpoints.count(group.name) != 0) return false;
  if (this->node.avoided(group.name)) return false;
  if (this->only_heard_groups && !this->node.prober.heard_recently(group.name))
    return false;
  if (!this->has_connection_slot(group.name)) return false;
  return !this->backoff_of(*this->node.directory.find(group.head()));
}

bool request_handler::is_able(const group_view& group) const {
  if (!group.serving() || group.model != this->model->name) return false;
  const server_entry* head = this->node.directory.find(group.head());
  if (head == nullptr || head->draining) return false;
  if (this->node.hall_closed(head->hall)) return false;
  return std::none_of(group.members.begin(), group.members.end(),
                      [&](const auto& id) {
                        return this->node.unresponsive_servers.count(id) != 0;
                      });
}

std::optional<server_backoff> request_handler::backoff_of(
    const server_entry& entry) const {
  if (this->node.backoffs.empty()) return std::nullopt;
  return this->node.backoffs.find({entry.id, entry.incarnation},
                                  this->node.now());
}

std::vector<const server_entry*> request_handler::able_servers(
    const std::set<std::string>& excluded) const {
  std::vector<const server_entry*> out;
  if (this->service->engine) {
    for (const auto& group : this->node.groups(this->service->name)) {
      if (!this->is_able(group) || excluded.count(group.name) != 0) continue;
      out.push_back(this->node.directory.find(group.head()));
    }
    return out;
  }
  for (const auto& id : this->node.directory.servers_of(this->service->name)) {
    const server_entry* entry = this->node.directory.find(id);
    if (entry->draining || this->node.hall_closed(entry->hall)) continue;
    if (excluded.count(id) == 0) out.push_back(entry);
  }
  return out;
}

std::optional<server_backoff> request_handler::common_backoff(
    const std::set<std::string>& excluded) const {
  if (this->node.backoffs.empty()) return std::nullopt;
  std::optional<server_backoff> first;
  for (const server_entry* entry : this->able_servers(excluded)) {
    const auto backoff = this->backoff_of(*entry);
    if (!backoff) return std::nullopt;
    if (!first || backoff->until < first->until) first = backoff;
  }
  return first;
}

bool request_handler::has_connection_slot(const std::string& endpoint) const {
  const connections_in_use used = {
      this->node.loads.own_running(endpoint),
      this->node.loads.total(endpoint, this->node.now()).running};
  return may_connect(this->service->max_connections,
                     this->node.capacity_sharing_nodes(), used);
}

request_size request_handler::expected_size() const {
  const engine_profile& engine = *this->service->engine;
  request_size size;
  size.prompt = this->info.prompt_tokens > 0 ? this->info.prompt_tokens
                                             : engine.mean_prompt_tokens;
  size.answer = this->info.expected_answer_tokens > 0
                    ? this->info.expected_answer_tokens
                    : engine.mean_answer_tokens;
  return size;
}

void request_handler::record_demand() {
  if (!this->node.settings.groups.follow_demand) return;
  if (this->model == nullptr) return;
  const bool counted = this->node.own_demand.count_arrival(
      this->service->name, this->model->name, this->expected_size(),
      this->node.now());
  if (!counted) this->node.metrics.count_update_event("demand_left_out");
}

std::optional<endpoint_target> request_handler::pick_group() {
  const engine_profile& engine = *this->service->engine;
  const request_size size = this->expected_size();
  const std::vector<const group_view*> groups = this->candidate_groups();
  const std::vector<group_option> options = this->group_options_of(groups);
  const auto found =
      choose_group(engine, *this->model, options, size, this->node.random);
  if (!found) return std::nullopt;
  return this->select_group(*groups[*found], options[*found]);
}

endpoint_target request_handler::select_group(const group_view& group,
                                              const group_option& option) {
  const server_entry* head = this->node.directory.find(group.head());
  this->chosen = {group.name,
                  this->is_local(*head),
                  option.running,
                  predict_first_event_ms(*this->service->engine, *this->model,
                                         option, this->expected_size().prompt),
                  option.slowness,
                  this->effective_limit(*head)};
  return endpoint_target{head->id,    head->address, group.name,
                         group.epoch, group.members, head->incarnation};
}

std::vector<group_option> request_handler::group_options_of(
    const std::vector<const group_view*>& groups) const {
  const absl::Time now = this->node.now();
  std::vector<group_option> out;
  for (const group_view* group : groups) {
    const endpoint_load load = this->node.loads.total(group->name, now);
    const server_entry* head = this->node.directory.find(group->head());
    out.push_back({group->name, load.running, load.pending_prefill_tokens, 1,
                   this->is_local(*head) ? 0 : this->remote_hall_cost_ms()});
  }
  this->apply_slowness(groups, out);
  return out;
}

std::vector<const group_view*> request_handler::candidate_groups() {
  std::vector<const group_view*> out;
  std::vector<const group_view*> remote;
  std::vector<const group_view*> unreachable;
  const auto silent = this->node.remote_halls.silent(this->node.now()).halls;
  for (const auto& group : this->node.groups(this->service->name)) {
    if (!this->is_eligible(group)) continue;
    if (!this->may_send(group.head(), group.members)) continue;
    const server_entry* head = this->node.directory.find(group.head());
    if (silent.count(head->hall) != 0) {
      unreachable.push_back(&group);
    } else {
      (this->is_local(*head) ? out : remote).push_back(&group);
    }
  }
  // One attempt, in case the probes of that hall were lost.
  const bool may_try =
      out.empty() && remote.empty() && this->attempts_made == 0;
  if (may_try) remote = std::move(unreachable);
  // Reports from other data halls are old, so the emptiest group there would
  // attract the requests of all nodes at once.
  for (size_t drawn = 0; drawn < remote_choices && !remote.empty(); ++drawn) {
    const size_t at = this->node.random.below(remote.size());
    out.push_back(remote[at]);
    remote.erase(remote.begin() + static_cast<ptrdiff_t>(at));
  }
  return out;
}

size_t request_handler::count_groups() const {
  const auto& groups = this->node.groups(this->service->name);
  return static_cast<size_t>(std::count_if(
      groups.begin(), groups.end(),
      [this](const auto& group) { return this->is_eligible(group); }));
}

bool request_handler::is_local(const server_entry& entry) const {
  return entry.hall == this->node.settings.hall;
}

std::optional<limit_report> request_handler::effective_limit(
    const server_entry& entry) const {
  if (this->node.limits.empty()) return std::nullopt;
  const auto report =
      this->node.limits.report({entry.id, entry.incarnation}, this->node.now());
  return report && report->per_s ? report : std::nullopt;
}

double request_handler::remote_hall_cost_ms() const {
  return remote_hall_delay_ms +
         report_error_fraction *
             absl::ToDoubleMilliseconds(this->node.remote_update_period);
}

std::vector<const server_entry*> request_handler::candidate_servers() {
  std::vector<const server_entry*> out;
  std::vector<const server_entry*> unreachable;
  const auto silent = this->node.remote_halls.silent(this->node.now()).halls;
  for (const auto& id : this->node.directory.servers_of(this->service->name)) {
    const server_entry& entry = *this->node.directory.find(id);
    if (entry.draining) continue;
    if (this->tried_endpoints.count(id) != 0 || this->node.avoided(id))
      continue;
    if (!this->has_connection_slot(id)) continue;
    if (this->node.hall_closed(entry.hall) || this->backoff_of(entry)) continue;
    if (!this->may_send(id, {id})) continue;
    (silent.count(entry.hall) == 0 ? out : unreachable).push_back(&entry);
  }
  // One attempt, in case the probes of that hall were lost.
  if (out.empty() && this->attempts_made == 0) return unreachable;
  return out;
}

std::optional<endpoint_target> request_handler::pick_server() {
  const absl::Time now = this->node.now();
  const std::vector<const server_entry*> servers = this->candidate_servers();
  const std::vector<double> slowness = this->server_slowness(servers);
  size_t best = servers.size();
  double min_cost = 0;
  for (size_t i = 0; i < servers.size(); ++i) {
    // A server that is slow by some factor costs as much as one with that many
    // times the requests, the new one included.
    const int running = this->node.loads.total(servers[i]->id, now).running;
    const double cost =
        (running + 1) * slowness[i] - 1 +
        (this->is_local(*servers[i]) ? 0 : remote_hall_cost_requests) +
        random_cost_requests * this->node.random.unit();
    if (best != servers.size() && cost >= min_cost) continue;
    best = i;
    min_cost = cost;
  }
  if (best == servers.size()) return std::nullopt;
  const server_entry& entry = *servers[best];
  this->chosen = {entry.id,
                  this->is_local(entry),
                  this->node.loads.total(entry.id, now).running,
                  0,
                  slowness[best],
                  this->effective_limit(entry)};
  return endpoint_target{entry.id, entry.address, "",
                         0,        {entry.id},    entry.incarnation};
}

absl::Duration request_handler::max_endpoint_wait() const {
  // Evacuations last longer than a request may wait.
  if (this->node.service_closed(this->service->name)) {
    return absl::ZeroDuration();
  }
  const auto untried = this->common_backoff(this->tried_endpoints);
  // A request for which there is no capacity is refused at once: its caller can
  // still return in time, whereas a waiting request would be served late.
  absl::Duration wait = absl::ZeroDuration();
  if (this->attempts_made > 0) {
    wait = retry_wait;
  } else if (this->ungranted_count > 0) {
    wait = grant_wait;
  } else if (untried) {
    wait = backoff_wait;
  }
  wait = std::min(wait, this->time_left() / 2);
  // If every server was tried, the end of a backoff does not help this request.
  const bool hopeless = untried ? untried->until > this->node.now() + wait
                                : this->common_backoff().has_value();
  // A stream that has begun cannot be refused; another group may open for it.
  return hopeless && !this->head_sent ? absl::ZeroDuration() : wait;
}

net::awaitable<std::optional<endpoint_target>>
request_handler::find_endpoint() {
  const bool admits = this->attempts_made == 0 && this->service->engine &&
                      this->node.settings.policy.admit_in_time;
  // Admission cannot place a request while all groups are in backoff.
  if (admits && !this->common_backoff()) {
    const auto admitted = co_await this->admit();
    if (admitted || this->ungranted_count == 0) co_return admitted;
    // A grant for a group that was skipped may arrive shortly.
    this->last_decision.reset();
  }
  auto endpoint = this->pick();
  if (endpoint) co_return endpoint;
  const absl::Time until = this->node.now() + this->max_endpoint_wait();
  while (!endpoint && !this->session.disconnected && this->node.now() < until) {
    co_await this->node.sleep(endpoint_poll_interval);
    endpoint = this->pick();
  }
  co_return endpoint;
}

}  // namespace spokesail
