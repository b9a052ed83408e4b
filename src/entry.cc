#include "entry.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <nlohmann/json.hpp>

#include "call.h"
#include "clock.h"
#include "detail/http.h"
#include "detail/json-scan.h"
#include "detail/worker-pool.h"
#include "spokesail/hash.h"

namespace spokesail {
namespace {

using json = nlohmann::json;
using call_ptr = std::shared_ptr<call>;

constexpr char completions_path[] = "/v1/chat/completions";
constexpr char json_type[] = "application/json";
constexpr int first_server_error = 500;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;

/// How long a stream waits for more bytes before it checks whether the caller
/// is still connected.
constexpr absl::Duration stream_poll = absl::Milliseconds(250);

/// How long a status query waits for the reducer.
constexpr absl::Duration status_timeout = absl::Seconds(2);

/// Characters at the start of the prompt that are hashed as its prefix.
constexpr size_t prefix_chars = 256;

/// Deepest nesting of a request's body: it is encoded again, which takes stack
/// space for each level.
constexpr size_t max_body_depth = 128;

/// Tokens that add as much to a request's cost as one plain call.
constexpr double tokens_per_cost_unit = 64;

constexpr int64_t max_deadline_ms = 24LL * 3600 * 1000;

/// Whether a header is forwarded. Headers that apply to one connection are not.
bool is_forwarded_header(const std::string& name) {
  static const std::set<std::string> hop_headers = {
      "host",       "connection",      "content-length", "transfer-encoding",
      "keep-alive", "remote_addr",     "remote_port",    "local_addr",
      "local_port", "accept-encoding", "expect"};
  std::string lower = name;
  for (char& c : lower) c = static_cast<char>(std::tolower(c));
  return hop_headers.count(lower) == 0;
}

const char* outcome_name(outcome_kind kind) {
  switch (kind) {
    case outcome_kind::answered:
      return "answered";
    case outcome_kind::refused:
      return "refused";
    case outcome_kind::failed:
      return "failed";
  }
  return "failed";
}

json error_body(const outcome& result) {
  json error = {{"outcome", outcome_name(result.kind)},
                {"code", result.code},
                {"reason", result.reason}};
  if (result.retry_after > absl::ZeroDuration()) {
    error["retry_after_ms"] = absl::ToInt64Milliseconds(result.retry_after);
  }
  return {{"error", error}};
}

void write_error(const outcome& result, httplib::Response& res) {
  res.status = result.http_status;
  res.set_header(detail::outcome_header, outcome_name(result.kind));
  if (result.retry_after > absl::ZeroDuration()) {
    const double seconds = absl::ToDoubleSeconds(result.retry_after);
    const auto whole = static_cast<int64_t>(std::ceil(seconds));
    res.set_header("Retry-After", std::to_string(whole));
  }
  res.set_content(error_body(result).dump(), json_type);
}

/// Writes the response of one attempt into its call as it arrives.
class call_sink final : public exchange_sink {
 public:
  call_sink(call& into, std::string attempt_id, metrics& counters)
      : target(into), attempt(std::move(attempt_id)), m(counters) {}

  bool on_head(const exchange_head& head) override {
    const bool engine_failed =
        this->target.model_call && head.status >= first_server_error;
    if (engine_failed) return false;
    this->stream = head.content_type.rfind("text/event-stream", 0) == 0;
    return this->target.head(this->attempt, head);
  }

  bool on_data(const char* data, size_t size) override {
    if (!this->target.model_call || !this->stream) {
      return this->target.append_plain(this->attempt, data, size);
    }
    return this->parser.feed(data, size, [this](const std::string& event) {
      const bool first = !this->target.begun();
      if (!this->target.append_event(this->attempt, event)) return false;
      this->m.count_tokens(1);
      if (first && this->target.begun()) {
        this->m.observe_first_token(
            absl::ToDoubleSeconds(boot_now() - this->target.arrived));
      }
      return true;
    });
  }

 private:
  call& target;
  std::string attempt;
  metrics& m;
  sse_parser parser;
  bool stream = false;
};

class http_entry final : public entry_server {
 public:
  http_entry(const settings& s, backend_client& b, metrics& counters,
             std::function<void(event_body)> poster)
      : config(s),
        backend(b),
        m(counters),
        post(std::move(poster)),
        attempts(static_cast<size_t>(s.limits.connections)) {
    const auto limit = static_cast<size_t>(s.limits.connections);
    this->server.new_task_queue = [limit] {
      return new detail::connection_threads(limit);
    };
    this->server.set_tcp_nodelay(true);
    this->server.set_payload_max_length(
        static_cast<size_t>(s.limits.body_bytes));
    const auto read = absl::ToChronoMicroseconds(s.limits.read_deadline);
    this->server.set_read_timeout(read);
    this->server.set_write_timeout(read);
    this->add_routes();
  }

  bool listen() override {
    const std::string& address = this->config.self.http_address;
    const size_t colon = address.rfind(':');
    int port = 0;
    if (!absl::SimpleAtoi(address.substr(colon + 1), &port)) return false;
    return this->server.listen(address.substr(0, colon), port);
  }

  void stop() override { this->server.stop(); }
  bool running() const override { return this->server.is_running(); }
  void set_ready(bool value) override { this->ready = value; }

  void start(const attempt_start& start) override {
    const call_ptr c = this->find(start.request);
    if (!c) return;
    c->begin(start.attempt);
    this->attempts.add([this, c, start] { this->run_attempt(c, start); });
  }

  void cancel(const std::string& attempt) override {
    std::shared_ptr<exchange_handle> handle;
    {
      absl::MutexLock lock(&this->mutex);
      const auto it = this->handles.find(attempt);
      if (it != this->handles.end()) handle = it->second;
    }
    if (handle) handle->cancel();
  }

  void finish(uint64_t request, const outcome& result) override {
    this->m.count_outcome(outcome_name(result.kind), result.code);
    call_ptr c;
    {
      absl::MutexLock lock(&this->mutex);
      const auto it = this->calls.find(request);
      if (it == this->calls.end()) return;
      c = it->second;
      this->calls.erase(it);
    }
    c->finish(result);
  }

  void answer_status(uint64_t token, const std::string& text) override {
    absl::MutexLock lock(&this->mutex);
    this->statuses[token] = text;
  }

 private:
  call_ptr find(uint64_t request) {
    absl::MutexLock lock(&this->mutex);
    const auto it = this->calls.find(request);
    return it == this->calls.end() ? nullptr : it->second;
  }

  void add_routes() {
    this->server.Get("/healthz", [](const auto&, auto& res) {
      res.set_content("ok\n", "text/plain");
    });
    this->server.Get("/readyz", [this](const auto&, auto& res) {
      res.status = this->ready ? 200 : status_unavailable;
      res.set_content(this->ready ? "ready\n" : "not ready\n", "text/plain");
    });
    this->server.Get("/metrics", [this](const auto&, auto& res) {
      res.set_content(this->m.text(), "text/plain; version=0.0.4");
    });
    this->server.Get("/admin/status", [this](const auto&, auto& res) {
      this->serve_status(res);
    });
    this->server.Post(completions_path, [this](const auto& req, auto& res) {
      this->serve_completion(req, res);
    });
    const auto service = [this](const httplib::Request& req,
                                httplib::Response& res) {
      this->serve_service(req, res);
    };
    const std::string pattern = R"(/services/([^/]+)(/.*)?)";
    this->server.Get(pattern, service);
    this->server.Post(pattern, service);
    this->server.Put(pattern, service);
    this->server.Delete(pattern, service);
    this->server.Patch(pattern, service);
  }

  void serve_status(httplib::Response& res) {
    const uint64_t token = this->next_id();
    this->post(status_event{token});
    absl::MutexLock lock(&this->mutex);
    const auto replied = [this, token]()
                             ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                               return this->statuses.count(token) != 0;
                             };
    if (!this->mutex.AwaitWithTimeout(absl::Condition(&replied),
                                      status_timeout)) {
      res.status = status_unavailable;
      return;
    }
    res.set_content(this->statuses[token], json_type);
    this->statuses.erase(token);
  }

  uint64_t next_id() {
    absl::MutexLock lock(&this->mutex);
    return ++this->last_id;
  }

  void refuse(httplib::Response& res, int status, const std::string& code,
              const std::string& reason) {
    const outcome result{outcome_kind::refused, status, code, reason,
                         absl::ZeroDuration()};
    this->m.count_outcome(outcome_name(result.kind), code);
    write_error(result, res);
  }

  /// Refuses a request over the connection limit or without a workspace.
  /// Returns false if it did.
  bool check_admissible(const httplib::Request& req, httplib::Response& res) {
    if (detail::connection_threads::beyond_limit()) {
      outcome result{outcome_kind::refused, status_unavailable, "connections",
                     "too many connections", absl::Seconds(1)};
      this->m.count_outcome(outcome_name(result.kind), result.code);
      res.set_header("Connection", "close");
      write_error(result, res);
      return false;
    }
    if (req.get_header_value(detail::workspace_header).empty()) {
      this->refuse(
          res, status_bad_request, "no_workspace",
          absl::StrCat("the header ", detail::workspace_header, " is missing"));
      return false;
    }
    return true;
  }

  /// Reads the headers common to both kinds of request. Returns false if one is
  /// invalid; the request has then been refused.
  bool read_headers(const httplib::Request& req, httplib::Response& res,
                    request_info& info, call& c) {
    info.workspace = req.get_header_value(detail::workspace_header);
    info.key = req.get_header_value(detail::key_header);
    info.forwarded = req.has_header(detail::hop_header);
    int64_t deadline_ms = 0;
    if (req.has_header(detail::deadline_header)) {
      const auto text = req.get_header_value(detail::deadline_header);
      if (!absl::SimpleAtoi(text, &deadline_ms) || deadline_ms <= 0 ||
          deadline_ms > max_deadline_ms) {
        this->refuse(res, status_bad_request, "bad_deadline",
                     "the deadline must be a number of milliseconds above 0");
        return false;
      }
    }
    info.deadline = deadline_ms > 0
                        ? c.arrived + absl::Milliseconds(deadline_ms)
                        : absl::InfiniteFuture();
    if (req.has_header(detail::priority_header)) {
      const auto text = req.get_header_value(detail::priority_header);
      if (!absl::SimpleAtoi(text, &info.priority) || info.priority < 0 ||
          info.priority > 9) {
        this->refuse(res, status_bad_request, "bad_priority",
                     "the priority must be a number from 0 to 9");
        return false;
      }
    }
    const auto repeatable = req.get_header_value(detail::repeatable_header);
    if (repeatable == "no") info.repeatable = false;
    if (repeatable == "yes") info.repeatable = true;
    c.forwarded = info.forwarded;
    for (const auto& [name, value] : req.headers) {
      if (is_forwarded_header(name)) c.headers.emplace(name, value);
    }
    return true;
  }

  void admit(request_info info, const call_ptr& c) {
    info.id = this->next_id();
    {
      absl::MutexLock lock(&this->mutex);
      this->calls[info.id] = c;
    }
    c->id = info.id;
    this->post(request_event{std::move(info)});
  }

  void set_response_headers(const httplib::Request& req, const call& c,
                            httplib::Response& res) {
    res.set_header(detail::request_header,
                   absl::StrCat(this->config.self.name, "-",
                                absl::Hex(this->config.node.boot), "-", c.id));
    if (c.forwarded && req.has_header(detail::attempt_header)) {
      res.set_header(detail::attempt_header,
                     req.get_header_value(detail::attempt_header));
    }
  }

  void serve_completion(const httplib::Request& req, httplib::Response& res) {
    if (!this->check_admissible(req, res)) return;
    json body = detail::nesting_depth(req.body) <= max_body_depth
                    ? json::parse(req.body, nullptr, false)
                    : json();
    const bool valid = body.is_object() && body.contains("model") &&
                       body["model"].is_string() && body.contains("messages") &&
                       body["messages"].is_array();
    if (!valid) {
      this->refuse(res, status_bad_request, "bad_body",
                   "the body must be a JSON object with model and messages");
      return;
    }
    auto c = std::make_shared<call>();
    c->arrived = boot_now();
    c->method = "POST";
    c->path = completions_path;
    c->model_call = true;
    c->streamed = body.contains("stream") && body["stream"].is_boolean() &&
                  body["stream"].get<bool>();
    request_info info;
    info.kind = target_kind::model;
    info.target = body["model"].get<std::string>();
    c->model = info.target;
    if (!this->read_headers(req, res, info, *c)) return;
    const std::string prompt = body["messages"].dump();
    info.prefix = stable_hash(prompt.substr(0, prefix_chars));
    if (body.contains("max_tokens") && body["max_tokens"].is_number()) {
      info.cost = 1 + body["max_tokens"].get<double>() / tokens_per_cost_unit;
    }
    if (info.forwarded && body.contains("resume")) {
      c->resume_from({body["resume"].value("text", ""),
                      body["resume"].value("tokens", int64_t{0})});
    }
    body["stream"] = true;
    c->body = body.dump();
    this->admit(info, c);
    this->set_response_headers(req, *c, res);
    const auto ended = c->wait_for_output();
    if (!ended ||
        (c->streamed && ended->kind == outcome_kind::answered && c->begun())) {
      this->stream_answer(c, res);
      return;
    }
    if (ended->kind != outcome_kind::answered) {
      write_error(*ended, res);
      return;
    }
    res.set_header(detail::outcome_header, "answered");
    if (c->begun()) {
      res.set_content(this->completion_body(*c).dump(), json_type);
      return;
    }
    const auto head = c->answer_head();
    res.status = head.status;
    res.set_content(c->plain_body(), head.content_type);
  }

  json completion_body(const call& c) const {
    const partial_response answer = c.received_so_far();
    json message = {{"role", "assistant"}, {"content", answer.text}};
    json choice = {{"index", 0},
                   {"message", message},
                   {"finish_reason", c.finish_reason()}};
    return {{"object", "chat.completion"},
            {"model", c.model},
            {"choices", json::array({choice})},
            {"usage", {{"completion_tokens", answer.tokens}}}};
  }

  void stream_answer(const call_ptr& c, httplib::Response& res) {
    res.set_header("Cache-Control", "no-store");
    res.set_chunked_content_provider(
        "text/event-stream", [this, c](size_t, httplib::DataSink& sink) {
          return this->stream_next(c, sink);
        });
  }

  bool stream_next(const call_ptr& c, httplib::DataSink& sink) {
    bool ended = false;
    std::string bytes = c->take(stream_poll, ended);
    const bool connected =
        sink.is_writable() &&
        (bytes.empty() || sink.write(bytes.data(), bytes.size()));
    if (!connected) {
      this->post(caller_disconnected_event{c->id});
      return false;
    }
    if (!ended) return true;
    const auto result = c->result();
    // Only a complete answer gets the end mark.
    const std::string last = result->kind == outcome_kind::answered
                                 ? sse_event("[DONE]")
                                 : sse_event(error_body(*result).dump());
    sink.write(last.data(), last.size());
    sink.done();
    return true;
  }

  void serve_service(const httplib::Request& req, httplib::Response& res) {
    if (!this->check_admissible(req, res)) return;
    auto c = std::make_shared<call>();
    c->arrived = boot_now();
    c->method = req.method;
    c->path = req.matches[2].length() > 0 ? req.matches[2].str() : "/";
    const size_t query = req.target.find('?');
    if (query != std::string::npos) c->path += req.target.substr(query);
    c->body = req.body;
    request_info info;
    info.kind = target_kind::service;
    info.target = req.matches[1];
    c->model = info.target;
    info.method = req.method;
    info.repeatable = true;
    if (!this->read_headers(req, res, info, *c)) return;
    info.repeatable_stated = req.has_header(detail::repeatable_header);
    this->admit(info, c);
    this->set_response_headers(req, *c, res);
    const auto ended = c->wait_for_output();
    if (ended->kind != outcome_kind::answered) {
      write_error(*ended, res);
      return;
    }
    const auto head = c->answer_head();
    res.status = head.status;
    res.set_header(detail::outcome_header, "answered");
    const std::string type = head.content_type.empty()
                                 ? "application/octet-stream"
                                 : head.content_type;
    res.set_content(c->plain_body(), type);
  }

  exchange_request make_exchange(const call& c, const attempt_start& start) {
    exchange_request request;
    request.address = start.target.address;
    request.method = c.method;
    request.path = c.path;
    request.headers = c.headers;
    request.body = c.body;
    request.attempt = start.attempt;
    request.reuse_connection = !start.new_connection;
    request.headers.erase(detail::attempt_header);
    if (start.target.remote_hall) {
      request.headers.emplace(detail::hop_header, this->config.self.hall);
      if (!c.model_call) request.path = "/services/" + c.model + c.path;
    } else if (c.model_call) {
      request.headers.emplace(detail::group_header, start.target.name);
      request.headers.emplace(detail::incarnation_header,
                              std::to_string(start.target.incarnation));
    }
    const partial_response received = c.received_so_far();
    if (c.model_call && received.tokens > 0) {
      json body = json::parse(c.body, nullptr, false);
      body["resume"] = {{"tokens", received.tokens}, {"text", received.text}};
      request.body = body.dump();
    }
    return request;
  }

  void run_attempt(const call_ptr& c, const attempt_start& start) {
    call_sink sink(*c, start.attempt, this->m);
    exchange_result result = this->backend.exchange(
        this->make_exchange(*c, start), sink,
        [&](std::shared_ptr<exchange_handle> handle) {
          absl::MutexLock lock(&this->mutex);
          this->handles[start.attempt] = std::move(handle);
        });
    {
      absl::MutexLock lock(&this->mutex);
      this->handles.erase(start.attempt);
    }
    const bool whole = result.end == attempt_end::whole;
    if (whole && !c->complete(start.attempt)) {
      result.end = attempt_end::broken;
    }
    this->m.count_attempt(result.end == attempt_end::whole ? "whole"
                          : result.end == attempt_end::not_started
                              ? "not_started"
                              : "broken");
    this->post(attempt_event{start.request, start.attempt, result.end,
                             result.unreachable});
  }

  const settings& config;
  backend_client& backend;
  metrics& m;
  std::function<void(event_body)> post;
  httplib::Server server;
  std::atomic<bool> ready = false;

  absl::Mutex mutex;
  uint64_t last_id ABSL_GUARDED_BY(mutex) = 0;
  std::map<uint64_t, call_ptr> calls ABSL_GUARDED_BY(mutex);
  std::map<std::string, std::shared_ptr<exchange_handle>> handles
      ABSL_GUARDED_BY(mutex);
  std::map<uint64_t, std::string> statuses ABSL_GUARDED_BY(mutex);
  detail::worker_pool attempts;
};

}  // namespace

std::unique_ptr<entry_server> make_entry_server(
    const settings& s, backend_client& backend, metrics& m,
    std::function<void(event_body)> post) {
  return std::make_unique<http_entry>(s, backend, m, std::move(post));
}

}  // namespace spokesail
