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
  return runs < this->route->attempts ? nullptr
                                      : "all attempts of the route used";
}

std::shared_ptr<exchange> request_handler::place_attempt(
    const exchange& running, abort_cause cause) {
  const endpoint_choice before = this->chosen;
  const std::string& current = running.endpoint.load_key();
  if (cause == abort_cause::path_lost) this->tried_endpoints.erase(current);
  const auto endpoint = this->pick();
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
  } else if (!this->searching &&
             this->node.failovers.try_begin(this->node.now())) {
    this->searching = true;
    net::co_spawn(this->node.loop,
                  this->search_endpoint(this->node, running, cause),
                  net::detached);
  }
}

net::awaitable<void> request_handler::search_endpoint(
    node_context& state, std::weak_ptr<exchange> running, abort_cause cause) {
  const absl::Time begun = state.now();
  std::shared_ptr<exchange> next;
  failover_chance chance;
  // The handler lives as long as its running attempt.
  if (const auto ex = running.lock()) {
    chance.granted = this->reserve_retry();
    if (chance.granted) next = this->place_attempt(*ex, cause);
    chance.placed = next != nullptr;
  }
  // Plain servers have no report.
  chance.confirmed = chance.placed;
  const bool probes = chance.placed && !next->endpoint.group.empty();
  if (probes) {
    chance.confirmed = co_await state.prober.all_answer(next->endpoint.members);
    state.failovers.end(chance.confirmed, state.now());
    if (!chance.confirmed) state.avoid_endpoint(next->endpoint.load_key());
  } else {
    state.failovers.end_without_probe();
  }
  const auto ex = running.lock();
  if (ex == nullptr || !ex->running()) co_return;
  this->searching = false;
  chance.obstacle = this->obstacle_to_failover(*ex, cause);
  chance.recovered = ex->last_heard > begun || ex->waiting_for_caller;
  if (const char* reason = reason_to_keep(chance)) {
    this->reserved.reset();
    this->note_kept(*ex, cause, reason);
    co_return;
  }
  this->placed = std::move(next);
  ex->abort(cause);
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
