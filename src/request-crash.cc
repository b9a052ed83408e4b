// Records whether requests crash the servers that run them, and holds back
// those with a suspected trait.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "caller-session.h"
#include "crash-check.h"
#include "request-handler.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;

/// A kept connection to a server that has stopped is reset within a round trip,
/// under 10 ms between data halls. Attempts on reused connections that fail
/// sooner than this limit do not count as run: a server that ended for another
/// reason would otherwise count against each request sent to it before its end
/// was known. On a day on which all hosts stopped, a request that caused no
/// crash was quarantined for this reason.
constexpr absl::Duration dead_connection_limit = absl::Milliseconds(20);

/// How long a request waits while others with a suspected trait run: about two
/// trials. Its caller can still return in time.
constexpr absl::Duration max_trial_wait = absl::Milliseconds(600);

/// A request that has waited for so long runs without a trial if there are
/// fewer crashes than this: then most suspicions are wrong.
constexpr size_t max_crashes_to_run = crash_tracker::begun_crash_threshold;

/// Interval at which a waiting request checks whether it may run.
constexpr absl::Duration trial_poll_interval = absl::Milliseconds(5);

/// Retry delay if a trait was neither cleared nor quarantined meanwhile.
constexpr absl::Duration trial_retry_delay = absl::Milliseconds(300);

}  // namespace

const request_trait& request_handler::identity() {
  if (!this->cached_identity) {
    const auto host = this->request[http::field::host];
    const auto target = this->request.target();
    const auto method = this->request.method_string();
    this->cached_identity = content_trait(
        this->workspace == nullptr ? "" : this->workspace->name,
        {method.data(), method.size()}, {host.data(), host.size()},
        {target.data(), target.size()}, this->request.body());
  }
  return *this->cached_identity;
}

const std::vector<request_trait>& request_handler::traits() {
  if (this->cached_traits.empty()) {
    this->cached_traits = this->part_traits;
    this->cached_traits.push_back(this->identity());
  }
  return this->cached_traits;
}

crash_judgement request_handler::judge() {
  // Hashing the whole content is avoided unless some crash is known.
  if (this->node.crashes.empty()) return {};
  return this->node.crashes.judge(this->traits(), this->node.now());
}

bool request_handler::refuse_crashing(const crash_judgement& judged) {
  this->leave_trial();
  if (judged.verdict == crash_verdict::quarantined) {
    this->crash_refusal = {503, "servers crashed under it", judged.remaining};
  } else {
    this->crash_refusal = {503, "servers crashed under requests like it",
                           trial_retry_delay};
  }
  this->node.metrics.count_trial("refused");
  return false;
}

bool request_handler::quarantined() {
  const crash_judgement judged = this->judge();
  if (judged.verdict != crash_verdict::quarantined) return false;
  this->refuse_crashing(judged);
  return true;
}

bool request_handler::may_run() {
  switch (this->judge().verdict) {
    case crash_verdict::clear:
      return true;
    case crash_verdict::suspected:
      return this->in_trial || this->ran_untried;
    case crash_verdict::quarantined:
      return false;
  }
  return true;
}

bool request_handler::enter_trial(const request_trait& trait) {
  this->leave_trial();
  this->trial_number = ++this->node.trial_number;
  const bool entered = this->node.trials.enter(
      trait, this->trial_number, this->node.random.engine(), this->node.now());
  if (entered) this->trial_trait = trait;
  return entered;
}

void request_handler::leave_trial() {
  if (!this->trial_trait) return;
  if (this->in_trial) {
    this->node.metrics.count_trial("ended");
    this->log_trial("trial_ended", *this->trial_trait);
  }
  this->node.trials.leave(*this->trial_trait, this->trial_number,
                          this->node.random.engine(), this->node.now());
  this->trial_trait.reset();
  this->in_trial = false;
}

bool request_handler::end_trial_wait(const crash_judgement& judged) {
  if (judged.crashes >= max_crashes_to_run)
    return this->refuse_crashing(judged);
  this->leave_trial();
  this->ran_untried = true;
  return true;
}

net::awaitable<bool> request_handler::wait_for_trial() {
  const absl::Time until =
      this->node.now() + std::min(max_trial_wait, this->time_left() / 4);
  for (;;) {
    const crash_judgement judged = this->judge();
    if (judged.verdict == crash_verdict::clear) {
      this->leave_trial();
      co_return true;
    }
    if (judged.verdict == crash_verdict::quarantined)
      co_return this->refuse_crashing(judged);
    if (this->in_trial || this->ran_untried) co_return true;
    const bool waits = this->trial_trait == judged.trait;
    if (!waits && !this->enter_trial(judged.trait))
      co_return this->refuse_crashing(judged);
    this->in_trial = this->node.trials.try_begin(
        judged.trait, this->trial_number, this->node.now());
    if (this->in_trial) {
      this->node.metrics.count_trial("begun");
      this->log_trial("trial_begun", judged.trait);
      co_return true;
    }
    if (this->session.disconnected) co_return false;
    if (this->node.now() >= until) co_return this->end_trial_wait(judged);
    co_await this->node.sleep(trial_poll_interval);
  }
}

void request_handler::note_known_crashes() {
  this->known_crashes.clear();
  if (this->node.crashes.empty()) return;
  for (const request_trait& trait : this->traits()) {
    if (this->node.crashes.crash_count(trait) > 0)
      this->known_crashes.insert(trait);
  }
}

void request_handler::record_answer_begin() {
  const absl::Time now = this->node.now();
  for (const request_trait& part : this->part_traits) {
    this->node.crashes.add_progress(part, run_progress::start,
                                    run_progress::completed, now);
  }
  const bool known = !this->node.crashes.empty() &&
                     this->node.crashes.contains(this->identity());
  if (known) {
    this->node.crashes.add_progress(this->identity(), run_progress::start,
                                    this->last_event + 1, now);
  }
  const bool cleared =
      this->in_trial && !this->node.crashes.suspected(*this->trial_trait, now);
  if (cleared) this->leave_trial();
}

bool request_handler::may_have_run(const exchange& ex) const {
  return !ex.reused || ex.head_received ||
         this->node.now() - ex.sent_at >= dead_connection_limit;
}

net::awaitable<void> request_handler::record_run_result(const exchange& ex,
                                                        attempt_result result) {
  const bool ran_out_of_time = ex.aborted == abort_cause::caller_gone ||
                               ex.aborted == abort_cause::time_up ||
                               ex.aborted == abort_cause::slow;
  if (result == attempt_result::broken && ex.server_lost && !ran_out_of_time) {
    // A server whose response was cut by this node has not ended.
    if (this->may_have_run(ex) && !ex.malformed)
      co_await this->record_server_loss(ex);
    this->server_lost_before = true;
  }
  // A server may report an error before it has read the request.
  const bool answered = result == attempt_result::done && ex.head_received &&
                        ex.head().result_int() < first_server_error;
  // A plain answer has no events.
  if (answered && !ex.events_started) this->record_answer_begin();
  if (this->node.crashes.empty()) co_return;
  if (answered) {
    this->node.crashes.add_progress(this->identity(), run_progress::start,
                                    run_progress::completed, this->node.now());
  } else if (ex.events_started) {
    this->node.crashes.add_progress(this->identity(), run_progress::start,
                                    this->last_event, this->node.now());
  }
}

net::awaitable<void> request_handler::record_server_loss(const exchange& ex) {
  const bool had_crash = this->known_crashes.count(this->identity()) != 0;
  lost_run lost{{}, ex.endpoint, ex.unresponsive_member};
  lost.traits.push_back({this->identity(),
                         {this->last_event, ex.head_received,
                          had_crash || this->server_lost_before}});
  // A part is read before the answer begins: a server that has sent an event
  // has got past it.
  if (!ex.events_started) {
    for (const request_trait& part : this->part_traits) {
      const bool repeated =
          this->in_trial && this->known_crashes.count(part) != 0;
      lost.traits.push_back(
          {part, {run_progress::start, ex.head_received, repeated}});
    }
  }
  // An attempt that was given up for another one has its server already.
  const bool decides = (had_crash || lost.traits.size() > 1) &&
                       ex.aborted != abort_cause::stalled;
  auto check = check_crash(this->node, std::move(lost));
  if (decides) {
    co_await std::move(check);
  } else {
    net::co_spawn(this->node.loop, std::move(check), net::detached);
  }
}

}  // namespace spokesail
