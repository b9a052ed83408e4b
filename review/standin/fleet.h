// Stand-ins of the platform's store, plain workers and consumers, and the start
// and end of nodes, for the scripts of the review.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <vector>

#include "http.h"

namespace review {

using nlohmann::json;

/// What was sent, answered and run; written to record.txt at the end.
class recorder {
 public:
  void write(const std::string& line) {
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", seconds());
    const std::lock_guard<std::mutex> lock(mutex);
    lines.push_back(time + line);
  }
  void save(const std::string& path) {
    const std::lock_guard<std::mutex> lock(mutex);
    std::ofstream out(path);
    for (const auto& line : lines) out << line << "\n";
  }

 private:
  std::mutex mutex;
  std::vector<std::string> lines;
};

/// The platform's object store: lists, watches and conditional writes of whole
/// objects, linearizable. Specs are kept as the text that was written.
class store {
 public:
  explicit store(address at)
      : port(std::move(at), [this](connection& link, const message& in) {
          return link.write(answer(in));
        }) {}

  bool ok() const { return port.ok(); }
  address at() const { return port.at; }

  /// Writes an object as the operator or a worker does. Returns its revision.
  int64_t put(const std::string& kind, const std::string& name,
              const std::string& spec) {
    const std::lock_guard<std::mutex> lock(mutex);
    return change(kind, name, spec, false);
  }
  /// The node that last wrote under a condition, by the agent that it names.
  std::string last_writer() {
    const std::lock_guard<std::mutex> lock(mutex);
    return writer;
  }
  int64_t remove(const std::string& kind, const std::string& name) {
    const std::lock_guard<std::mutex> lock(mutex);
    return change(kind, name, "null", true);
  }

 private:
  struct object {
    std::string spec;
    int64_t revision = 0;
    bool gone = false;
  };

  int64_t change(const std::string& kind, const std::string& name,
                 const std::string& spec, bool gone) {
    auto& known = objects[kind][name];
    if (!gone && !known.gone && known.revision > 0 && known.spec == spec)
      return known.revision;
    known = {spec, ++revision, gone};
    changed.notify_all();
    return revision;
  }

  static std::string text(const std::string& name, const object& o) {
    return "{\"meta\":{\"name\":" + json(name).dump() +
           ",\"rev\":" + std::to_string(o.revision) + "},\"spec\":" + o.spec +
           ",\"status\":null}";
  }

  static std::string query_value(const std::string& query,
                                 const std::string& name) {
    const size_t at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) return "";
    const size_t from = at + name.size() + 1;
    return query.substr(from, query.find('&', from) - from);
  }

  std::string reply(int status, const std::string& body) {
    return make_response(status, body, {{"Content-Type", "application/json"}});
  }

  std::string answer(const message& in) {
    const std::string target = in.target();
    const size_t mark = target.find('?');
    const std::string path = target.substr(0, mark);
    const std::string query =
        mark == std::string::npos ? "" : target.substr(mark + 1);
    const std::string root = "/spokesail/objects/";
    if (path.rfind(root, 0) != 0) return reply(404, "{}");
    const std::string rest = path.substr(root.size());
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name =
        rest.find('/') == std::string::npos ? "" : rest.substr(kind.size() + 1);
    std::unique_lock<std::mutex> lock(mutex);
    if (in.method() != "GET") return write(kind, name, in);
    auto& all = objects[kind];
    if (!name.empty()) {
      const auto found = all.find(name);
      if (found == all.end() || found->second.gone) return reply(404, "{}");
      return reply(200, text(name, found->second));
    }
    const std::string since = query_value(query, "watch");
    if (since.empty()) return list(all, query_value(query, "since_rev"));
    return watch(lock, all, std::atoll(since.c_str()),
                 std::atof(query_value(query, "wait_ms").c_str()) / 1000);
  }

  std::string list(const std::map<std::string, object>& all,
                   const std::string& after) {
    std::string items;
    for (const auto& [name, o] : all) {
      if (o.gone || name <= after) continue;
      items += (items.empty() ? "" : ",") + text(name, o);
    }
    return reply(200, "{\"items\":[" + items + "],\"more\":false,\"at\":" +
                          std::to_string(revision) + "}");
  }

  std::string watch(std::unique_lock<std::mutex>& lock,
                    const std::map<std::string, object>& all, int64_t since,
                    double wait) {
    const auto until =
        steady::now() + std::chrono::duration_cast<steady::duration>(
                            std::chrono::duration<double>(wait));
    for (;;) {
      std::vector<std::pair<int64_t, std::string>> events;
      for (const auto& [name, o] : all) {
        if (o.revision <= since) continue;
        events.emplace_back(
            o.revision, "{\"object\":" + text(name, o) +
                            ",\"gone\":" + (o.gone ? "true" : "false") + "}");
      }
      const bool over = steady::now() >= until;
      if (!events.empty() || over) {
        std::sort(events.begin(), events.end());
        std::string body;
        for (const auto& [at, event] : events)
          body += (body.empty() ? "" : ",") + event;
        return reply(200, "{\"events\":[" + body +
                              "],\"at\":" + std::to_string(revision) + "}");
      }
      changed.wait_until(lock, until);
    }
  }

  std::string write(const std::string& kind, const std::string& named,
                    const message& in) {
    const json body = json::parse(in.body, nullptr, false);
    if (!body.is_object()) return reply(400, "{}");
    const json meta = body.value("meta", json::object());
    const std::string name = named.empty() ? meta.value("name", "") : named;
    auto& all = objects[kind];
    const auto found = all.find(name);
    const bool exists = found != all.end() && !found->second.gone;
    const bool create = in.method() == "POST";
    if (!create && !exists) return reply(404, "{}");
    const bool other_revision =
        meta.contains("rev") && exists &&
        meta.value("rev", int64_t{0}) != found->second.revision;
    if (exists && (create || other_revision))
      return reply(409, text(name, found->second));
    change(kind, name, body.value("spec", json()).dump(), false);
    if (create || meta.contains("rev")) writer = in.field("user-agent");
    return reply(200, text(name, all[name]));
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, object>> objects;
  int64_t revision = 1;
  std::string writer;
  listener port;
};

/// A run or an arrival of a request at a worker.
struct arrival {
  double at = 0;
  std::string id;
  std::string worker;
  /// Whether it was answered before the worker ended.
  bool answered = false;
};

/// A worker of a plain service.
class worker {
 public:
  worker(std::string service_name, std::string name, std::string hall,
         address where, double work_s, recorder& log)
      : service(std::move(service_name)),
        id(std::move(name)),
        zone(std::move(hall)),
        work(work_s),
        record(log),
        born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
        port(std::move(where), [this](connection& link, const message& in) {
          return serve(link, in);
        }) {}

  bool ok() const { return port.ok(); }

  /// The spec of its entry.
  std::string entry(const std::string& state) const {
    return json{{"service", service}, {"addr", port.at.text()},
                {"zone", zone},       {"version", "1"},
                {"slots", 6},         {"state", state},
                {"cold_left_ms", 0},  {"seq", 1},
                {"born", born}}
        .dump();
  }

  void end() {
    ended = true;
    port.stop();
  }

  std::vector<arrival> arrivals() {
    const std::lock_guard<std::mutex> lock(mutex);
    return all;
  }

  const std::string service;
  const std::string id;
  const std::string zone;

 private:
  bool serve(connection& link, const message& in) {
    const std::string request = in.field("x-request-id");
    const std::string meant = in.field("x-expect-instance");
    if (in.target() == "/health")
      return link.write(make_response(200, "", {{"X-Instance-Id", id}}));
    if (request.empty())
      return link.write(make_response(400, "", {{"X-Not-Executed", "1"}}));
    std::map<std::string, std::string> fields = {{"X-Request-Id", request}};
    if (!meant.empty() && meant != id)
      return link.write(make_response(421, "", fields));
    size_t at;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      at = all.size();
      all.push_back({seconds(), request, id, false});
    }
    record.write("run " + request + " at " + id);
    sleep_for(work);
    if (ended) return false;
    fields["X-Response-Stamp"] = "stamp-" + id;
    const bool sent = link.write(make_response(200, "done by " + id, fields));
    const std::lock_guard<std::mutex> lock(mutex);
    all[at].answered = sent;
    return sent;
  }

  const double work;
  recorder& record;
  const int64_t born;
  std::atomic<bool> ended{false};
  std::mutex mutex;
  std::vector<arrival> all;
  listener port;
};

/// A node, as the platform starts it: the command of the deploy file, with the
/// template of the settings filled in.
class node {
 public:
  node(std::string name, std::string hall, std::string ip, address platform,
       std::vector<std::string> seeds, std::string folder)
      : id(std::move(name)), zone(std::move(hall)), host(std::move(ip)) {
    settings = folder + "/" + id + ".yaml";
    log = folder + "/" + id + ".log";
    std::ostringstream out;
    std::string list;
    for (const auto& seed : seeds) list += (list.empty() ? "" : ",") + seed;
    out << "node: " << id << "\nhall: " << zone
        << "\nlisten:\n  callers: " << front().text()
        << "\n  ready: " << ready_at().text() << "\n  metrics: " << host
        << ":9464\n  peers: " << host << ":7340\nplatform: " << platform.text()
        << "\nseeds: [" << list
        << "]\ncores: 0.25\nlink_mbps: 1000\nmax_sockets: 4100\n"
        << "memory_mb: 260\nbounds:\n  config_ms: 2000\n  revoke_ms: 5000\n"
        << "  keys_fail_closed: true\n  drain_ms: 2000\n  stall_ms: 5000\n"
        << "  stop_grace_s: 8\n  repeat_ratio: 0.2\n  repeat_window_s: 10\n"
        << "  repeat_slack: 136\n  load_window_s: 5\n  load_excess: 1.1\n";
    std::ofstream(settings) << out.str();
  }
  ~node() { finish(); }

  static bool ports_free(const std::string& ip) {
    return port_free({ip, 8227}) && port_free({ip, 8220}) &&
           port_free({ip, 9464}) && port_free({ip, 7340});
  }

  address front() const { return {host, 8227}; }
  address ready_at() const { return {host, 8220}; }
  std::string control() const { return host + ":8229"; }

  void start() {
    const std::string variable = "SPOKESAIL_BOOT=" + settings;
    const char* path = std::getenv("PATH");
    const std::string search = std::string("PATH=") + (path ? path : "");
    std::vector<char*> env = {const_cast<char*>(variable.c_str()),
                              const_cast<char*>(search.c_str()), nullptr};
    const char* program = "target/spokesail";
    std::vector<char*> argv = {const_cast<char*>(program),
                               const_cast<char*>("node"), nullptr};
    process = fork();
    if (process != 0) return;
    // The node does not outlive the script, whatever ends that.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execve(program, argv.data(), env.data());
    _exit(127);
  }

  void signal(int number) {
    if (process > 0) kill(process, number);
  }

  /// Whether the process runs; sets `status` when it has ended.
  bool running() {
    if (process <= 0) return false;
    if (waitpid(process, &status, WNOHANG) == 0) return true;
    process = -1;
    return false;
  }

  void finish() {
    signal(SIGCONT);
    signal(SIGKILL);
    if (process > 0) waitpid(process, &status, 0);
    process = -1;
  }

  bool ready() {
    const int fd = connection::dial(ready_at(), 0.3);
    if (fd < 0) return false;
    connection link(fd);
    message out;
    return link.write("GET /spokesail/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
           link.read(out, seconds() + 0.5) && out.status() == 200;
  }

  const std::string id;
  const std::string zone;
  const std::string host;
  std::string log;
  int status = 0;

 private:
  std::string settings;
  pid_t process = -1;
};

/// A request as its consumer saw it.
struct sent_request {
  std::string id;
  std::string node;
  std::string path;
  double sent = 0;
  double ended = 0;
  /// Of the answer; 0 if the connection ended without one or nothing came in
  /// time.
  int status = 0;
  /// Whether a connection was made and the whole request was written.
  bool written = false;
  bool stamped = false;
};

/// Free addresses 127.A.B.x and a folder for one run.
struct place {
  place() {
    std::random_device random;
    for (int i = 0; i < 50; ++i) {
      prefix = "127." + std::to_string(20 + random() % 200) + "." +
               std::to_string(1 + random() % 250) + ".";
      if (node::ports_free(prefix + "11") && port_free({prefix + "5", 8223}))
        break;
    }
    std::string name = "/tmp/review-XXXXXX";
    folder = mkdtemp(name.data());
  }
  ~place() {
    if (std::getenv("KEEP_LOGS") != nullptr) return;
    for (const auto& file : files) std::remove((folder + "/" + file).c_str());
    rmdir(folder.c_str());
  }
  std::string ip(int last) const { return prefix + std::to_string(last); }

  std::string prefix;
  std::string folder;
  std::vector<std::string> files;
};

/// A configuration with one plain service, an unsafe and a safe route.
inline std::string sample_config(int version,
                                 const std::vector<std::string>& keys) {
  json route = {{"host", "callers.example"},
                {"timeout_ms", 4000},
                {"goal_ms", 300},
                {"priority", 1},
                {"public", false},
                {"service", "records"}};
  json once = route;
  once.update({{"name", "status-check"},
               {"prefix", "/status/"},
               {"kind", "unsafe"},
               {"attempts", 2}});
  json safe = route;
  safe.update({{"name", "artifact-fetch"},
               {"prefix", "/artifact/"},
               {"kind", "safe"},
               {"attempts", 2}});
  return json{
      {"version", version},
      {"routes", json::array({once, safe})},
      {"services", json::array({{{"name", "records"},
                                 {"health_path", "/health"},
                                 {"max_conns", 110}}})},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 65536},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       json::array({{{"name", "north"}, {"api_keys", keys}, {"priority", 1}}})}}
      .dump();
}

/// Consumers that send requests at a steady rate, each on a new connection to
/// the next node that runs.
class consumers {
 public:
  consumers(std::vector<node*> fronts, recorder& log)
      : nodes(std::move(fronts)), record(log) {}
  ~consumers() { stop(); }

  /// Starts sending `per_s` requests a second.
  void start(double per_s, std::string route_prefix) {
    prefix = std::move(route_prefix);
    thread = std::thread([this, per_s] {
      double next = seconds();
      for (int i = 0; !stopping; ++i) {
        sleep_until(next);
        next += 1 / per_s;
        node* to = nodes[static_cast<size_t>(i) % nodes.size()];
        ++open;
        std::thread([this, i, to] {
          send(i, *to);
          --open;
        }).detach();
      }
    });
  }

  void stop() {
    stopping = true;
    if (thread.joinable()) thread.join();
    while (open.load() > 0) sleep_for(0.005);
  }

  std::vector<sent_request> all() {
    const std::lock_guard<std::mutex> lock(mutex);
    return done;
  }

 private:
  void send(int number, node& to) {
    sent_request r;
    r.id = "r" + std::to_string(number);
    r.node = to.id;
    r.path = prefix + std::to_string(number);
    r.sent = seconds();
    const int fd = connection::dial(to.front(), 1.0);
    if (fd >= 0) {
      connection link(fd);
      r.written = link.write("POST " + r.path +
                             " HTTP/1.1\r\nHost: callers.example\r\n"
                             "X-Request-Id: " +
                             r.id +
                             "\r\nX-Deadline-Ms: 4000\r\n"
                             "Authorization: Bearer key-1\r\n"
                             "Content-Length: 2\r\n\r\nhi");
      message out;
      if (r.written && link.read(out, r.sent + 4.5)) {
        r.status = out.status();
        r.stamped = !out.field("x-response-stamp").empty();
      }
    }
    r.ended = seconds();
    record.write("answer " + r.id + " node " + r.node + " status " +
                 std::to_string(r.status) + " sent " + std::to_string(r.sent));
    const std::lock_guard<std::mutex> lock(mutex);
    done.push_back(r);
  }

  std::vector<node*> nodes;
  recorder& record;
  std::string prefix;
  std::thread thread;
  std::atomic<bool> stopping{false};
  std::atomic<int> open{0};
  std::mutex mutex;
  std::vector<sent_request> done;
};

/// Waits until all nodes are ready.
inline bool wait_ready(const std::vector<node*>& nodes, double timeout) {
  const double until = seconds() + timeout;
  for (node* n : nodes) {
    while (!n->ready()) {
      if (seconds() > until) return false;
      sleep_for(0.1);
    }
  }
  return true;
}

/// A small deployment: a store, workers of one plain service, and nodes, in
/// three zones.
class deployment {
 public:
  deployment(int nodes_count, int workers_count, double work_s)
      : platform({where.ip(5), 8223}) {
    platform.put("config", "main", sample_config(1, {"key-1"}));
    for (int i = 0; i < workers_count; ++i) {
      workers.push_back(std::make_unique<worker>(
          "records", "i-" + std::to_string(i + 1), zone_of(i),
          address{where.ip(100 + i), 9000}, work_s, log));
      platform.put("servers", workers.back()->id,
                   workers.back()->entry("ready"));
    }
    std::vector<std::string> seeds;
    for (int i = 0; i < 3; ++i) seeds.push_back(where.ip(11 + i) + ":8229");
    for (int i = 0; i < nodes_count; ++i) {
      const std::string name = "front-" + std::to_string(i + 1);
      nodes.push_back(std::make_unique<node>(name, zone_of(i), where.ip(11 + i),
                                             platform.at(), seeds,
                                             where.folder));
      fronts.push_back(nodes.back().get());
      where.files.push_back(name + ".yaml");
      where.files.push_back(name + ".log");
    }
  }

  /// Starts all nodes. Returns false if something could not be started.
  bool start() {
    if (!platform.ok() || access("target/spokesail", X_OK) != 0) return false;
    for (const auto& w : workers) {
      if (!w->ok()) return false;
    }
    for (node* n : fronts) n->start();
    return wait_ready(fronts, 15);
  }

  static std::string zone_of(int index) {
    return std::string("hof-") + static_cast<char>('a' + index % 3);
  }

  node* find(const std::string& name) {
    for (node* n : fronts) {
      if (n->id == name) return n;
    }
    return nullptr;
  }

  place where;
  recorder log;
  store platform;
  std::vector<std::unique_ptr<worker>> workers;
  std::vector<std::unique_ptr<node>> nodes;
  std::vector<node*> fronts;
};

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
