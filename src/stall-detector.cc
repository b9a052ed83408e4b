// The silence of streams, and what it proves.
#include "stall-detector.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <vector>

namespace spokesail {
namespace {

namespace net = boost::asio;

/// Silence beyond the longest that the engine's figures explain, before the
/// members are asked: the ways between hosts, and late timers.
constexpr absl::Duration ask_slack = absl::Milliseconds(70);

/// A member that has no answer after this long is lost: it answers in a few
/// milliseconds.
constexpr absl::Duration ask_limit = absl::Milliseconds(90);

/// The members of one group are asked at most this often by one node; each
/// question is priced.
constexpr absl::Duration ask_again = absl::Milliseconds(600);

/// A group whose members all answer and that is silent for this long all the
/// same has members that do not reach each other.
constexpr absl::Duration hopeless_silence = absl::Milliseconds(1200);

/// A loop that was itself held up for this long cannot tell.
constexpr absl::Duration own_pause = absl::Milliseconds(150);

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
    // One pass reads at most this many tokens between its steps.
    const double most_read = static_cast<double>(engine.decode_steps_per_pass) *
                             engine.prefill_chunk;
    const double read = std::min(load.pending_prefill_tokens, most_read) /
                        engine.prefill_tokens_per_ms;
    return absl::Milliseconds(model->pace * option.slowness * read +
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
    group_activity& sight = at->second;
    if (first) {
      sight.endpoint = &ex->endpoint;
      sight.expected_silence = this->predict_silence(ex->endpoint);
    }
    sight.last_event = std::max(sight.last_event, ex->last_event);
    if (ex->waiting_for_caller) continue;
    const bool overdue = !ex->events_started && now > ex->first_event_deadline;
    if (overdue) sight.first_sent = std::min(sight.first_sent, ex->sent_at);
    if (ex->events_started || overdue) sight.expects_event = true;
  }
  return groups;
}

void stall_detector::end_overdue(absl::Time now) {
  const std::vector<exchange*> all(this->node.exchanges.begin(),
                                   this->node.exchanges.end());
  for (exchange* ex : all) {
    if (ex->aborted == abort_cause::none && now >= ex->limit) {
      ex->abort(abort_cause::time_up);
    }
  }
}

void stall_detector::check(absl::Time now) {
  const bool held_up = now - this->last_check > own_pause;
  this->last_check = now;
  this->end_overdue(now);
  if (held_up || !this->node.routes) return;
  for (const auto& [group, sight] : this->observe_groups(now)) {
    if (sight.expects_event) this->check_group(group, sight, now);
  }
}

void stall_detector::check_group(const std::string& group,
                                 const group_activity& sight, absl::Time now) {
  const absl::Duration silence = sight.silence(now);
  if (silence < sight.expected_silence + ask_slack) return;
  absl::Time& last_asked =
      this->last_probe.try_emplace(group, absl::InfinitePast()).first->second;
  if (now - last_asked < ask_again) {
    // Members that do not answer are named by their questions.
    const bool answered = now - last_asked > ask_limit + node_timing::tick;
    const bool hopeless = answered && silence > hopeless_silence;
    if (hopeless)
      this->abandon_group(group, "silent although all members answer");
    return;
  }
  last_asked = now;
  const endpoint_target endpoint = *sight.endpoint;
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
    this->abandon_group(group, "a member is gone", server);
    co_return;
  }
  const std::string address = entry->address;
  const http_request request = this->node.adapter.write_report_request(server);
  const fetch_result result =
      co_await this->node.fetcher.fetch(address, request, ask_limit);
  if (result.status == fetch_status::ok &&
      this->node.adapter.read_report(result.response)) {
    co_return;
  }
  this->node.suspect_server(server);
  if (this->on_suspect) this->on_suspect(server);
  if (notify_peers && this->on_loss) this->on_loss({{server}, group});
  this->abandon_group(group, absl::StrCat(server, " does not answer"), server);
}

bool stall_detector::uses(const std::string& group) const {
  return std::any_of(this->node.exchanges.begin(), this->node.exchanges.end(),
                     [&](const exchange* ex) {
                       return ex->endpoint.group == group &&
                              ex->aborted == abort_cause::none;
                     });
}

void stall_detector::handle_suspicion(const suspicion& said) {
  if (said.group.empty() || !this->uses(said.group)) return;
  const absl::Time now = this->node.now();
  absl::Time& last_asked =
      this->last_probe.try_emplace(said.group, absl::InfinitePast())
          .first->second;
  if (now - last_asked < ask_again) return;
  last_asked = now;
  for (const auto& id : said.servers) {
    net::co_spawn(this->node.loop, this->probe_member(said.group, id, false),
                  net::detached);
  }
}

void stall_detector::abandon_group(const std::string& group,
                                   const std::string& why,
                                   const std::string& lost) {
  const absl::Time now = this->node.now();
  int streams = 0;
  const std::vector<exchange*> all(this->node.exchanges.begin(),
                                   this->node.exchanges.end());
  for (exchange* ex : all) {
    if (ex->endpoint.group != group || ex->aborted != abort_cause::none)
      continue;
    ++streams;
    ex->unresponsive_member = lost;
    ex->abort(abort_cause::stalled);
  }
  if (streams == 0 && this->node.avoided(group)) return;
  this->node.avoid_endpoint(group);
  this->node.metrics.count_stall();
  this->node.log.state_change(
      "group_given_up",
      {{"group", group}, {"why", why}, {"streams", absl::StrCat(streams)}},
      now);
}

}  // namespace spokesail
