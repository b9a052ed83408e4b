#include "request-run.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

#include "caller-session.h"
#include "detail/socket.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using detail::use_tuple;

/// What going to another data hall counts as: its delay, and the error of
/// what is known of its load, which grows with the time between news of it.
constexpr double other_hall_ms = 3;
constexpr double stale_share = 0.06;

/// A request that no place can take is refused within this part of its goal,
/// so that its caller can still come back in time.
constexpr double wait_share = 0.2;

/// How long a request that lost its server waits for another. Callers leave a
/// stream that is silent for two seconds.
constexpr absl::Duration repeat_wait = absl::Milliseconds(1500);

/// How often a waiting request looks for a place again.
constexpr absl::Duration wait_step = absl::Milliseconds(15);

/// A ready answer may still come this long after the deadline.
constexpr absl::Duration late_answer = absl::Milliseconds(150);

/// A plain call that may be repeated is given up at a server after this many
/// times its goal, while another attempt is left.
constexpr double first_attempt_goals = 2.2;

/// When a refused caller should come back: groups reopen or free a slot
/// within about this time.
constexpr absl::Duration full_retry = absl::Milliseconds(400);
/// Another node can take the request at once.
constexpr absl::Duration stopping_retry = absl::Milliseconds(20);
constexpr absl::Duration no_config_retry = absl::Milliseconds(500);

/// A first event is overdue after this many times its prediction and this
/// long on top: a group that stands still is noticed by it.
constexpr double first_event_factor = 2;
constexpr absl::Duration first_event_slack = absl::Milliseconds(300);

/// Largest plain answer that is held in memory, in bytes.
constexpr size_t largest_whole_answer = 16 << 20;

/// Sends of one request, rejected ones included.
constexpr int most_sends = 4;

/// Ranks that servers know, 0 first.
constexpr int lowest_rank = 9;
constexpr int route_ranks = 3;

bool hop_by_hop(const std::string& name) {
  static const std::set<std::string> names = {
      "connection", "keep-alive",        "proxy-connection", "te",
      "trailer",    "transfer-encoding", "upgrade",          "expect"};
  return names.count(name) != 0;
}

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return out;
}

/// Copies the headers that are meant for the other end. Those that the
/// `Connection` header names are for this hop only.
void copy_end_to_end(const http_fields& from, http_fields& to) {
  const auto connection =
      lower(std::string_view(from[http::field::connection].data(),
                             from[http::field::connection].size()));
  for (const auto& field : from) {
    const std::string name =
        lower({field.name_string().data(), field.name_string().size()});
    if (hop_by_hop(name) || name == "content-length") continue;
    if (!connection.empty() && absl::StrContains(connection, name)) continue;
    to.insert(field.name_string(), field.value());
  }
}

bool is_event_stream(const http_fields& head) {
  const auto type = head[http::field::content_type];
  return absl::StartsWithIgnoreCase(absl::string_view(type.data(), type.size()),
                                    "text/event-stream");
}

std::string millis(absl::Duration d) {
  return absl::StrCat(absl::ToInt64Milliseconds(d));
}

}  // namespace

request_run::request_run(node_context& state, caller_session& caller,
                         http_request content, absl::Time when, bool keep)
    : node(state),
      session(caller),
      request(std::move(content)),
      arrived(when),
      keep_alive(keep),
      table(state.routes),
      chunked(this->request.version() >= 11) {}

absl::Duration request_run::time_left() const {
  return this->deadline - this->node.now();
}

void request_run::choose_service() {
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

std::optional<request_run::refusal> request_run::reason_to_refuse() {
  this->node.requests_seen = true;
  std::string fault;
  const auto read = this->node.adapter.read_caller(this->request, fault);
  if (!read) {
    this->last_error = fault;
    return refusal{400, "request head not understood", {}};
  }
  this->info = *read;
  if (this->node.closing()) {
    return refusal{503, "node is stopping", stopping_retry};
  }
  if (!this->table) {
    return refusal{503, "no configuration yet", no_config_retry};
  }
  const auto host = this->request[http::field::host];
  const auto target = this->request.target();
  this->route = this->table->find_route({host.data(), host.size()},
                                        {target.data(), target.size()});
  if (this->route == nullptr) return refusal{404, "no such route", {}};
  const bool keyed =
      !this->route->public_access && !this->table->config().workspaces.empty();
  if (keyed) {
    this->workspace = this->table->find_workspace(this->info.key);
    if (!this->node.config_fresh()) {
      return refusal{503, "keys cannot be checked", no_config_retry};
    }
    if (this->workspace == nullptr) return refusal{401, "unknown key", {}};
  }
  const absl::Duration patience =
      this->info.patience.value_or(this->route->timeout);
  this->deadline = this->arrived + std::min(patience, this->route->timeout);
  this->choose_service();
  if (this->service == nullptr) {
    return refusal{503, "service is not configured", no_config_retry};
  }
  this->last_event = this->info.last_event;
  this->node.repeats.count_request(this->service->name, this->node.now());
  if (!this->service->engine) return std::nullopt;
  this->model = find_model(*this->service->engine, this->info.model);
  if (this->model == nullptr) {
    return refusal{503, "model is not configured", no_config_retry};
  }
  return std::nullopt;
}

std::optional<request_place> request_run::pick() {
  return this->service->engine ? this->pick_group() : this->pick_server();
}

std::optional<request_place> request_run::pick_group() {
  const engine_profile& engine = *this->service->engine;
  const absl::Time now = this->node.now();
  std::vector<const group_view*> groups;
  std::vector<group_option> options;
  for (const auto& group : this->node.groups(this->service->name)) {
    if (!group.serving() || group.model != this->model->name) continue;
    if (this->tried.count(group.name) != 0) continue;
    if (this->node.avoided(group.name)) continue;
    const server_entry* head = this->node.directory.find(group.head());
    if (head == nullptr || head->draining) continue;
    const bool silent = std::any_of(
        group.members.begin(), group.members.end(),
        [&](const auto& id) { return this->node.silent.count(id) != 0; });
    if (silent) continue;
    const place_load load = this->node.loads.total(group.name, now);
    groups.push_back(&group);
    const bool near = head->hall == this->node.settings.hall;
    options.push_back({group.name, load.running, load.unread_tokens, 1,
                       near ? 0 : this->far_cost_ms()});
  }
  request_size size;
  size.prompt = this->info.prompt_tokens > 0 ? this->info.prompt_tokens
                                             : engine.usual_prompt;
  size.answer =
      this->info.answer_hint > 0 ? this->info.answer_hint : engine.usual_answer;
  const auto chosen =
      choose_group(engine, *this->model, options, size, this->node.random);
  if (!chosen) return std::nullopt;
  const group_view& group = *groups[*chosen];
  const server_entry* head = this->node.directory.find(group.head());
  return request_place{head->id, head->address, group.name, group.epoch,
                       group.members};
}

double request_run::far_cost_ms() const {
  return other_hall_ms +
         stale_share * absl::ToDoubleMilliseconds(this->node.far_news_period);
}

std::optional<request_place> request_run::pick_server() {
  const absl::Time now = this->node.now();
  const server_entry* best = nullptr;
  double least = 0;
  for (const auto& [id, server] : this->node.directory.servers()) {
    const server_entry& entry = server.entry;
    if (entry.service != this->service->name || entry.draining) continue;
    if (this->tried.count(id) != 0 || this->node.avoided(id)) continue;
    // The draw keeps nodes that see the same from all choosing the same.
    const double cost = this->node.loads.total(id, now).running +
                        (entry.hall == this->node.settings.hall ? 0 : 0.5) +
                        0.4 * this->node.random.unit();
    if (best != nullptr && cost >= least) continue;
    best = &entry;
    least = cost;
  }
  if (best == nullptr) return std::nullopt;
  return request_place{best->id, best->address, "", 0, {best->id}};
}

absl::Time request_run::wait_until() const {
  if (this->sends == 0) {
    return std::min(this->arrived + wait_share * this->route->goal,
                    this->deadline);
  }
  // A server had it already, so that it is late at worst; a group that lost a
  // member is back within about this time.
  return this->node.now() + std::min(repeat_wait, this->time_left() / 2);
}

net::awaitable<std::optional<request_place>> request_run::find_place() {
  const absl::Time until = this->wait_until();
  for (;;) {
    auto place = this->pick();
    if (place || this->session.gone || this->node.now() >= until) {
      co_return place;
    }
    net::steady_timer timer(this->node.loop);
    timer.expires_after(absl::ToChronoNanoseconds(wait_step));
    co_await timer.async_wait(use_tuple);
  }
}

http_request request_run::attempt_request(const request_place& place) const {
  http_request out;
  out.version(11);
  out.method_string(this->request.method_string());
  out.target(this->request.target());
  copy_end_to_end(this->request, out);
  const bool has_length =
      this->request.find(http::field::content_length) != this->request.end() ||
      this->request.find(http::field::transfer_encoding) != this->request.end();
  out.body() = this->request.body();
  if (has_length) out.content_length(out.body().size());
  attempt_head head;
  head.server = place.server;
  if (this->workspace != nullptr) head.workspace = this->workspace->name;
  head.time_left = std::max(absl::Milliseconds(1), this->time_left());
  const int workspace_rank =
      this->workspace == nullptr ? 1 : this->workspace->priority;
  head.priority = std::clamp(
      workspace_rank * route_ranks + this->route->priority, 0, lowest_rank);
  head.last_event = this->last_event;
  this->node.adapter.write_attempt(head, out);
  return out;
}

void request_run::prepare_exchange(exchange& ex,
                                   const request_place& place) const {
  ex.limit = this->deadline + late_answer;
  const bool more = this->runs + 1 < this->route->attempts;
  if (!this->service->engine) {
    if (!this->route->repeatable || !more) return;
    ex.limit = std::min(
        ex.limit, this->node.now() + first_attempt_goals * this->route->goal);
    return;
  }
  const place_load load = this->node.loads.total(place.group, this->node.now());
  group_option option;
  option.running = load.running;
  option.unread_tokens = load.unread_tokens;
  const double predicted =
      predict_first_event_ms(*this->service->engine, *this->model, option, 0);
  ex.first_event_by = this->node.now() + first_event_slack +
                      first_event_factor * absl::Milliseconds(predicted);
}

net::awaitable<run_end> request_run::attempt(request_place place) {
  exchange ex(this->node, place, this->info.prompt_tokens);
  this->session.current = &ex;
  struct detach {
    caller_session& session;
    ~detach() { this->session.current = nullptr; }
  } detach_at_end{this->session};
  this->prepare_exchange(ex, place);
  this->sends++;
  // A call that may run once only goes over a new connection: a kept one may
  // break such that nobody can tell whether the call arrived.
  std::string error = co_await ex.connect(this->route->repeatable);
  if (!error.empty()) {
    this->log_attempt(ex, "not_connected", error);
    this->node.avoid_place(place.load_key());
    this->node.suspect_server(place.server);
    co_return run_end::not_run;
  }
  http_request sent = this->attempt_request(place);
  error = co_await ex.send(sent);
  if (error.empty()) {
    const bool no_body = this->request.method() == http::verb::head;
    error = co_await ex.read_head(no_body);
  }
  if (!error.empty()) {
    this->runs++;
    this->log_attempt(ex, "broken", error);
    // A kept connection may just have been closed by its server.
    if (!ex.reused && ex.aborted == abort_cause::none) {
      this->node.avoid_place(place.load_key());
    }
    co_return run_end::broken;
  }
  const answer_head head =
      this->node.adapter.read_answer(ex.head().result_int(), ex.head());
  const bool known_id = head.request_id == this->info.id;
  if (head.not_run && (known_id || head.request_id.empty())) {
    this->log_attempt(
        ex, "not_run",
        absl::StrCat("status ", ex.head().result_int(), " at ", head.at_fault));
    this->node.avoid_place(place.load_key());
    if (!head.at_fault.empty()) this->node.suspect_server(head.at_fault);
    co_return run_end::not_run;
  }
  this->runs++;
  if (!known_id) {
    this->log_attempt(ex, "broken", "answer of another request");
    co_return run_end::broken;
  }
  if (ex.head().find(http::field::content_encoding) != ex.head().end()) {
    this->log_attempt(ex, "broken", "answer is encoded");
    co_return run_end::broken;
  }
  co_return co_await this->pass_answer(ex, head);
}

net::awaitable<run_end> request_run::pass_answer(exchange& ex,
                                                 const answer_head& head) {
  const bool stream = this->route->streaming && ex.head().result_int() == 200 &&
                      is_event_stream(ex.head());
  if (stream) co_return co_await this->pass_stream(ex, head);
  co_return co_await this->pass_whole(ex, head);
}

net::awaitable<run_end> request_run::pass_whole(exchange& ex,
                                                const answer_head& head) {
  std::string body;
  while (!ex.body_done()) {
    const std::string error = co_await ex.read_some(body);
    if (!error.empty() || body.size() > largest_whole_answer) {
      this->log_attempt(ex, "broken", error.empty() ? "too large" : error);
      co_return run_end::broken;
    }
  }
  const unsigned status = ex.head().result_int();
  if (this->head_out) {
    // Another server was to go on with a stream, and answered otherwise.
    this->log_attempt(ex, "broken", absl::StrCat("status ", status));
    co_return run_end::broken;
  }
  constexpr unsigned first_server_error = 500;
  if (status >= first_server_error && this->service->engine &&
      this->may_repeat(run_end::broken)) {
    this->log_attempt(ex, "broken", absl::StrCat("status ", status));
    ex.keep(head);
    co_return run_end::broken;
  }
  http_response out;
  out.result(status);
  out.version(11);
  copy_end_to_end(ex.head(), out);
  const bool bodiless = this->request.method() == http::verb::head;
  out.body() = std::move(body);
  out.keep_alive(this->keep_alive && !this->node.stopping());
  this->log_attempt(ex, "whole", "");
  ex.keep(head);
  if (bodiless) out.body().clear();
  co_await this->session.write(out);
  this->log_end("answered", "", status);
  co_return run_end::done;
}

net::awaitable<bool> request_run::write_stream(const std::string& bytes,
                                               bool last) {
  std::string out;
  if (!this->head_out) out = std::move(this->stream_head);
  this->head_out = true;
  boost::system::error_code failed;
  if (!this->chunked) {
    out += bytes;
    auto [error, size] = co_await net::async_write(this->session.socket,
                                                   net::buffer(out), use_tuple);
    failed = error;
  } else if (!bytes.empty() && last) {
    auto [error, size] = co_await net::async_write(
        this->session.socket,
        boost::beast::buffers_cat(net::buffer(out),
                                  http::make_chunk(net::buffer(bytes)),
                                  http::make_chunk_last()),
        use_tuple);
    failed = error;
  } else if (last) {
    auto [error, size] = co_await net::async_write(
        this->session.socket,
        boost::beast::buffers_cat(net::buffer(out), http::make_chunk_last()),
        use_tuple);
    failed = error;
  } else {
    auto [error, size] = co_await net::async_write(
        this->session.socket,
        boost::beast::buffers_cat(net::buffer(out),
                                  http::make_chunk(net::buffer(bytes))),
        use_tuple);
    failed = error;
  }
  if (failed) this->session.gone = true;
  co_return !failed;
}

net::awaitable<bool> request_run::pass_events(exchange& ex,
                                              const event_run& events) {
  ex.note_event();
  const absl::Time now = ex.last_event;
  if (this->first_event_at == absl::InfiniteFuture()) {
    this->first_event_at = now;
    this->node.metrics.observe_first_event(
        absl::ToDoubleSeconds(now - this->arrived));
  } else {
    this->longest_pause =
        std::max(this->longest_pause, now - this->last_event_at);
  }
  this->last_event_at = now;
  if (events.last_id >= 0) this->last_event = events.last_id;
  ex.blocked = true;
  const bool passed = co_await this->write_stream(events.bytes, false);
  ex.blocked = false;
  co_return passed;
}

net::awaitable<run_end> request_run::pass_stream(exchange& ex,
                                                 const answer_head& head) {
  if (!this->head_out) {
    http_response out;
    out.result(ex.head().result_int());
    out.version(11);
    copy_end_to_end(ex.head(), out);
    this->keep_alive =
        this->keep_alive && this->chunked && !this->node.stopping();
    out.keep_alive(this->keep_alive);
    out.chunked(this->chunked);
    std::ostringstream text;
    text << out.base();
    this->stream_head = text.str();
  }
  event_splitter splitter;
  std::string bytes;
  std::string error;
  while (!ex.body_done()) {
    bytes.clear();
    error = co_await ex.read_some(bytes);
    const auto events = splitter.feed(bytes);
    if (!events) error = "event is too large";
    if (events && events->events > 0 && ex.aborted == abort_cause::none) {
      if (!co_await this->pass_events(ex, *events)) {
        ex.abort(abort_cause::caller_gone);
        this->log_attempt(ex, "caller_gone", "");
        co_return run_end::broken;
      }
    }
    if (!error.empty()) break;
  }
  if (!error.empty() || ex.aborted != abort_cause::none) {
    this->log_attempt(ex, "broken", error);
    co_return run_end::broken;
  }
  const std::string rest = splitter.rest();
  co_await this->write_stream(rest, true);
  ex.keep(head);
  this->log_attempt(ex, "whole", "");
  this->log_end("answered", "", ex.head().result_int());
  co_return run_end::done;
}

bool request_run::may_repeat(run_end end) {
  if (this->session.gone || this->sends >= most_sends) return false;
  if (this->time_left() <= absl::ZeroDuration()) return false;
  if (end == run_end::broken &&
      (!this->route->repeatable || this->runs >= this->route->attempts)) {
    return false;
  }
  return this->node.repeats.left(this->service->name, this->node.live_nodes,
                                 this->node.now()) >= 1;
}

request_run::refusal request_run::final_refusal(run_end end) const {
  if (this->runs == 0 && end != run_end::broken) {
    return {503, "no server took it", full_retry};
  }
  if (this->time_left() <= absl::ZeroDuration()) {
    return {504, "time is up", {}};
  }
  return {502, "server broke off", {}};
}

net::awaitable<bool> request_run::answer(refusal r) {
  http_response out(static_cast<http::status>(r.status), 11);
  out.set(http::field::content_type, "text/plain");
  out.keep_alive(this->keep_alive && !this->node.stopping());
  this->node.adapter.write_refusal(this->info.id, r.retry_after, out);
  if (this->request.method() != http::verb::head) out.body() = r.reason;
  co_await this->session.write(out);
  this->log_end(r.status == 502 || r.status == 504 ? "failed" : "refused",
                r.reason, r.status);
  co_return out.keep_alive();
}

net::awaitable<bool> request_run::run() {
  if (const auto refused = this->reason_to_refuse()) {
    co_return co_await this->answer(*refused);
  }
  run_end end = run_end::not_run;
  for (;;) {
    auto place = co_await this->find_place();
    if (this->sends == 0) {
      this->node.metrics.observe_queue(
          absl::ToDoubleSeconds(this->node.now() - this->arrived));
    }
    if (this->session.gone || !place) break;
    if (this->sends > 0) {
      this->node.repeats.take(this->service->name, this->node.live_nodes,
                              this->node.now());
      if (this->head_out) this->node.metrics.count_resume();
    }
    this->tried.insert(place->load_key());
    end = co_await this->attempt(*place);
    if (end == run_end::done) {
      co_return this->keep_alive && !this->node.stopping();
    }
    if (!this->may_repeat(end)) break;
  }
  if (this->session.gone) {
    this->log_end("caller_gone", this->last_error, 0);
    co_return false;
  }
  if (this->head_out) {
    this->log_end("broken_off", this->last_error, 0);
    this->session.break_off();
    co_return false;
  }
  refusal r = this->final_refusal(end);
  if (this->sends == 0) {
    r = {503,
         this->service->engine ? "no group has room" : "no server is there",
         full_retry};
  }
  co_return co_await this->answer(r);
}

void request_run::log_attempt(const exchange& ex, const char* end,
                              const std::string& error) {
  this->node.metrics.count_attempt(end);
  this->last_error = error;
  if (std::string_view(end) == "whole") return;
  const absl::Time now = this->node.now();
  this->node.log.write(
      log_weight::request, "attempt_ended",
      {{"id", this->info.id},
       {"end", end},
       {"why",
        ex.aborted == abort_cause::none ? error : abort_cause_name(ex.aborted)},
       {"server", ex.place.server},
       {"group", ex.place.group},
       {"reused", ex.reused ? "1" : "0"},
       {"last_event", absl::StrCat(this->last_event)},
       {"since_sent_ms", millis(now - std::min(now, ex.sent_at))},
       {"silent_ms", millis(now - std::max(ex.last_event, this->arrived))},
       {"servers_rev", absl::StrCat(this->node.directory.revision())}},
      now);
}

void request_run::log_end(const char* outcome, const std::string& reason,
                          unsigned status) {
  const absl::Time now = this->node.now();
  this->node.metrics.count_request(outcome, reason);
  this->node.metrics.observe_request(
      absl::ToDoubleSeconds(now - this->arrived));
  if (this->first_event_at != absl::InfiniteFuture()) {
    this->node.metrics.observe_pause(
        absl::ToDoubleSeconds(this->longest_pause));
  }
  const absl::Time first = std::min(this->first_event_at, now);
  this->node.log.write(
      log_weight::request, "request_ended",
      {{"id", this->info.id},
       {"outcome", outcome},
       {"status", absl::StrCat(status)},
       {"why", reason},
       {"route", this->route == nullptr ? "" : this->route->name},
       {"model", this->info.model},
       {"sends", absl::StrCat(this->sends)},
       {"runs", absl::StrCat(this->runs)},
       {"repeats_left",
        this->service == nullptr
            ? ""
            : absl::StrCat(static_cast<int>(this->node.repeats.left(
                  this->service->name, this->node.live_nodes, now)))},
       {"last_event", absl::StrCat(this->last_event)},
       {"first_ms", millis(first - this->arrived)},
       {"pause_ms", millis(this->longest_pause)},
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
