// Log lines and metrics of a request.
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

#include "request-handler.h"

namespace spokesail {
namespace {

std::string millis(absl::Duration d) {
  return absl::StrCat(absl::ToInt64Milliseconds(d));
}

const char* framing_of(const std::optional<body_evidence>& body) {
  return body ? body_framing_name(body->framing) : "";
}

const char* body_end_of(const std::optional<body_evidence>& body) {
  return body ? body_end_name(body->end) : "";
}

std::string unfinished_of(const std::optional<body_evidence>& body) {
  return body ? absl::StrCat(body->unfinished_bytes) : "";
}

/// The request's prompt parts, separated by commas.
std::string join_traits(const std::vector<request_trait>& traits) {
  return absl::StrJoin(traits, ",", [](std::string* out, const auto& trait) {
    absl::StrAppend(out, to_text(trait));
  });
}

}  // namespace

void request_handler::log_attempt(const exchange& ex, const char* outcome,
                                  const std::string& error) {
  this->node.metrics.count_attempt(outcome);
  this->last_abort = ex.aborted;
  const std::string reason =
      ex.aborted == abort_cause::none ? error : abort_cause_name(ex.aborted);
  this->last_error = reason;
  this->last_body.reset();
  if (ex.head_received) {
    this->last_body = ex.body;
    this->node.metrics.count_response(body_framing_name(ex.body.framing),
                                      body_end_name(ex.body.end));
  }
  if (std::string_view(outcome) == "whole") return;
  const absl::Time now = this->node.now();
  this->node.log.write(
      log_category::request, "attempt_ended",
      {{"id", this->info.id},
       {"identity", to_text(this->identity())},
       {"parts", join_traits(this->part_traits)},
       {"end", outcome},
       {"why", reason},
       {"server", ex.endpoint.server},
       {"group", ex.endpoint.group},
       {"reused", ex.reused ? "1" : "0"},
       {"proxy", ex.proxy},
       {"framing", framing_of(this->last_body)},
       {"body_end", body_end_of(this->last_body)},
       {"unfinished_bytes", unfinished_of(this->last_body)},
       {"backoff_left_ms", this->backoff_left_ms(ex)},
       {"last_event", absl::StrCat(this->last_event)},
       {"since_sent_ms", millis(now - std::min(now, ex.sent_at))},
       {"silent_ms", millis(now - std::max(ex.last_event, this->arrived))},
       {"servers_silent_ms", this->servers_silent_ms()},
       {"excluded", absl::StrCat(this->node.avoided_until.size())},
       {"servers_rev", absl::StrCat(this->node.directory.revision())},
       {"servers_age_ms", this->node.directory_listed
                              ? millis(this->node.age().servers)
                              : "none"}},
      now);
}

void request_handler::count_given_up(bool retries) {
  this->node.metrics.count_given_up(
      abort_cause_name(this->last_abort),
      retries ? "retried" : this->no_retry_reason);
}

void request_handler::log_limit(const char* event, const exchange& ex,
                                std::optional<double> before,
                                std::optional<double> after) {
  const auto format_limit = [](std::optional<double> per_s) {
    return per_s ? absl::StrCat(*per_s) : "none";
  };
  this->node.log.state_change(
      event,
      {{"server", ex.endpoint.server},
       {"group", ex.endpoint.group},
       {"id", this->info.id},
       {"status", absl::StrCat(ex.head().result_int())},
       {"before_per_s", format_limit(before)},
       {"per_s", format_limit(after)},
       {"live_nodes", absl::StrCat(this->node.live_nodes)}},
      this->node.now());
}

void request_handler::log_backoff(const char* event, const exchange& ex,
                                  const answer_head& head) {
  this->node.metrics.count_update_event(event);
  this->node.log.write(
      log_category::request, event,
      {{"server", ex.endpoint.server},
       {"group", ex.endpoint.group},
       {"id", this->info.id},
       {"backoff_ms", head.backoff ? millis(*head.backoff) : ""},
       {"left_ms", this->backoff_left_ms(ex)},
       {"not_run", head.not_run ? "1" : "0"},
       {"stamped", head.has_server_stamp ? "1" : "0"},
       {"sends", absl::StrCat(this->attempts_made)}},
      this->node.now());
}

void request_handler::log_leaving(const exchange& ex, const answer_head& head) {
  this->node.metrics.count_update_event("server_leaving");
  const server_entry* entry = this->node.directory.find(ex.endpoint.server);
  this->node.log.write(
      log_category::request, "server_leaving",
      {{"server", ex.endpoint.server},
       {"group", ex.endpoint.group},
       {"id", this->info.id},
       {"status", absl::StrCat(ex.head().result_int())},
       {"stamped", head.has_server_stamp ? "1" : "0"},
       {"listed_draining", entry != nullptr && entry->draining ? "1" : "0"},
       {"servers_age_ms", millis(this->node.age().servers)}},
      this->node.now());
}

std::string request_handler::backoff_left_ms(const exchange& ex) const {
  const absl::Time now = this->node.now();
  const auto backoff = this->node.backoffs.find(
      {ex.endpoint.server, ex.endpoint.incarnation}, now);
  return backoff ? millis(backoff->until - now) : "";
}

std::string request_handler::servers_silent_ms() const {
  const absl::Time heard = this->node.reachability.last_heard();
  return heard == absl::InfinitePast() ? "none"
                                       : millis(this->node.now() - heard);
}

retry_usage request_handler::current_retry_usage() {
  if (this->service == nullptr) return {};
  const absl::Time now = this->node.now();
  return this->node.retries.usage(this->service->name,
                                  this->node.fleet.peak(now), now);
}

void request_handler::log_trial(const char* event, const request_trait& trait) {
  const absl::Time now = this->node.now();
  this->node.log.write(
      log_category::request, event,
      {{"id", this->info.id},
       {"identity", to_text(trait)},
       {"servers", absl::StrCat(this->node.crashes.crash_count(trait))},
       {"sends", absl::StrCat(this->attempts_made)},
       {"total_ms", millis(now - this->arrived)}},
      now);
}

void request_handler::log_retry(const char* event) {
  this->node.metrics.count_retry(this->service->name, event);
  const absl::Time now = this->node.now();
  const retry_usage budget = this->current_retry_usage();
  const std::optional<int> nodes = this->node.fleet.peak(now);
  this->node.log.write(log_category::request, event,
                       {{"id", this->info.id},
                        {"service", this->service->name},
                        {"sends", absl::StrCat(this->attempts_made)},
                        {"wait_ms", millis(now - this->attempt_ended_at)},
                        {"window_requests", absl::StrCat(budget.requests)},
                        {"window_repeats", absl::StrCat(budget.retries)},
                        {"reserved", absl::StrCat(budget.reserved)},
                        {"left", absl::StrCat(budget.remaining)},
                        {"nodes", nodes ? absl::StrCat(*nodes) : "unknown"},
                        {"live_nodes", absl::StrCat(this->node.live_nodes)},
                        {"up_ms", millis(now - this->node.started)}},
                       now);
}

void request_handler::log_end(const char* outcome, const std::string& reason,
                              unsigned status) {
  const absl::Time now = this->node.now();
  this->node.metrics.count_request(outcome, reason);
  this->node.metrics.observe_request(
      absl::ToDoubleSeconds(now - this->arrived));
  if (this->first_event_at != absl::InfiniteFuture()) {
    this->node.metrics.observe_pause(
        absl::ToDoubleSeconds(this->max_event_gap));
  }
  const absl::Time first = std::min(this->first_event_at, now);
  const std::optional<limit_report>& limit = this->chosen.limit;
  this->node.log.write(
      log_category::request, "request_ended",
      {{"id", this->info.id},
       {"outcome", outcome},
       {"status", absl::StrCat(status)},
       {"why", reason},
       {"no_retry", this->no_retry_reason},
       {"route", this->route == nullptr ? "" : this->route->name},
       {"due_ms", this->route == nullptr ? "" : millis(this->route->goal)},
       {"longest_gap_ms", this->route == nullptr || !this->route->streaming
                              ? ""
                              : millis(this->route->event_gap_goal)},
       {"model", this->info.model},
       {"wait_ms", millis(this->queue_time)},
       {"place_expected_ms",
        this->last_decision ? millis(this->last_decision->expected_wait) : ""},
       {"come_back_ms",
        this->last_decision ? millis(this->last_decision->retry_after) : ""},
       {"error_ms", this->last_decision ? absl::StrCat(static_cast<int>(
                                              this->last_decision->error_ms))
                                        : ""},
       {"sent_late",
        this->last_decision && this->last_decision->late ? "1" : "0"},
       {"place", this->chosen.endpoint},
       {"proxy", this->proxy},
       {"framing", framing_of(this->last_body)},
       {"body_end", body_end_of(this->last_body)},
       {"unfinished_bytes", unfinished_of(this->last_body)},
       {"near", this->chosen.local ? "1" : "0"},
       {"place_running", absl::StrCat(this->chosen.running)},
       {"predicted_ms",
        absl::StrCat(static_cast<int>(this->chosen.predicted_ms))},
       {"slowness", absl::StrCat(this->chosen.slowness)},
       {"limit_per_s", limit ? absl::StrCat(limit->per_s.value_or(0)) : ""},
       {"limit_age_ms", limit ? millis(limit->age) : ""},
       {"identity",
        this->cached_identity ? to_text(*this->cached_identity) : ""},
       {"parts", join_traits(this->part_traits)},
       {"sends", absl::StrCat(this->attempts_made)},
       {"runs", absl::StrCat(this->possible_runs)},
       {"servers_silent_ms", this->servers_silent_ms()},
       {"excluded", absl::StrCat(this->node.avoided_until.size())},
       {"repeats_left",
        absl::StrCat(static_cast<int>(this->current_retry_usage().remaining))},
       {"last_event", absl::StrCat(this->last_event)},
       {"first_ms", millis(first - this->arrived)},
       {"pause_ms", millis(this->max_event_gap)},
       {"total_ms", millis(now - this->arrived)},
       {"prompt", absl::StrCat(this->info.prompt_tokens)},
       {"config",
        absl::StrCat(this->table ? this->table->config().version : 0)},
       {"config_age_ms",
        this->table ? millis(this->node.config_age()) : "none"},
       {"servers_rev", absl::StrCat(this->node.directory.revision())}},
      now);
}

}  // namespace spokesail
