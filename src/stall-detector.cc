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

/// Time in which the result of a probe is known on an idle node.
constexpr absl::Duration probe_time = absl::Milliseconds(90);

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

abort_cause stall_detector::doubt_about(const exchange& ex,
                                        absl::Time now) const {
  if (!ex.running() || ex.waiting_for_caller) return abort_cause::none;
  const bool path_lost =
      ex.proxy.empty() && this->node.reachability.connection_lost(
                              ex.endpoint.address, ex.last_heard, now);
  if (path_lost) return abort_cause::path_lost;
  if (this->suspicion_of(ex) != nullptr) return abort_cause::stalled;
  const bool slow = now >= ex.slow_at && !ex.head_received;
  return slow ? abort_cause::slow : abort_cause::none;
}

const stall_detector::group_suspicion* stall_detector::suspicion_of(
    const exchange& ex) const {
  const auto found = this->suspicions.find(ex.endpoint.group);
  const bool applies =
      found != this->suspicions.end() && ex.last_heard < found->second.since;
  return applies ? &found->second : nullptr;
}

void stall_detector::raise_doubts(absl::Time now) {
  std::vector<exchange*> all(this->node.exchanges.begin(),
                             this->node.exchanges.end());
  // Searches are limited, so that none must always come last.
  std::shuffle(all.begin(), all.end(), this->node.random.engine);
  for (exchange* ex : all) {
    if (!ex->running()) continue;
    const group_suspicion* suspicion = this->suspicion_of(*ex);
    const bool unreachable = suspicion != nullptr && suspicion->unreachable;
    ex->unresponsive_member = unreachable ? suspicion->member : "";
    const abort_cause cause = this->doubt_about(*ex, now);
    if (cause != abort_cause::none && ex->on_doubt) ex->on_doubt(cause);
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
  const bool node_ends = now >= this->node.serves_until();
  for (exchange* ex : all) {
    // A stream that has begun cannot be answered otherwise.
    const bool overdue =
        now >= ex->deadline || (node_ends && !ex->events_started);
    if (ex->aborted == abort_cause::none && overdue)
      ex->abort(abort_cause::time_up);
  }
}

void stall_detector::check(absl::Time now) {
  const bool loop_delayed = now - this->last_check > max_loop_delay;
  this->last_check = now;
  this->end_overdue(now);
  if (loop_delayed) return;
  this->check_paths(now);
  if (!this->node.routes) return;
  const auto groups = this->observe_groups(now);
  for (const auto& [group, activity] : groups) {
    if (activity.expects_event) this->check_group(group, activity, now);
    this->check_suspicion(group, activity, now);
  }
  this->forget_groups(groups);
  this->raise_doubts(now);
}

void stall_detector::forget_groups(
    const std::map<std::string, group_activity>& groups) {
  const auto is_unused = [&](const auto& item) {
    return groups.count(item.first) == 0;
  };
  std::erase_if(this->suspicions, is_unused);
}

void stall_detector::check_suspicion(const std::string& group,
                                     const group_activity& activity,
                                     absl::Time now) {
  const auto found = this->suspicions.find(group);
  if (found == this->suspicions.end()) return;
  if (activity.last_event > found->second.since) {
    this->suspicions.erase(found);
    return;
  }
  absl::Time& probed_at =
      this->last_probe.try_emplace(group, absl::InfinitePast()).first->second;
  if (found->second.member.empty() || now - probed_at < min_probe_interval)
    return;
  probed_at = now;
  net::co_spawn(this->node.loop,
                this->probe_member(group, found->second.member, false),
                net::detached);
}

void stall_detector::check_group(const std::string& group,
                                 const group_activity& activity,
                                 absl::Time now) {
  const absl::Duration silence = activity.silence(now);
  if (silence < activity.expected_silence + silence_slack) return;
  absl::Time& probed_at =
      this->last_probe.try_emplace(group, absl::InfinitePast()).first->second;
  if (now - probed_at < min_probe_interval) {
    // Members that do not answer are found by their own probes.
    const bool probes_answered =
        now - probed_at > probe_time + node_timing::tick;
    const bool members_isolated = probes_answered &&
                                  silence > max_unexplained_silence &&
                                  !this->node.avoided(group);
    if (members_isolated)
      this->suspect_group(group, "silent although all members answer",
                          {now, ""});
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
  const absl::Time begun = this->node.now();
  const probe_result result = co_await this->node.prober.probe(server);
  if (result == probe_result::answered) {
    const auto found = this->suspicions.find(group);
    const bool was_reason =
        found != this->suspicions.end() && found->second.member == server;
    if (was_reason) this->suspicions.erase(found);
    co_return;
  }
  if (result == probe_result::unknown) {
    // A server that is no longer listed may serve for a while, but it leaves.
    if (this->node.directory.find(server) == nullptr) {
      this->suspect_group(group, absl::StrCat(server, " is no longer listed"),
                          {begun, server});
    }
    co_return;
  }
  this->node.suspect_server(server);
  if (this->on_suspect) this->on_suspect(server);
  if (result == probe_result::silent) {
    this->suspect_group(group, absl::StrCat(server, " is silent"),
                        {begun, server});
    co_return;
  }
  if (notify_peers && this->on_loss) this->on_loss({{server}, group});
  if (result == probe_result::gone) {
    this->abandon_group(group, server);
  } else {
    this->suspect_group(group, absl::StrCat(server, " does not respond"),
                        {begun, server, true});
  }
}

std::vector<exchange*> stall_detector::exchanges_with(
    const std::string& group) const {
  std::vector<exchange*> out;
  for (exchange* ex : this->node.exchanges) {
    if (ex->endpoint.group == group && ex->aborted == abort_cause::none)
      out.push_back(ex);
  }
  return out;
}

void stall_detector::handle_suspicion(const suspicion& report) {
  if (report.group.empty() || this->exchanges_with(report.group).empty())
    return;
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

void stall_detector::suspect_group(const std::string& group,
                                   const std::string& reason,
                                   group_suspicion suspicion) {
  const bool known =
      !this->suspicions.insert_or_assign(group, std::move(suspicion)).second;
  this->node.avoid_endpoint(group);
  if (!known) this->log_group("group_suspected", group, reason);
  this->raise_doubts(this->node.now());
}

void stall_detector::abandon_group(const std::string& group,
                                   const std::string& member) {
  this->log_group("group_given_up", group, absl::StrCat(member, " has ended"));
  for (exchange* ex : this->exchanges_with(group)) {
    ex->unresponsive_member = member;
    ex->abort(abort_cause::server_gone);
  }
  this->node.avoid_endpoint(group);
}

void stall_detector::log_group(const char* event, const std::string& group,
                               const std::string& reason) {
  const size_t streams = this->exchanges_with(group).size();
  this->node.metrics.count_stall();
  this->node.log.state_change(
      event,
      {{"group", group}, {"why", reason}, {"streams", absl::StrCat(streams)}},
      this->node.now());
}

}  // namespace spokesail
