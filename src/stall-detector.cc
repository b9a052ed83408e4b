// Detects stalled streams and finds the lost member by probing.
#include "stall-detector.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <vector>

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Added to the longest silence that the engine's figures explain before
/// members are probed: network delay and late timers.
constexpr absl::Duration silence_slack = absl::Milliseconds(70);

/// Probe timeout: a live member responds within a few milliseconds.
constexpr absl::Duration probe_timeout = absl::Milliseconds(90);

/// Minimum interval between probes of one group by one node, since each probe
/// has a cost.
constexpr absl::Duration min_probe_interval = absl::Milliseconds(600);

/// A group that is silent for this long although all its members respond has
/// members that do not reach each other.
constexpr absl::Duration max_unexplained_silence = absl::Milliseconds(1200);

/// If nothing is received from any server for this long, the servers of begun
/// streams, and after the longer time those of other requests, are probed.
constexpr absl::Duration min_path_silence = absl::Milliseconds(50);
constexpr absl::Duration max_path_silence = absl::Milliseconds(100);

/// Servers probed at once; two that cannot be reached show that this node's
/// links have failed.
constexpr size_t max_path_probes = 3;

/// If the event loop itself was delayed for this long, silence proves nothing.
constexpr absl::Duration max_loop_delay = absl::Milliseconds(150);

}  // namespace

absl::Duration stall_detector::predict_silence(
    const endpoint_target& endpoint) const {
  const auto model_name = group_model(endpoint.group);
  const endpoint_load load =
      this->node.loads.total(endpoint.group, this->node.now());
  for (const auto& service : this->node.routes->config().services) {
    if (!service.engine) continue;
    const engine_profile& engine = *service.engine;
    const model_profile* model = find_model(engine, model_name);
    if (model == nullptr) continue;
    group_option option;
    option.running = load.running;
    option.slowness =
        this->node.speeds.slowness(endpoint.group, this->node.now());
    // One pass prefills at most this many tokens between its steps.
    const double max_prefill =
        static_cast<double>(engine.decode_steps_per_pass) *
        engine.prefill_chunk;
    const double prefill_ms =
        std::min(load.pending_prefill_tokens, max_prefill) /
        engine.prefill_tokens_per_ms;
    return absl::Milliseconds(model->pace * option.slowness * prefill_ms +
                              predict_event_gap_ms(engine, *model, option, 0));
  }
  return absl::ZeroDuration();
}

std::map<std::string, stall_detector::group_activity>
stall_detector::observe_groups(absl::Time now) {
  std::map<std::string, group_activity> groups;
  for (const exchange* ex : this->node.exchanges) {
    if (ex->endpoint.group.empty()) continue;
    if (ex->aborted != abort_cause::none) continue;
    const auto [at, first] = groups.try_emplace(ex->endpoint.group);
    group_activity& activity = at->second;
    if (first) {
      activity.endpoint = &ex->endpoint;
      activity.expected_silence = this->predict_silence(ex->endpoint);
    }
    activity.last_event = std::max(activity.last_event, ex->last_event);
    if (ex->waiting_for_caller) continue;
    const bool overdue = !ex->events_started && now > ex->first_event_deadline;
    if (overdue)
      activity.first_overdue_sent =
          std::min(activity.first_overdue_sent, ex->sent_at);
    if (ex->events_started || overdue) activity.expects_event = true;
  }
  return groups;
}

void stall_detector::end_lost_paths(absl::Time now) {
  const std::vector<exchange*> all(this->node.exchanges.begin(),
                                   this->node.exchanges.end());
  for (exchange* ex : all) {
    const bool waits = ex->aborted == abort_cause::none && ex->proxy.empty() &&
                       ex->last_heard != absl::InfiniteFuture() &&
                       !ex->waiting_for_caller;
    // An attempt that cannot be repeated is left to its deadline: its response
    // may still arrive.
    if (!waits || !ex->repeatable) continue;
    if (this->node.reachability.connection_lost(ex->endpoint.address,
                                                ex->last_heard, now)) {
      ex->abort(abort_cause::path_lost);
    }
  }
}

void stall_detector::check_paths(absl::Time now) {
  const absl::Duration silence = now - this->node.reachability.last_heard();
  if (silence < min_path_silence + this->node.loop_delay) return;
  size_t probes = 0;
  for (const exchange* ex : this->node.exchanges) {
    if (ex->aborted != abort_cause::none || !ex->proxy.empty()) continue;
    if (ex->waiting_for_caller) continue;
    const absl::Duration limit =
        ex->events_started ? min_path_silence : max_path_silence;
    if (ex->last_heard == absl::InfiniteFuture() ||
        now - ex->last_heard < limit + this->node.loop_delay) {
      continue;
    }
    this->node.connector.probe(ex->endpoint.address);
    if (++probes == max_path_probes) return;
  }
}

void stall_detector::end_overdue(absl::Time now) {
  const std::vector<exchange*> all(this->node.exchanges.begin(),
                                   this->node.exchanges.end());
  for (exchange* ex : all) {
    if (ex->aborted == abort_cause::none && now >= ex->deadline) {
      ex->abort(abort_cause::time_up);
    }
  }
}

void stall_detector::check(absl::Time now) {
  const bool loop_delayed = now - this->last_check > max_loop_delay;
  this->last_check = now;
  this->end_overdue(now);
  if (loop_delayed) return;
  this->end_lost_paths(now);
  this->check_paths(now);
  if (!this->node.routes) return;
  for (const auto& [group, activity] : this->observe_groups(now)) {
    if (activity.expects_event) this->check_group(group, activity, now);
  }
}

void stall_detector::check_group(const std::string& group,
                                 const group_activity& activity,
                                 absl::Time now) {
  const absl::Duration silence = activity.silence(now);
  if (silence < activity.expected_silence + silence_slack) return;
  absl::Time& probed_at =
      this->last_probe.try_emplace(group, absl::InfinitePast()).first->second;
  if (now - probed_at < min_probe_interval) {
    // Unresponsive members are found by their own probes.
    const bool probes_answered =
        now - probed_at > probe_timeout + node_timing::tick;
    const bool members_isolated =
        probes_answered && silence > max_unexplained_silence;
    if (members_isolated)
      this->abandon_group(group, "silent although all members respond");
    return;
  }
  probed_at = now;
  const endpoint_target endpoint = *activity.endpoint;
  for (const auto& id : endpoint.members) {
    net::co_spawn(this->node.loop, this->probe_member(group, id, true),
                  net::detached);
  }
}

net::awaitable<void> stall_detector::probe_member(std::string group,
                                                  std::string server,
                                                  bool notify_peers) {
  const server_entry* entry = this->node.directory.find(server);
  if (entry == nullptr) {
    this->abandon_group(group, "a member is no longer listed", server);
    co_return;
  }
  const std::string address = entry->address;
  const http_request request = this->node.adapter.write_report_request(server);
  const fetch_result result =
      co_await this->node.call_server(address, request, probe_timeout);
  if (result.status == fetch_status::ok &&
      this->node.adapter.read_report(result.response)) {
    co_return;
  }
  // Without a path to the servers, silence does not show which has failed.
  if (this->node.reachability.in_doubt(this->node.now()) &&
      result.status != fetch_status::ok) {
    co_return;
  }
  this->node.suspect_server(server);
  if (this->on_suspect) this->on_suspect(server);
  if (result.silent) {
    // A sound server may pause. Streams go on elsewhere, but it is not lost.
    this->abandon_group(group, absl::StrCat(server, " is silent"));
    co_return;
  }
  if (notify_peers && this->on_loss) this->on_loss({{server}, group});
  this->abandon_group(group, absl::StrCat(server, " does not respond"), server);
}

bool stall_detector::has_exchange(const std::string& group) const {
  return std::any_of(this->node.exchanges.begin(), this->node.exchanges.end(),
                     [&](const exchange* ex) {
                       return ex->endpoint.group == group &&
                              ex->aborted == abort_cause::none;
                     });
}

void stall_detector::handle_suspicion(const suspicion& report) {
  if (report.group.empty() || !this->has_exchange(report.group)) return;
  const absl::Time now = this->node.now();
  absl::Time& probed_at =
      this->last_probe.try_emplace(report.group, absl::InfinitePast())
          .first->second;
  if (now - probed_at < min_probe_interval) return;
  probed_at = now;
  for (const auto& id : report.servers) {
    net::co_spawn(this->node.loop, this->probe_member(report.group, id, false),
                  net::detached);
  }
}

void stall_detector::abandon_group(const std::string& group,
                                   const std::string& reason,
                                   const std::string& unresponsive) {
  const absl::Time now = this->node.now();
  int streams = 0;
  const std::vector<exchange*> all(this->node.exchanges.begin(),
                                   this->node.exchanges.end());
  for (exchange* ex : all) {
    if (ex->endpoint.group != group || ex->aborted != abort_cause::none)
      continue;
    ++streams;
    ex->unresponsive_member = unresponsive;
    ex->abort(abort_cause::stalled);
  }
  if (streams == 0 && this->node.avoided(group)) return;
  this->node.avoid_endpoint(group);
  this->node.metrics.count_stall();
  this->node.log.state_change(
      "group_given_up",
      {{"group", group}, {"why", reason}, {"streams", absl::StrCat(streams)}},
      now);
}

}  // namespace spokesail
