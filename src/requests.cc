#include "spokesail/requests.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace spokesail {
namespace {

/// Retries that each new request adds to the retry budget.
constexpr double retries_per_request = 0.2;

/// Maximum attempts of one request, regardless of the budget.
constexpr int max_attempts = 4;

/// How long a request waits for a group to open before it is refused.
constexpr absl::Duration max_closed_wait = absl::Seconds(2);

/// How long a request avoids a target that failed it.
constexpr absl::Duration avoid_duration = absl::Milliseconds(500);

/// Bounds on the retry delay given to a caller.
constexpr absl::Duration min_retry_after = absl::Seconds(1);
constexpr absl::Duration max_retry_after = absl::Seconds(120);

absl::Duration bounded_retry_after(absl::Duration wait) {
  return std::clamp(wait, min_retry_after, max_retry_after);
}

bool may_retry(const configuration& config, const request_info& info) {
  const service_config* service = find_service(config, info.target);
  const bool decided = info.kind == target_kind::model ||
                       info.repeatable_stated || !info.repeatable || !service;
  if (decided) return info.repeatable;
  const auto& methods = service->repeatable_methods;
  return std::find(methods.begin(), methods.end(), info.method) !=
         methods.end();
}

outcome refusal(int status, std::string code, std::string reason,
                absl::Duration retry_after) {
  return {outcome_kind::refused, status, std::move(code), std::move(reason),
          retry_after};
}

}  // namespace

std::optional<outcome> request_table::reason_to_refuse(const request_info& info,
                                                       const routing_view& view,
                                                       absl::Time now) {
  const configuration* config = view.config();
  if (this->stopping) {
    return refusal(503, "stopping", "this entry host is stopping",
                   min_retry_after);
  }
  if (!config) {
    return refusal(503, "not_ready", "no configuration is known yet",
                   min_retry_after);
  }
  const bool known = info.kind == target_kind::model
                         ? find_model(*config, info.target) != nullptr
                         : find_service(*config, info.target) != nullptr;
  if (!known) {
    return refusal(404, "unknown_target",
                   absl::StrCat("there is no ", info.target),
                   absl::ZeroDuration());
  }
  const workspace_config* workspace = find_workspace(*config, info.workspace);
  if (!workspace) {
    return refusal(403, "unknown_workspace",
                   absl::StrCat("there is no workspace ", info.workspace),
                   absl::ZeroDuration());
  }
  if (info.deadline <= now) {
    return refusal(408, "deadline", "the deadline has passed",
                   absl::ZeroDuration());
  }
  // A forwarded request was counted in the data hall that it came from.
  if (workspace->rate > 0 && !info.forwarded) {
    const double burst = std::max(1.0, workspace->rate * 2);
    auto [it, fresh] = this->rates.try_emplace(
        info.workspace, token_bucket(workspace->rate, burst));
    if (!it->second.try_consume(1, now)) {
      return refusal(429, "rate", "the workspace is over its rate",
                     bounded_retry_after(it->second.wait_for(1)));
    }
  }
  return std::nullopt;
}

void request_table::arrive(const request_info& info, const routing_view& view,
                           random_stream& random, absl::Time now,
                           request_actions& out) {
  if (auto refused = this->reason_to_refuse(info, view, now)) {
    out.finishes.push_back({info.id, *std::move(refused)});
    return;
  }
  this->retry_budget.add(retries_per_request);
  const configuration& config = *view.config();
  const workspace_config& workspace = *find_workspace(config, info.workspace);
  entry e;
  e.info = info;
  e.info.priority = std::min(info.priority, workspace.max_priority);
  e.info.repeatable = may_retry(config, info);
  if (info.deadline == absl::InfiniteFuture()) {
    e.info.deadline = now + config.limits.default_deadline;
  }
  e.weight = workspace.weight;
  e.queued = true;
  e.queued_since = now;
  const pool_key key{info.kind, info.target};
  pool& p = this->pools[key];
  const int targets =
      static_cast<int>(view.open_places(info.kind, info.target).size());
  const absl::Duration wait = this->queue_wait(p, targets);
  if (!p.queue.empty() && now + wait > e.info.deadline) {
    out.finishes.push_back(
        {info.id, refusal(503, "too_late",
                          "the queue is longer than the deadline allows",
                          bounded_retry_after(wait))});
    return;
  }
  const auto limit = static_cast<size_t>(config.limits.queue_length);
  const queued_request waiting{info.id,   info.workspace,
                               e.weight,  e.info.priority,
                               info.cost, e.info.deadline};
  if (!p.queue.push(waiting, limit)) {
    out.finishes.push_back(
        {info.id, refusal(429, "queue_full", "the queue is full",
                          bounded_retry_after(wait))});
    return;
  }
  this->requests.emplace(info.id, std::move(e));
  this->send_queued(key, view, random, now, out);
}

absl::Duration request_table::queue_wait(const pool& p, int targets) const {
  const double turns = static_cast<double>(p.queue.size()) /
                       static_cast<double>(std::max(targets, 1));
  return absl::Seconds(turns * p.service_seconds);
}

void request_table::finish(uint64_t id, outcome result, request_actions& out) {
  const auto it = this->requests.find(id);
  if (it == this->requests.end()) return;
  this->release_target(it->second);
  if (it->second.queued) {
    const pool_key key{it->second.info.kind, it->second.info.target};
    this->pools[key].queue.remove(id);
  }
  this->requests.erase(it);
  out.finishes.push_back({id, std::move(result)});
}

void request_table::release_target(entry& e) {
  if (e.attempt.empty()) return;
  e.attempt.clear();
  const auto it = this->running.find(e.target.name);
  if (it == this->running.end()) return;
  if (--it->second <= 0) this->running.erase(it);
}

outcome request_table::refuse_closed(const entry& e,
                                     const routing_view& view) const {
  return refusal(503, "no_open_group",
                 absl::StrCat("nothing serves ", e.info.target, " now"),
                 bounded_retry_after(view.estimated_reopen(e.info.target)));
}

void request_table::send_queued(const pool_key& key, const routing_view& view,
                                random_stream& random, absl::Time now,
                                request_actions& out) {
  pool& p = this->pools[key];
  while (const queued_request* next = p.queue.front()) {
    const uint64_t id = next->id;
    entry& e = this->requests.at(id);
    if (!this->start_attempt(e, view, random, now, out)) return;
    p.queue.pop();
    e.queued = false;
    e.queued_since = now;
  }
}

bool request_table::start_attempt(entry& e, const routing_view& view,
                                  random_stream& random, absl::Time now,
                                  request_actions& out) {
  auto targets = view.open_places(e.info.kind, e.info.target);
  const bool some_open = !targets.empty();
  if (now < e.avoid_until) {
    std::erase_if(targets, [&](const open_target& candidate) {
      return std::find(e.avoided.begin(), e.avoided.end(),
                       candidate.target.name) != e.avoided.end();
    });
  }
  std::optional<attempt_target> target;
  if (!targets.empty()) {
    std::vector<route_option> options;
    options.reserve(targets.size());
    for (const auto& candidate : targets) {
      options.push_back(
          {candidate.target.name, this->in_flight(candidate.target.name),
           candidate.reported, candidate.capacity, candidate.share});
    }
    const auto chosen = choose_route(options, e.info.prefix, random);
    if (!chosen) return false;
    target = targets[*chosen].target;
  } else if (!some_open && !e.info.forwarded) {
    const auto others = view.other_halls(e.info.kind, e.info.target);
    if (others.empty()) return false;
    target = others[random.below(others.size())];
  } else {
    return false;
  }
  e.attempts++;
  e.target = *target;
  e.attempt = absl::StrCat(this->node, "-", absl::Hex(this->boot), "-",
                           ++this->attempt_count);
  this->running[target->name]++;
  out.starts.push_back({e.info.id, e.attempt, *target, !e.info.repeatable});
  return true;
}

void request_table::attempt_ended(uint64_t request, const std::string& attempt,
                                  attempt_end end, const routing_view& view,
                                  random_stream& random, absl::Time now,
                                  request_actions& out) {
  const auto it = this->requests.find(request);
  if (it == this->requests.end() || it->second.attempt != attempt) return;
  entry& e = it->second;
  const pool_key key{e.info.kind, e.info.target};
  this->release_target(e);
  if (end == attempt_end::whole) {
    constexpr double weight = 0.1;
    double& mean = this->pools[key].service_seconds;
    mean += weight * (absl::ToDoubleSeconds(now - e.queued_since) - mean);
    this->finish(request, outcome{}, out);
  } else {
    this->retry(e, end, view, random, now, out);
  }
  this->send_queued(key, view, random, now, out);
}

void request_table::retry(entry& e, attempt_end end, const routing_view& view,
                          random_stream& random, absl::Time now,
                          request_actions& out) {
  const uint64_t id = e.info.id;
  if (now >= e.avoid_until) e.avoided.clear();
  e.avoided.push_back(e.target.name);
  e.avoid_until = now + avoid_duration;
  const bool may_have_run = end == attempt_end::broken;
  e.failures += may_have_run ? 1 : 0;
  if (may_have_run && !e.info.repeatable) {
    this->finish(id,
                 {outcome_kind::failed, 502, "may_have_run",
                  "the backend server was lost while it may have run this",
                  absl::ZeroDuration()},
                 out);
    return;
  }
  const bool exhausted =
      e.attempts >= max_attempts || !this->retry_budget.try_consume(1, now);
  if (!exhausted) {
    if (this->start_attempt(e, view, random, now, out)) return;
    const pool_key key{e.info.kind, e.info.target};
    e.queued = true;
    e.queued_since = now;
    this->pools[key].queue.push_front({id, e.info.workspace, e.weight,
                                       e.info.priority, e.info.cost,
                                       e.info.deadline});
    return;
  }
  if (e.failures > 0) {
    this->finish(id,
                 {outcome_kind::failed, 502, "may_have_run",
                  "every attempt was lost", min_retry_after},
                 out);
  } else {
    this->finish(id,
                 refusal(503, "not_started", "no backend server started this",
                         min_retry_after),
                 out);
  }
}

void request_table::caller_gone(uint64_t request, request_actions& out) {
  const auto it = this->requests.find(request);
  if (it == this->requests.end()) return;
  if (!it->second.attempt.empty()) out.cancels.push_back(it->second.attempt);
  this->finish(request,
               {outcome_kind::failed, 499, "caller_gone", "the caller hung up",
                absl::ZeroDuration()},
               out);
}

void request_table::step(const routing_view& view, random_stream& random,
                         absl::Time now, request_actions& out) {
  this->abandon_closed(view, random, now, out);
  std::vector<uint64_t> late;
  std::vector<uint64_t> closed;
  for (const auto& [id, e] : this->requests) {
    if (e.info.deadline <= now) {
      late.push_back(id);
    } else if (e.queued && now - e.queued_since >= max_closed_wait &&
               view.open_places(e.info.kind, e.info.target).empty()) {
      closed.push_back(id);
    }
  }
  for (const uint64_t id : late) {
    const entry& e = this->requests.at(id);
    const bool run = !e.attempt.empty() || e.failures > 0;
    if (!e.attempt.empty()) out.cancels.push_back(e.attempt);
    this->finish(
        id,
        {run ? outcome_kind::failed : outcome_kind::refused, run ? 504 : 503,
         "deadline", "the deadline has passed", min_retry_after},
        out);
  }
  for (const uint64_t id : closed) {
    const entry& e = this->requests.at(id);
    outcome result = this->refuse_closed(e, view);
    if (e.failures > 0) {
      result.kind = outcome_kind::failed;
      result.http_status = 502;
      result.code = "may_have_run";
    }
    this->finish(id, std::move(result), out);
  }
  for (auto& [key, p] : this->pools) {
    if (!p.queue.empty()) this->send_queued(key, view, random, now, out);
  }
}

void request_table::abandon_closed(const routing_view& view,
                                   random_stream& random, absl::Time now,
                                   request_actions& out) {
  std::vector<uint64_t> lost;
  for (const auto& [id, e] : this->requests) {
    if (e.attempt.empty() || e.target.remote_hall) continue;
    if (!view.can_complete(e.info.kind, e.target)) lost.push_back(id);
  }
  for (const uint64_t id : lost) {
    entry& e = this->requests.at(id);
    const std::string attempt = e.attempt;
    out.cancels.push_back(attempt);
    this->attempt_ended(id, attempt, attempt_end::broken, view, random, now,
                        out);
  }
}

size_t request_table::queued() const {
  size_t sum = 0;
  for (const auto& [key, p] : this->pools) sum += p.queue.size();
  return sum;
}

std::optional<attempt_target> request_table::where(
    uint64_t request, const std::string& attempt) const {
  const auto it = this->requests.find(request);
  if (it == this->requests.end() || it->second.attempt != attempt) {
    return std::nullopt;
  }
  return it->second.target;
}

int request_table::in_flight(const std::string& target) const {
  const auto it = this->running.find(target);
  return it == this->running.end() ? 0 : it->second;
}

}  // namespace spokesail
