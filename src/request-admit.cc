// Decides whether a request may be sent now: by the grants that cold and
// rate-limited servers need, and by admission when capacity is short.
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "caller-session.h"
#include "request-handler.h"
#include "spokesail/grant-issuer.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Interval at which admission decides again on a waiting request.
constexpr absl::Duration admission_poll_interval = absl::Milliseconds(5);

/// Largest age of what a node knows of its data hall's requests: the interval
/// between two messages of a sending node plus their transit time.
constexpr absl::Duration max_local_load_age = absl::Milliseconds(100);

}  // namespace

std::optional<endpoint_target> request_handler::acquire_grant_if_needed(
    std::optional<endpoint_target> endpoint) {
  this->request_grant();
  if (!endpoint) return endpoint;
  const bool needed = this->chosen.limit || this->is_cold(endpoint->members);
  return needed ? this->acquire_grant(*endpoint) : endpoint;
}

bool request_handler::is_cold(const std::vector<std::string>& members) const {
  if (this->service->cold_requests_per_s <= 0) return false;
  const absl::Time now = this->node.now();
  if (now >= this->node.directory.all_warm_at()) return false;
  const auto& servers = this->node.directory.servers();
  return std::any_of(members.begin(), members.end(), [&](const auto& id) {
    const auto found = servers.find(id);
    return found != servers.end() && found->second.cold_until > now;
  });
}

bool request_handler::has_slot(const server_entry& entry, double per_s) {
  const absl::Time now = this->node.now();
  const auto nodes = this->node.fleet.peak(now);
  return nodes &&
         this->node.limit_shares.has({entry.id, entry.incarnation}, per_s,
                                     *nodes, now, this->node.random);
}

bool request_handler::may_send(const std::string& head,
                               const std::vector<std::string>& members) {
  const server_entry& entry = *this->node.directory.find(head);
  const std::optional<limit_report> limit = this->effective_limit(entry);
  const bool cold = this->is_cold(members);
  if (!cold && !limit) return true;
  if (this->node.cold.has(head, this->node.now())) return true;
  if (!cold && this->has_slot(entry, *limit->per_s)) return true;
  this->skip_ungranted(head, limit);
  return false;
}

void request_handler::reset_skipped() {
  this->ungranted_count = 0;
  this->skipped_per_s = 0;
}

void request_handler::skip_ungranted(const std::string& head,
                                     const std::optional<limit_report>& limit) {
  if (limit) {
    this->skipped_per_s += bucket_for_limit(*limit->per_s).per_s;
    if (this->attempts_made == 0) {
      // The log line of a refused request reports the last limit skipped.
      this->chosen.endpoint = head;
      this->chosen.limit = limit;
    }
  }
  // Reservoir sampling: each server skipped is chosen with equal probability.
  const auto skipped = static_cast<uint64_t>(++this->ungranted_count);
  if (this->node.random.below(skipped) == 0) this->ungranted_server = head;
}

void request_handler::request_grant() {
  const absl::Time now = this->node.now();
  const absl::Duration period = this->node.cold.times().min_request_interval;
  if (this->ungranted_count == 0 || now - this->grant_requested_at < period) {
    return;
  }
  const server_entry* entry = this->node.directory.find(this->ungranted_server);
  if (entry == nullptr) return;
  const bool limited = this->effective_limit(*entry).has_value();
  this->node.cold.add_demand(entry->id, entry->incarnation,
                             limited ? grant_client::max_limited_requests
                                     : grant_client::max_requests);
  this->grant_requested_at = now;
}

std::optional<endpoint_target> request_handler::acquire_grant(
    endpoint_target endpoint) {
  const absl::Time now = this->node.now();
  const std::optional<limit_report> limit = this->chosen.limit;
  std::optional<absl::Time> until;
  if (!this->is_cold(endpoint.members)) {
    until = this->node.limit_shares.use({endpoint.server, endpoint.incarnation},
                                        now);
  }
  const bool from_share = until.has_value();
  if (!from_share) until = this->node.cold.use(endpoint.server, now);
  if (!until) return std::nullopt;
  endpoint.send_by = *until;
  if (from_share) {
    this->node.metrics.count_limited("own_part");
  } else {
    this->node.metrics.count_cold("used", 1);
  }
  // Requests a grant for the next request in advance.
  if (limit) {
    this->node.cold.add_demand(endpoint.server, endpoint.incarnation,
                               grant_client::max_limited_requests);
  }
  this->node.log.write(
      log_category::request, "cold_used",
      {{"id", this->info.id},
       {"server", endpoint.server},
       {"group", endpoint.group},
       {"left_ms", absl::StrCat(absl::ToInt64Milliseconds(*until - now))},
       {"limit_per_s", limit ? absl::StrCat(*limit->per_s) : ""},
       {"own_part", from_share ? "1" : "0"},
       {"servers_rev", absl::StrCat(this->node.directory.revision())},
       {"servers_age_ms",
        absl::StrCat(absl::ToInt64Milliseconds(this->node.age().servers))}},
      now);
  return endpoint;
}

std::string request_handler::admission_pool() const {
  return absl::StrCat(this->service->name, "/", this->model->name);
}

admission_request request_handler::make_admission_request() const {
  const auto& socket = this->session.socket;
  boost::system::error_code error;
  const auto peer = socket.remote_endpoint(error);
  admission_request out;
  out.id = this->node.admission_number;
  out.pool = this->admission_pool();
  out.kind = this->route->name;
  if (this->workspace != nullptr) out.workspace = this->workspace->name;
  out.caller = absl::StrCat(error ? "" : peer.address().to_string(), " ",
                            this->info.key);
  out.rank = this->rank();
  out.size = this->expected_size();
  out.cost_ms = engine_time_ms(*this->service->engine, *this->model, out.size);
  out.bytes = this->request.body().size();
  out.arrived = this->arrived;
  out.due = this->arrived + this->route->goal;
  out.deadline = this->deadline;
  return out;
}

std::optional<endpoint_target> request_handler::try_admit(
    const admission_request& queued, bool was_queued) {
  this->reset_skipped();
  const std::vector<const group_view*> groups = this->candidate_groups();
  const std::vector<group_option> options = this->group_options_of(groups);
  const admission_view view = {*this->service->engine,
                               *this->model,
                               options,
                               this->count_groups(),
                               this->node.capacity_sharing_nodes(),
                               max_local_load_age};
  const absl::Time now = this->node.now();
  auto& admission = this->node.admission;
  this->last_decision =
      was_queued
          ? admission.decide(queued, view, now, this->node.random)
          : admission.refuse_unqueued(queued, view, now, this->node.random);
  if (this->last_decision->action != admission_action::send) {
    return this->acquire_grant_if_needed(std::nullopt);
  }
  const size_t at = this->last_decision->option;
  return this->acquire_grant_if_needed(
      this->select_group(*groups[at], options[at]));
}

net::awaitable<std::optional<endpoint_target>> request_handler::admit() {
  this->node.admission_number++;
  const admission_request queued = this->make_admission_request();
  const bool was_queued =
      this->node.admission.enqueue(queued, this->node.now());
  struct dequeue {
    request_admission& admission;
    const admission_request& queued;
    ~dequeue() { this->admission.dequeue(this->queued); }
  } dequeue_at_end{this->node.admission, queued};
  std::optional<endpoint_target> endpoint = this->try_admit(queued, was_queued);
  while (!endpoint && this->last_decision->action == admission_action::wait) {
    co_await this->node.sleep(admission_poll_interval);
    if (this->session.disconnected) co_return std::nullopt;
    endpoint = this->try_admit(queued, was_queued);
  }
  if (!endpoint) {
    this->node.metrics.count_refusal(this->last_decision->reason,
                                     queued.workspace);
  }
  co_return endpoint;
}

}  // namespace spokesail
