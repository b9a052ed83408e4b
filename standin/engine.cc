// A minimal backend server for tests and the demo: the host of a model engine,
// or a plain service.
//
// An engine executes orders, reports its state and streams generated tokens.
// It simulates continuous batching: a limited number of slots, a priority queue
// and a prefix cache that shortens the time to the first token. The requests
// that it has run are listed at GET /standin/runs. POST /standin/faults injects
// faults: pause (seconds without any response), slow (factor on the token
// time), cross (the next N responses carry another attempt's id), cut (the next
// N responses end after three tokens), refuse (the next N requests).
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <httplib.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

ABSL_FLAG(int, port, 0, "port to listen on (address 127.0.0.1)");
ABSL_FLAG(std::string, name, "", "host name written to the log");
ABSL_FLAG(std::string, log, "", "log file, one line per order and request");
ABSL_FLAG(std::string, service, "",
          "name of the plain service to run; empty to run an engine");
ABSL_FLAG(bool, checks_fencing, true,
          "reject orders with an outdated fencing number");
ABSL_FLAG(int, load_ms, 300, "time to load a model's weights, in ms");
ABSL_FLAG(int, token_ms, 5, "time between two tokens, in ms");
ABSL_FLAG(int, first_token_ms, 20,
          "time to the first token if the prefix is not cached, in ms");
ABSL_FLAG(int, slots, 8, "requests that can run at the same time");
ABSL_FLAG(int, report_lag_ms, 100,
          "minimum interval between updates of the reported load, in ms");

namespace {

using json = nlohmann::json;

/// The group and model that the host is assigned to.
struct assignment {
  std::string group;
  int64_t incarnation = 0;
  std::string model;
  std::string version;
  json adapters = json::array();
  std::vector<std::string> members;
  int rank = 0;
  absl::Time ready_at;
};

class engine {
 public:
  void run(int port) {
    this->boot = absl::StrCat(absl::ToUnixNanos(absl::Now()));
    {
      absl::MutexLock lock(&this->mutex);
      this->log_line({{"e", "boot"}});
    }
    this->server.new_task_queue = [] { return new httplib::ThreadPool(160); };
    this->server.set_tcp_nodelay(true);
    this->server.Get("/healthz", [this](auto&, auto& res) {
      this->wait_while_paused();
      res.set_content("ok", "text/plain");
    });
    this->server.Get("/engine/report", [this](auto&, auto& res) {
      this->wait_while_paused();
      res.set_content(this->report().dump(), "application/json");
    });
    this->server.Post("/engine/orders", [this](auto& req, auto& res) {
      this->wait_while_paused();
      this->handle_order(json::parse(req.body), res);
    });
    this->server.Post("/v1/chat/completions", [this](auto& req, auto& res) {
      this->wait_while_paused();
      this->handle_completion(req, res);
    });
    this->server.Post("/standin/faults", [this](auto& req, auto& res) {
      absl::MutexLock lock(&this->mutex);
      this->faults.update(json::parse(req.body));
      if (this->faults.value("pause", 0.0) > 0) {
        this->paused_until =
            absl::Now() + absl::Seconds(this->faults["pause"].get<double>());
        this->faults["pause"] = 0;
      }
      res.set_content("{}", "application/json");
    });
    this->server.Get("/standin/runs", [this](auto&, auto& res) {
      absl::MutexLock lock(&this->mutex);
      res.set_content(this->runs.dump(), "application/json");
    });
    const auto plain_handler = [this](const httplib::Request& req,
                                      httplib::Response& res) {
      this->handle_plain_call(req, res);
    };
    this->server.Get("/.*", plain_handler);
    this->server.Post("/.*", plain_handler);
    std::thread watcher([this] { this->watch_members(); });
    if (!this->server.listen("127.0.0.1", port)) std::exit(1);
    watcher.join();
  }

 private:
  void wait_while_paused() {
    for (;;) {
      absl::Time until;
      {
        absl::MutexLock lock(&this->mutex);
        until = this->paused_until;
      }
      if (absl::Now() >= until) return;
      absl::SleepFor(absl::Milliseconds(10));
    }
  }

  /// Whether a fault of this kind is pending; uses one of them up.
  bool consume_fault(const std::string& key) {
    absl::MutexLock lock(&this->mutex);
    const int left = this->faults.value(key, 0);
    if (left <= 0) return false;
    this->faults[key] = left - 1;
    return true;
  }

  double slow_factor() {
    absl::MutexLock lock(&this->mutex);
    return std::max(1.0, this->faults.value("slow", 1.0));
  }

  json report() {
    absl::MutexLock lock(&this->mutex);
    const absl::Time now = absl::Now();
    if (now >= this->next_load_update) {
      this->reported_running = this->running;
      this->reported_queued = this->queued;
      this->next_load_update =
          now + absl::Milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
    }
    const bool loading = now < this->current.ready_at;
    std::string phase = "idle";
    if (!this->current.group.empty()) phase = "ready";
    if (loading) phase = "loading";
    return {{"group", this->current.group},
            {"incarnation", this->current.incarnation},
            {"phase", phase},
            {"model", this->current.model},
            {"version", this->current.version},
            {"adapters", this->current.adapters},
            {"fence", this->fence},
            {"boot", this->boot},
            {"running", this->reported_running},
            {"queued", this->reported_queued}};
  }

  void handle_order(const json& order, httplib::Response& res) {
    absl::MutexLock lock(&this->mutex);
    const int64_t order_fence = order.value("fence", int64_t{0});
    if (absl::GetFlag(FLAGS_checks_fencing) && order_fence < this->fence) {
      res.status = 409;
      return;
    }
    this->fence = std::max(this->fence, order_fence);
    res.status = 202;
    if (order.value("kind", "") == "release") {
      // Running requests finish first; the sender sends the order again.
      if (this->running > 0) {
        res.status = 409;
        return;
      }
      this->current.group.clear();
      this->current.incarnation = 0;
      this->log_assignment();
      return;
    }
    const bool preload = order.value("kind", "") == "preload";
    if (preload && !this->current.group.empty()) {
      res.status = 409;
      return;
    }
    const json adapters = order.value("adapters", json::array());
    const bool warm = this->current.model == order.value("model", "") &&
                      this->current.version == order.value("version", "") &&
                      this->current.adapters == adapters;
    this->current.group = order.value("group", "");
    this->current.incarnation = order.value("incarnation", int64_t{0});
    this->current.model = order.value("model", "");
    this->current.version = order.value("version", "");
    this->current.adapters = adapters;
    this->current.members = order.value("members", std::vector<std::string>{});
    this->current.rank = order.value("rank", 0);
    if (!warm) {
      this->current.ready_at =
          absl::Now() + absl::Milliseconds(absl::GetFlag(FLAGS_load_ms));
    }
    this->members_lost = false;
    this->log_assignment();
  }

  /// A group fails with any of its members: the head polls the others.
  void watch_members() {
    for (;;) {
      absl::SleepFor(absl::Milliseconds(100));
      assignment snapshot;
      {
        absl::MutexLock lock(&this->mutex);
        snapshot = this->current;
      }
      if (snapshot.rank != 0 || snapshot.group.empty()) continue;
      bool lost = false;
      for (size_t i = 1; i < snapshot.members.size(); i++) {
        httplib::Client client("http://" + snapshot.members[i]);
        client.set_connection_timeout(0, 300000);
        client.set_read_timeout(0, 300000);
        const auto answer = client.Get("/engine/report");
        const json j =
            answer ? json::parse(answer->body, nullptr, false) : json(nullptr);
        lost |= !j.is_object() || j["group"] != snapshot.group;
      }
      absl::MutexLock lock(&this->mutex);
      if (this->current.incarnation == snapshot.incarnation)
        this->members_lost = lost;
    }
  }

  bool accepts(const httplib::Request& req) {
    absl::MutexLock lock(&this->mutex);
    const bool matches =
        req.get_header_value("X-Group") == this->current.group &&
        req.get_header_value("X-Incarnation") ==
            std::to_string(this->current.incarnation);
    return matches && !this->current.group.empty() && !this->members_lost &&
           absl::Now() >= this->current.ready_at;
  }

  void acquire_slot(const httplib::Request& req) {
    const int priority =
        std::atoi(req.get_header_value("X-Spokesail-Priority").c_str());
    absl::MutexLock lock(&this->mutex);
    const auto ticket = std::pair(-priority, ++this->last_ticket);
    this->waiting.insert(ticket);
    this->queued++;
    const auto is_next = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
      return this->running < absl::GetFlag(FLAGS_slots) &&
             *this->waiting.begin() == ticket;
    };
    this->mutex.Await(absl::Condition(&is_next));
    this->waiting.erase(ticket);
    this->queued--;
    this->running++;
  }

  void release_slot() {
    absl::MutexLock lock(&this->mutex);
    this->running--;
  }

  void log_line(json line) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    if (!this->log.is_open()) return;
    line["t"] = absl::ToUnixMicros(absl::Now());
    line["host"] = absl::GetFlag(FLAGS_name);
    this->log << line.dump() << std::endl;
  }

  void log_assignment() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    this->log_line({{"e", "assign"},
                    {"group", this->current.group},
                    {"incarnation", this->current.incarnation},
                    {"ready_at", absl::ToUnixMicros(this->current.ready_at)}});
  }

  void record_run(const httplib::Request& req) {
    absl::MutexLock lock(&this->mutex);
    this->log_line({{"e", "run"},
                    {"attempt", req.get_header_value("X-Attempt-Id")},
                    {"request", req.get_header_value("X-Test-Id")},
                    {"group", this->current.group},
                    {"incarnation", this->current.incarnation}});
    this->runs.push_back({{"attempt", req.get_header_value("X-Attempt-Id")},
                          {"request", req.get_header_value("X-Test-Id")},
                          {"group", this->current.group},
                          {"path", req.path}});
  }

  void handle_completion(const httplib::Request& req, httplib::Response& res) {
    if (!this->accepts(req) || this->consume_fault("refuse")) {
      res.status = 409;
      res.set_header("X-Not-Started", "1");
      return;
    }
    const json body = json::parse(req.body);
    this->record_run(req);
    this->acquire_slot(req);
    const std::string attempt = this->consume_fault("cross")
                                    ? "another"
                                    : req.get_header_value("X-Attempt-Id");
    res.set_header("X-Attempt-Id", attempt);
    const int64_t first_index =
        body.contains("resume") ? body["resume"].value("tokens", 0) : 0;
    const int64_t max_tokens = body.value("max_tokens", 16);
    const bool truncate = this->consume_fault("cut");
    const std::string prompt = body["messages"].back().value("content", "");
    absl::SleepFor(this->first_token_delay(prompt));
    auto next_index = std::make_shared<int64_t>(first_index);
    res.set_chunked_content_provider(
        "text/event-stream",
        [this, next_index, max_tokens, truncate, first_index, prompt](
            size_t, httplib::DataSink& sink) {
          this->wait_while_paused();
          if (truncate && *next_index >= first_index + 3) return false;
          {
            absl::MutexLock lock(&this->mutex);
            if (this->members_lost) return false;
          }
          return this->send_token(*next_index, max_tokens, prompt, sink);
        },
        [this](bool) { this->release_slot(); });
  }

  absl::Duration first_token_delay(const std::string& prompt) {
    absl::MutexLock lock(&this->mutex);
    constexpr size_t max_prefixes = 64;
    const std::string prefix = prompt.substr(0, 64);
    const bool cached = this->prefixes.count(prefix) != 0;
    if (this->prefixes.size() >= max_prefixes) this->prefixes.clear();
    this->prefixes.insert(prefix);
    const auto cold_delay =
        absl::Milliseconds(absl::GetFlag(FLAGS_first_token_ms));
    return cached ? cold_delay / 4 : cold_delay;
  }

  bool send_token(int64_t& next_index, int64_t max_tokens,
                  const std::string& prompt, httplib::DataSink& sink) {
    json choice = {{"index", 0}};
    std::string text;
    if (next_index >= max_tokens) {
      choice["delta"] = json::object();
      choice["finish_reason"] = "stop";
      choice["token_index"] = next_index;
      text = "data: " + json{{"choices", {choice}}}.dump() +
             "\n\ndata: [DONE]\n\n";
      sink.write(text.data(), text.size());
      sink.done();
      return true;
    }
    absl::SleepFor(this->slow_factor() *
                   absl::Milliseconds(absl::GetFlag(FLAGS_token_ms)));
    // Tokens depend only on the prompt and the index, as with a fixed seed.
    const std::string token = next_index == 0 ? "re:" + prompt.substr(0, 24)
                                              : absl::StrCat(" t", next_index);
    choice["delta"] = {{"content", token}};
    choice["token_index"] = next_index++;
    text = "data: " +
           json{{"object", "chat.completion.chunk"}, {"choices", {choice}}}
               .dump() +
           "\n\n";
    return sink.write(text.data(), text.size());
  }

  void handle_plain_call(const httplib::Request& req, httplib::Response& res) {
    this->wait_while_paused();
    if (absl::GetFlag(FLAGS_service).empty()) {
      res.status = 404;
      return;
    }
    this->record_run(req);
    {
      absl::MutexLock lock(&this->mutex);
      this->running++;
    }
    absl::SleepFor(absl::Milliseconds(absl::GetFlag(FLAGS_token_ms)));
    this->release_slot();
    res.set_header("X-Attempt-Id", this->consume_fault("cross")
                                       ? "another"
                                       : req.get_header_value("X-Attempt-Id"));
    const json out = {{"service", absl::GetFlag(FLAGS_service)},
                      {"method", req.method},
                      {"path", req.path},
                      {"echo", req.body}};
    res.set_content(out.dump(), "application/json");
  }

  std::ofstream log{absl::GetFlag(FLAGS_log), std::ios::app};
  httplib::Server server;
  std::string boot;
  absl::Mutex mutex;
  json faults = json::object();
  json runs = json::array();
  assignment current;
  int64_t fence = 0;
  int running = 0;
  int queued = 0;
  int reported_running = 0;
  int reported_queued = 0;
  absl::Time next_load_update = absl::InfinitePast();
  absl::Time paused_until = absl::InfinitePast();
  int64_t last_ticket = 0;
  std::set<std::pair<int, int64_t>> waiting;
  std::set<std::string> prefixes;
  bool members_lost = false;
};

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  engine().run(absl::GetFlag(FLAGS_port));
  return 0;
}
