// Where a request is sent: its service, and a group or server of it.
#include <algorithm>

#include "caller-session.h"
#include "request-handler.h"
#include "spokesail/connection-share.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// What going to another data hall counts as, in ms: its delay, and the error
/// of what is known of its load, as a part of the time between news of it.
constexpr double other_hall_ms = 3;
constexpr double stale_share = 0.06;

/// Groups of other halls that one request weighs, drawn at random. Two are
/// known to spread load nearly as well as all when news of it is fresh, and far
/// better when it is old.
constexpr size_t far_choices = 2;

/// What going to a plain server in another data hall counts as, in requests.
constexpr double other_hall_requests = 0.5;

/// Plain servers whose requests differ by less than this part of one may
/// change places, so that nodes that see the same do not all choose the same.
constexpr double drawn_requests = 0.4;

/// How long a request that lost its server waits for another: it is late at
/// worst, and a group that lost a member is back within about this time.
/// Callers leave a stream that is silent for two seconds.
constexpr absl::Duration repeat_wait = absl::Milliseconds(1500);

/// How long a request waits for a grant if all servers left need one: a
/// question and its answer between data halls, and the tick that asks.
constexpr absl::Duration grant_wait = absl::Milliseconds(60);

/// How often a waiting request looks for a place again.
constexpr absl::Duration wait_step = absl::Milliseconds(15);

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
  if (!group.serving() || group.model != this->model->name) return false;
  if (this->tried.count(group.name) != 0) return false;
  if (this->node.avoided(group.name)) return false;
  const server_entry* head = this->node.directory.find(group.head());
  if (head == nullptr || head->draining) return false;
  if (!this->has_connection_slot(group.name)) return false;
  if (this->node.hall_closed(head->hall)) return false;
  return std::none_of(group.members.begin(), group.members.end(),
                      [&](const auto& id) {
                        return this->node.unresponsive_servers.count(id) != 0;
                      });
}

bool request_handler::has_connection_slot(const std::string& endpoint) const {
  return this->node.loads.own_running(endpoint) <
         connection_share(this->service->max_connections,
                          this->node.capacity_sharing_nodes());
}

request_size request_handler::expected_size() const {
  const engine_profile& engine = *this->service->engine;
  request_size size;
  size.prompt = this->info.prompt_tokens > 0 ? this->info.prompt_tokens
                                             : engine.mean_prompt_tokens;
  size.answer = this->info.answer_hint > 0 ? this->info.answer_hint
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
  const std::vector<group_option> options = this->weigh(groups);
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

std::vector<group_option> request_handler::weigh(
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
  std::vector<const group_view*> far;
  for (const auto& group : this->node.groups(this->service->name)) {
    if (!this->is_eligible(group)) continue;
    if (!this->may_send(group.head(), group.members)) continue;
    const server_entry* head = this->node.directory.find(group.head());
    (this->is_local(*head) ? out : far).push_back(&group);
  }
  // What is known of other halls is old, so that the emptiest group there would
  // draw the requests of all nodes at once.
  for (size_t drawn = 0; drawn < far_choices && !far.empty(); ++drawn) {
    const size_t at = this->node.random.below(far.size());
    out.push_back(far[at]);
    far.erase(far.begin() + static_cast<ptrdiff_t>(at));
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
  return other_hall_ms + stale_share * absl::ToDoubleMilliseconds(
                                           this->node.remote_update_period);
}

std::optional<endpoint_target> request_handler::pick_server() {
  const absl::Time now = this->node.now();
  std::vector<const server_entry*> servers;
  for (const auto& [id, server] : this->node.directory.servers()) {
    const server_entry& entry = server.entry;
    if (entry.service != this->service->name || entry.draining) continue;
    if (this->tried.count(id) != 0 || this->node.avoided(id)) continue;
    if (!this->has_connection_slot(id)) continue;
    if (this->node.hall_closed(entry.hall)) continue;
    if (!this->may_send(id, {id})) continue;
    servers.push_back(&entry);
  }
  const std::vector<double> slowness = this->server_slowness(servers);
  size_t best = servers.size();
  double least = 0;
  for (size_t i = 0; i < servers.size(); ++i) {
    // A slow server is as dear as one with so many times the requests, the new
    // one included.
    const int running = this->node.loads.total(servers[i]->id, now).running;
    const double cost =
        (running + 1) * slowness[i] - 1 +
        (this->is_local(*servers[i]) ? 0 : other_hall_requests) +
        drawn_requests * this->node.random.unit();
    if (best != servers.size() && cost >= least) continue;
    best = i;
    least = cost;
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

net::awaitable<std::optional<endpoint_target>>
request_handler::find_endpoint() {
  if (this->sends == 0 && this->node.settings.policy.admit_in_time &&
      this->service->engine) {
    const auto admitted_to = co_await this->admit();
    if (admitted_to || this->ungranted_count == 0) co_return admitted_to;
    // A grant for a group that was passed over may arrive shortly.
    this->last_decision.reset();
  }
  auto endpoint = this->pick();
  // A request that nobody has room for is refused at once: its caller can come
  // back in time, and one that waits would take its place late.
  const bool may_be_granted = this->sends == 0 && this->ungranted_count > 0;
  if (endpoint || (this->sends == 0 && !may_be_granted)) co_return endpoint;
  // Evacuations last longer than a request may wait.
  if (this->node.service_closed(this->service->name)) co_return endpoint;
  const absl::Duration longest = may_be_granted ? grant_wait : repeat_wait;
  const absl::Time until =
      this->node.now() + std::min(longest, this->time_left() / 2);
  while (!endpoint && !this->session.gone && this->node.now() < until) {
    co_await this->node.sleep(wait_step);
    endpoint = this->pick();
  }
  co_return endpoint;
}

}  // namespace spokesail
