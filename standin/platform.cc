// A minimal version of the platform's object API, for tests and the demo.
//
// It has versioned objects, conditional updates, list and watch, similar to the
// Kubernetes API. POST /standin/faults injects faults by a JSON object with any
// of: down (all calls fail with 503), slow_ms (delay of each call),
// lose_answers (the next N writes take effect but are answered with 503),
// history (number of past changes kept for watches).
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <httplib.h>

#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

ABSL_FLAG(int, port, 0, "port to listen on (address 127.0.0.1)");
ABSL_FLAG(std::string, seed, "",
          "file with the initial objects, one JSON text per line");
ABSL_FLAG(std::string, log, "", "log file, one line per change");
ABSL_FLAG(int, rate, 2000, "calls per second above which calls get 429");

namespace {

using json = nlohmann::json;

struct change {
  int64_t version;
  std::string kind;
  json event;
};

class platform {
 public:
  /// Reads objects ({"kind", "metadata", "spec"}), one JSON text per line.
  void seed(const std::string& file) {
    std::ifstream in(file);
    std::string line;
    absl::MutexLock lock(&this->mutex);
    while (std::getline(in, line)) {
      json j = json::parse(line);
      j["metadata"]["resourceVersion"] = std::to_string(++this->version);
      const std::string kind = j["kind"];
      this->objects[{kind, j["metadata"]["name"]}] = j;
    }
    this->expired_version = this->version;
  }

  void run(int port) {
    this->server.new_task_queue = [] { return new httplib::ThreadPool(256); };
    this->server.set_tcp_nodelay(true);
    const std::string kind = R"(/apis/spokesail/v1/([^/]+))";
    const std::string name = kind + "/([^/]+)";
    this->server.Get(name, this->with_faults([this](auto& req, auto& res) {
      this->get(req.matches[1], req.matches[2], res);
    }));
    this->server.Put(name, this->with_faults([this](auto& req, auto& res) {
      this->put(req, res, false);
    }));
    this->server.Post(kind, this->with_faults([this](auto& req, auto& res) {
      this->put(req, res, true);
    }));
    this->server.Delete(name, this->with_faults([this](auto& req, auto& res) {
      this->remove(req.matches[1], req.matches[2], res);
    }));
    this->server.Get(kind, this->with_faults([this](auto& req, auto& res) {
      if (req.has_param("watch")) {
        this->watch(req, res);
      } else {
        this->list(req.matches[1], res);
      }
    }));
    this->server.Post("/standin/faults", [this](auto& req, auto& res) {
      absl::MutexLock lock(&this->mutex);
      this->faults.update(json::parse(req.body));
      res.set_content(this->faults.dump(), "application/json");
    });
    this->server.Get("/standin/calls", [this](auto&, auto& res) {
      absl::MutexLock lock(&this->mutex);
      res.set_content(json(this->calls).dump(), "application/json");
    });
    if (!this->server.listen("127.0.0.1", port)) std::exit(1);
  }

 private:
  using handler = httplib::Server::Handler;

  int fault_value(const std::string& key) {
    absl::MutexLock lock(&this->mutex);
    return this->faults.value(key, 0);
  }

  handler with_faults(handler handle) {
    return [this, handle](const httplib::Request& req, httplib::Response& res) {
      const int delay_ms = this->fault_value("slow_ms");
      if (delay_ms > 0) absl::SleepFor(absl::Milliseconds(delay_ms));
      {
        absl::MutexLock lock(&this->mutex);
        this->calls[req.method + (req.has_param("watch") ? "-watch" : "")]++;
        const int64_t second = absl::ToUnixSeconds(absl::Now());
        if (second != this->rate_second) this->rate_calls = 0;
        this->rate_second = second;
        if (++this->rate_calls > absl::GetFlag(FLAGS_rate)) {
          res.status = 429;
          return;
        }
      }
      if (this->fault_value("down") > 0) {
        res.status = 503;
        return;
      }
      handle(req, res);
      if (req.method == "GET") return;
      absl::MutexLock lock(&this->mutex);
      const int lost_answers_left = this->faults.value("lose_answers", 0);
      if (lost_answers_left <= 0) return;
      this->faults["lose_answers"] = lost_answers_left - 1;
      res.status = 503;
      res.body = "answer lost";
    };
  }

  void get(const std::string& kind, const std::string& name,
           httplib::Response& res) {
    absl::MutexLock lock(&this->mutex);
    const auto it = this->objects.find({kind, name});
    if (it == this->objects.end()) {
      res.status = 404;
      return;
    }
    res.set_content(it->second.dump(), "application/json");
  }

  void put(const httplib::Request& req, httplib::Response& res, bool create) {
    json j = json::parse(req.body, nullptr, false);
    const std::string kind = req.matches[1];
    const std::string name =
        create ? j["metadata"].value("name", "") : req.matches[2].str();
    absl::MutexLock lock(&this->mutex);
    const auto it = this->objects.find({kind, name});
    const bool exists = it != this->objects.end();
    if (create ? exists : !exists) {
      res.status = create ? 409 : 404;
      return;
    }
    const std::string expected_version =
        j["metadata"].value("resourceVersion", "");
    const bool stale =
        exists && !expected_version.empty() &&
        expected_version !=
            it->second["metadata"]["resourceVersion"].get<std::string>();
    if (stale) {
      res.status = 409;
      return;
    }
    j["metadata"]["name"] = name;
    j["metadata"]["resourceVersion"] = std::to_string(++this->version);
    this->objects[{kind, name}] = j;
    this->record(kind, exists ? "MODIFIED" : "ADDED", j);
    res.status = create ? 201 : 200;
    res.set_content(j.dump(), "application/json");
  }

  void remove(const std::string& kind, const std::string& name,
              httplib::Response& res) {
    absl::MutexLock lock(&this->mutex);
    const auto it = this->objects.find({kind, name});
    if (it == this->objects.end()) {
      res.status = 404;
      return;
    }
    json j = it->second;
    this->objects.erase(it);
    j["metadata"]["resourceVersion"] = std::to_string(++this->version);
    this->record(kind, "DELETED", j);
    res.set_content(j.dump(), "application/json");
  }

  void record(const std::string& kind, const std::string& type,
              const json& object) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    this->history.push_back(
        {this->version, kind, {{"type", type}, {"object", object}}});
    if (this->log.is_open() && kind != "audit" && kind != "lease") {
      const json line = {{"t", absl::ToUnixMicros(absl::Now())},
                         {"e", "change"},
                         {"kind", kind},
                         {"type", type},
                         {"name", object["metadata"]["name"]},
                         {"spec", object.value("spec", json::object())}};
      this->log << line.dump() << std::endl;
    }
    const auto max_history =
        static_cast<size_t>(this->faults.value("history", 10000));
    while (this->history.size() > max_history) {
      this->expired_version = this->history.front().version;
      this->history.pop_front();
    }
  }

  void list(const std::string& kind, httplib::Response& res) {
    absl::MutexLock lock(&this->mutex);
    json items = json::array();
    for (const auto& [key, object] : this->objects) {
      if (key.first == kind) items.push_back(object);
    }
    const json out = {
        {"metadata", {{"resourceVersion", std::to_string(this->version)}}},
        {"items", items}};
    res.set_content(out.dump(), "application/json");
  }

  void watch(const httplib::Request& req, httplib::Response& res) {
    const std::string kind = req.matches[1];
    auto last_sent = std::make_shared<int64_t>(
        std::stoll(req.get_param_value("resourceVersion")));
    res.set_chunked_content_provider(
        "application/json",
        [this, kind, last_sent](size_t, httplib::DataSink& sink) {
          if (this->fault_value("down") > 0) return false;
          std::string lines;
          {
            absl::MutexLock lock(&this->mutex);
            const auto has_changes =
                [this, last_sent]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
                  return this->version > *last_sent;
                };
            this->mutex.AwaitWithTimeout(absl::Condition(&has_changes),
                                         absl::Milliseconds(500));
            if (*last_sent < this->expired_version) {
              const json expired_error = {{"type", "ERROR"},
                                          {"object", {{"code", 410}}}};
              lines = expired_error.dump() + "\n";
              sink.write(lines.data(), lines.size());
              return false;
            }
            for (const auto& c : this->history) {
              if (c.version > *last_sent && c.kind == kind) {
                lines += c.event.dump() + "\n";
              }
            }
            *last_sent = this->version;
          }
          if (lines.empty()) lines = "{\"type\":\"BOOKMARK\"}\n";
          return sink.write(lines.data(), lines.size());
        });
  }

  std::ofstream log{absl::GetFlag(FLAGS_log), std::ios::app};
  httplib::Server server;
  absl::Mutex mutex;
  json faults = json::object();
  std::map<std::string, int64_t> calls;
  std::map<std::pair<std::string, std::string>, json> objects;
  std::deque<change> history;
  int64_t version = 0;
  int64_t expired_version = 0;
  int64_t rate_second = 0;
  int rate_calls = 0;
};

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  platform p;
  p.seed(absl::GetFlag(FLAGS_seed));
  p.run(absl::GetFlag(FLAGS_port));
  return 0;
}
