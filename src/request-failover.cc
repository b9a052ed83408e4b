// Decides whether a running attempt is given up for another one.
#include <absl/strings/str_cat.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "caller-session.h"
#include "request-handler.h"
#include "spokesail/failover.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Interval between two searches for one attempt.
constexpr absl::Duration search_interval = absl::Milliseconds(60);

}  // namespace

const char* request_handler::obstacle_to_failover(const exchange& running,
                                                  abort_cause cause) {
  const crash_verdict verdict = this->judge().verdict;
  if (verdict == crash_verdict::quarantined) return "servers crashed under it";
  if (verdict == crash_verdict::suspected && cause != abort_cause::suspected)
    return "it would wait for a trial";
  if (const char* reason = this->reason_not_to_retry(attempt_result::broken))
    return reason;
  // An attempt is counted as a possible run once its response head has come.
  const int runs = this->possible_runs + (running.head_received ? 0 : 1);
  if (runs >= this->route->attempts) return "all attempts of the route used";
  const bool plain = !this->service->engine.has_value();
  if (plain && this->time_left() < this->route->goal)
    return "too little time is left";
  return nullptr;
}

std::shared_ptr<exchange> request_handler::place_attempt(
    const exchange& running, abort_cause cause) {
  const endpoint_choice before = this->chosen;
  const std::string& current = running.endpoint.load_key();
  if (cause == abort_cause::path_lost) this->tried_endpoints.erase(current);
  // A group that sends events needs no probe.
  this->only_heard_groups = this->service->engine.has_value();
  auto endpoint = this->pick();
  this->only_heard_groups = false;
  if (!endpoint) endpoint = this->pick();
  this->tried_endpoints.insert(current);
  this->placed_choice = this->chosen;
  this->chosen = before;
  return endpoint ? this->make_exchange(*endpoint) : nullptr;
}

void request_handler::on_doubt(const std::weak_ptr<exchange>& running,
                               abort_cause cause) {
  const auto ex = running.lock();
  if (ex == nullptr || !ex->running()) return;
  if (const char* obstacle = this->obstacle_to_failover(*ex, cause)) {
    this->note_kept(*ex, cause, obstacle);
  } else if (cause == abort_cause::suspected) {
    // It waits for its trial before a server is chosen.
    if (this->reserve_retry()) ex->abort(cause);
  } else if (!this->searching && this->node.now() >= this->next_search) {
    if (!this->failovers().try_begin(this->node.now())) return;
    this->searching = true;
    net::co_spawn(
        this->node.loop,
        this->search_endpoint(this->node, this->failovers(), running, cause),
        net::detached);
  }
}

failover_pacer& request_handler::failovers() {
  return this->node.failovers[this->service->name];
}

net::awaitable<void> request_handler::search_endpoint(
    node_context& state, failover_pacer& pacer, std::weak_ptr<exchange> running,
    abort_cause cause) {
  const absl::Time begun = state.now();
  std::shared_ptr<exchange> next;
  failover_chance chance;
  // The handler lives as long as its running attempt.
  if (const auto ex = running.lock()) {
    chance.granted = this->current_retry_usage().remaining >= 1;
    if (chance.granted) next = this->place_attempt(*ex, cause);
    chance.placed = next != nullptr;
  }
  chance.confirmed = co_await confirm(state, pacer, next.get());
  const auto ex = running.lock();
  if (ex == nullptr || !ex->running()) co_return;
  this->searching = false;
  this->next_search = state.now() + search_interval;
  chance.obstacle = this->obstacle_to_failover(*ex, cause);
  chance.placed = chance.placed && this->may_start(*next);
  chance.recovered = ex->last_heard > begun || ex->waiting_for_caller;
  const char* reason = reason_to_keep(chance);
  // Reserved last, so that searches hold no retry that a lost attempt needs.
  if (reason == nullptr && !this->reserve_retry())
    reason = "no retry left in the budget";
  if (reason != nullptr) {
    this->note_kept(*ex, cause, reason);
    co_return;
  }
  this->placed = std::move(next);
  ex->abort(cause);
}

net::awaitable<bool> request_handler::confirm(node_context& state,
                                              failover_pacer& pacer,
                                              const exchange* next) {
  // Plain servers have no report.
  const bool probes = next != nullptr && !next->endpoint.group.empty();
  probe_result result = probe_result::unknown;
  if (probes) {
    result = co_await state.prober.probe_group(next->endpoint.group,
                                               next->endpoint.members);
  }
  if (result == probe_result::unknown) {
    pacer.end_without_probe();
    co_return next != nullptr && !probes;
  }
  const bool answers = result == probe_result::answered;
  pacer.end(answers, state.now());
  if (!answers) state.avoid_endpoint(next->endpoint.group);
  co_return answers;
}

bool request_handler::may_start(const exchange& next) const {
  const endpoint_target& to = next.endpoint;
  return next.aborted == abort_cause::none &&
         !this->node.avoided(to.load_key()) && this->node.now() < to.send_by &&
         this->node.reason_to_withhold({to.server, to.incarnation}) == nullptr;
}

void request_handler::note_kept(const exchange& running, abort_cause cause,
                                const char* reason) {
  if (std::string_view(reason) == this->kept_reason) return;
  this->kept_reason = reason;
  const absl::Time now = this->node.now();
  this->node.metrics.count_kept(abort_cause_name(cause), reason);
  this->node.log.write(
      log_category::request, "attempt_kept",
      {{"id", this->info.id},
       {"cause", abort_cause_name(cause)},
       {"why", reason},
       {"server", running.endpoint.server},
       {"group", running.endpoint.group},
       {"silent_ms",
        absl::StrCat(absl::ToInt64Milliseconds(now - running.last_heard))},
       {"last_event", absl::StrCat(this->last_event)},
       {"sends", absl::StrCat(this->attempts_made)},
       {"runs", absl::StrCat(this->possible_runs)}},
      now);
}

}  // namespace spokesail
