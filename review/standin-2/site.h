// A small installation on loopback: the platform's store, plain workers, and
// nodes as processes, as the users' pages describe them.
#pragma once

#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "net.h"

namespace review {

using json = nlohmann::json;

/// Lines of a case's record, with the time of each.
class recorder {
 public:
  explicit recorder(const std::string& file) : out(file) {}
  void write(const std::string& line) {
    const std::lock_guard lock(mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", now_s());
    out << time << line << "\n" << std::flush;
  }

 private:
  std::mutex mutex;
  std::ofstream out;
};

/// The platform's store.
class store {
 public:
  explicit store(const address& at)
      : where(at), http(at, [this](connection& c) { serve(c); }) {}

  const address where;
  bool listening() const { return http.listening(); }

  /// Writes as the operator or a worker does. Returns the revision: the ack.
  int64_t put(const std::string& kind, const std::string& name, json spec) {
    const std::lock_guard lock(mutex);
    return change(kind, name, std::move(spec), false);
  }
  void remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex);
    change(kind, name, nullptr, true);
  }
  /// Watches hear nothing for a while; then the history is dropped, and they
  /// are cut.
  void compact(double mute_s) {
    muted = true;
    sleep_s(mute_s);
    {
      const std::lock_guard lock(mutex);
      history_from = revision;
    }
    ++cuts;
    muted = false;
  }
  /// While it is set, no call is answered, not even one that came before.
  std::atomic<bool> silent = false;

 private:
  struct object {
    json spec;
    int64_t revision = 0;
    int64_t made = 0;
    bool gone = false;
  };

  int64_t change(const std::string& kind, const std::string& name, json spec,
                 bool gone) {
    object& o = kinds[kind][name];
    o.revision = ++revision;
    if (o.made == 0 || o.gone) o.made = revision;
    o.gone = gone;
    if (!gone) o.spec = std::move(spec);
    return revision;
  }

  static json as_json(const std::string& name, const object& o) {
    return {{"meta",
             {{"name", name},
              {"rev", o.revision},
              {"made", o.made},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", o.spec},
            {"status", nullptr}};
  }

  static int64_t number(const std::string& query, const std::string& name) {
    const size_t at = ("&" + query).find("&" + name + "=");
    return at == std::string::npos
               ? -1
               : std::atoll(query.c_str() + at + name.size() + 1);
  }

  void serve(connection& c) {
    while (const auto in = c.read()) {
      const std::string out = silent ? "" : answer(*in);
      if (silent || out.empty()) {
        // An answer is lost: this connection says nothing further.
        while (silent) sleep_s(0.02);
        return;
      }
      if (!c.write(out)) return;
    }
  }

  std::string answer(const message& in) {
    const std::string target = in.target();
    const size_t mark = target.find('?');
    const std::string path = target.substr(0, mark);
    const std::string query =
        mark == std::string::npos ? "" : target.substr(mark + 1);
    std::vector<std::string> parts;
    std::istringstream split(path);
    for (std::string part; std::getline(split, part, '/');)
      parts.push_back(part);
    if (parts.size() < 4) return response(404, "");
    const std::string kind = parts[3];
    const std::string name = parts.size() > 4 ? parts[4] : "";
    if (in.method() != "GET") return write(in, kind, name);
    if (!name.empty()) {
      const std::lock_guard lock(mutex);
      const auto found = kinds[kind].find(name);
      if (found == kinds[kind].end() || found->second.gone)
        return response(404, "{}");
      return response(200, as_json(name, found->second).dump());
    }
    const int64_t since = number(query, "watch");
    if (since >= 0) return watch(kind, since, number(query, "wait_ms"));
    const std::lock_guard lock(mutex);
    json items = json::array();
    for (const auto& [key, o] : kinds[kind]) {
      if (!o.gone) items.push_back(as_json(key, o));
    }
    return response(
        200, json{{"items", items}, {"more", false}, {"at", revision}}.dump());
  }

  std::string watch(const std::string& kind, int64_t since, int64_t wait_ms) {
    const double until = now_s() + static_cast<double>(wait_ms) / 1000;
    const int cuts_before = cuts;
    int64_t at = since;
    json events = json::array();
    for (;;) {
      if (silent || cuts != cuts_before) return "";
      if (!muted) {
        const std::lock_guard lock(mutex);
        if (since < history_from) return response(410, "{}");
        at = revision;
        for (const auto& [key, o] : kinds[kind]) {
          if (o.revision <= since) continue;
          events.push_back({{"gone", o.gone}, {"object", as_json(key, o)}});
        }
      }
      if (!events.empty() || now_s() >= until) break;
      sleep_s(0.003);
    }
    return response(200, json{{"events", events}, {"at", at}}.dump());
  }

  std::string write(const message& in, const std::string& kind,
                    const std::string& named) {
    const json body = json::parse(in.body, nullptr, false);
    if (!body.is_object()) return response(400, "");
    const json meta = body.value("meta", json::object());
    const std::string name = named.empty() ? meta.value("name", "") : named;
    const std::lock_guard lock(mutex);
    const auto found = kinds[kind].find(name);
    const bool exists = found != kinds[kind].end() && !found->second.gone;
    const bool create = in.method() == "POST";
    if (!create && !exists) return response(404, "{}");
    const bool conflict =
        exists && (create || (meta.contains("rev") &&
                              meta["rev"] != found->second.revision));
    if (!conflict) change(kind, name, body.value("spec", json()), false);
    return response(conflict ? 409 : 200,
                    as_json(name, kinds[kind][name]).dump());
  }

  std::mutex mutex;
  std::map<std::string, std::map<std::string, object>> kinds;
  int64_t revision = 0;
  int64_t history_from = 0;
  std::atomic<int> cuts = 0;
  std::atomic<bool> muted = false;
  server http;
};

/// A worker of a plain service. Work beyond its slots waits.
class worker {
 public:
  worker(std::string id, const address& at, int slot_count, double work)
      : name(std::move(id)),
        where(at),
        slots(slot_count),
        work_s(work),
        http(at, [this](connection& c) { serve(c); }) {}

  const std::string name;
  const address where;
  bool listening() const { return http.listening(); }
  /// Called when it begins to work on a request.
  std::function<void(const message&)> on_run = [](const message&) {};
  /// Answers a request in a way of its own. Returns whether it has done so;
  /// the connection ends then.
  std::function<bool(connection&, const message&)> answer_otherwise;

  json entry(const std::string& service, const std::string& zone) const {
    return {{"service", service}, {"addr", where.text()},  {"zone", zone},
            {"version", "v1"},    {"slots", slots},        {"state", "ready"},
            {"cold_left_ms", 0},  {"born", 1764968400000}, {"seq", 1}};
  }

 private:
  void serve(connection& c) {
    while (const auto in = c.read()) {
      const std::string id = in->header("x-request-id");
      const std::string same_id = "X-Request-Id: " + id + "\r\n";
      if (in->header("x-expect-instance") != name) {
        if (!c.write(response(421, "", "X-Instance-Id: " + name + "\r\n")))
          return;
        continue;
      }
      if (in->target() == "/health") {
        if (!c.write(response(200, "", "X-Instance-Id: " + name + "\r\n")))
          return;
        continue;
      }
      while (true) {
        const std::lock_guard lock(mutex);
        if (running < slots) {
          ++running;
          break;
        }
        ::usleep(500);
      }
      on_run(*in);
      if (answer_otherwise && answer_otherwise(c, *in)) {
        --running;
        return;
      }
      sleep_s(work_s);
      --running;
      const std::string out =
          response(200, "answer to " + id,
                   same_id + "X-Response-Stamp: " + name + "." + id + "\r\n");
      if (!c.write(out)) return;
    }
  }

  const int slots;
  const double work_s;
  std::mutex mutex;
  std::atomic<int> running = 0;
  server http;
};

struct node_address {
  std::string name;
  std::string zone;
  std::string ip;
};

/// The ports that all nodes use, as on the users' machines.
struct node_ports {
  int callers = 0;
  int ready = 0;
  int metrics = 0;
  int peers = 0;
  int control = 0;
};

/// A node as the platform starts it.
class node {
 public:
  node(std::string program, std::string folder, node_address self,
       node_ports use)
      : binary(std::move(program)),
        work(std::move(folder)),
        at(std::move(self)),
        ports(use) {}
  ~node() { kill(); }
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  const std::string& name() const { return at.name; }
  address callers() const { return {at.ip, ports.callers}; }
  pid_t process() const { return pid; }

  /// Lays the settings file, which is deploy/node.yaml filled in, and starts
  /// the process with the command of the deploy file.
  void start(const address& platform, const std::string& seeds) {
    const std::string file = work + "/" + at.name + ".yaml";
    std::ofstream(file)
        << "node: " << at.name << "\nhall: " << at.zone
        << "\nlisten:\n  callers: " << at.ip << ":" << ports.callers
        << "\n  ready: " << at.ip << ":" << ports.ready
        << "\n  metrics: " << at.ip << ":" << ports.metrics
        << "\n  peers: " << at.ip << ":" << ports.peers
        << "\nplatform: " << platform.text() << "\nseeds: [" << seeds
        << "]\ncores: 0.25\nlink_mbps: 1000.0\nmax_sockets: 4100\n"
           "memory_mb: 260\nbounds:\n  config_ms: 2000\n  revoke_ms: 5000\n"
           "  keys_fail_closed: true\n  drain_ms: 2000\n  stall_ms: 5000\n"
           "  stop_grace_s: 8\n  repeat_ratio: 0.2\n  repeat_window_s: 10\n"
           "  repeat_slack: 136\n  load_window_s: 5\n  load_excess: 1.1\n";
    const std::string log = work + "/" + at.name + ".log";
    pid = ::fork();
    if (pid != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    ::setenv("SPOKESAIL_BOOT", file.c_str(), 1);
    ::execl(binary.c_str(), binary.c_str(), "node", nullptr);
    ::_exit(127);
  }

  void signal(int number) {
    if (pid > 0) ::kill(pid, number);
  }
  void kill() {
    if (pid <= 0) return;
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    pid = -1;
  }
  /// Whether the process has ended by itself.
  bool ended() {
    if (pid <= 0 || ::waitpid(pid, nullptr, WNOHANG) != pid) return false;
    pid = -1;
    return true;
  }

  /// As the platform asks it once a second.
  bool ready() const {
    const auto c = connection::to({at.ip, ports.ready}, 1);
    if (!c->open() ||
        !c->write("GET /spokesail/ready HTTP/1.1\r\nHost: node\r\n\r\n"))
      return false;
    const auto out = c->read(1);
    return out && out->status() == 200;
  }

  /// Resident memory of the process in MB.
  double memory_mb() const {
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    double pages = 0;
    double resident = 0;
    in >> pages >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
  }

 private:
  const std::string binary;
  const std::string work;
  const node_address at;
  const node_ports ports;
  std::atomic<pid_t> pid = -1;
};

/// An installation with `count` nodes in one zone and some workers of a plain
/// service.
class site {
 public:
  site(const std::string& binary, int count, int worker_count, int slots,
       double work_s)
      : prefix("127." + std::to_string(2 + ::getpid() % 250) + "."),
        platform({prefix + "0.1", free_port(prefix + "0.1")}) {
    folder =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    folder = ::mkdtemp(folder.data());
    const std::string first = prefix + "1.1";
    node_ports ports;
    for (int* port : {&ports.callers, &ports.ready, &ports.metrics,
                      &ports.peers, &ports.control})
      *port = free_port(first);
    for (int i = 0; i < count; ++i) {
      const node_address at{"front-" + std::to_string(i + 1), "hall-a",
                            prefix + "1." + std::to_string(i + 1)};
      if (i < 3)
        seeds +=
            (i == 0 ? "" : ",") + at.ip + ":" + std::to_string(ports.control);
      nodes.push_back(std::make_unique<node>(binary, folder, at, ports));
    }
    for (int i = 0; i < worker_count; ++i) {
      const std::string ip = prefix + "2." + std::to_string(i + 1);
      workers.push_back(std::make_unique<worker>("w" + std::to_string(i + 1),
                                                 address{ip, free_port(ip)},
                                                 slots, work_s));
    }
  }
  ~site() {
    nodes.clear();
    platform.silent = false;
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder);
  }
  site(const site&) = delete;
  site& operator=(const site&) = delete;

  /// A configuration like that of a small site, with one plain service and the
  /// keys of one tenant.
  static json config(int version, const std::vector<std::string>& keys) {
    const auto route = [](const char* name, const char* prefix,
                          const char* kind, int timeout_ms, int attempts) {
      return json{
          {"name", name},   {"host", "callers.example"}, {"prefix", prefix},
          {"kind", kind},   {"timeout_ms", timeout_ms},  {"goal_ms", 300},
          {"priority", 2},  {"service", "gateway"},      {"attempts", attempts},
          {"public", false}};
    };
    json draft = route("draft", "/draft/", "streaming", 8000, 2);
    draft["resumable"] = true;
    draft["gap_aim_ms"] = 300;
    return {{"version", version},
            {"routes",
             {route("status", "/status/", "unsafe", 2000, 1),
              route("fetch", "/fetch/", "safe", 2000, 2),
              route("upload", "/upload/", "unsafe", 8000, 1), draft}},
            {"services",
             {{{"name", "gateway"},
               {"health_path", "/health"},
               {"max_conns", 110},
               {"protocol", "h1"},
               {"tls", false}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants",
             {{{"name", "north"}, {"api_keys", keys}, {"priority", 1}}}}};
  }

  /// Starts all nodes. Returns whether all got ready.
  bool start(const json& first_config) {
    for (const auto& w : workers) {
      if (!w->listening()) return false;
      platform.put("servers", w->name, w->entry("gateway", "hall-a"));
    }
    platform.put("config", "main", first_config);
    for (const auto& n : nodes) n->start(platform.where, seeds);
    const double until = now_s() + 20;
    for (const auto& n : nodes) {
      while (!n->ready()) {
        if (now_s() > until) return false;
        sleep_s(0.05);
      }
    }
    return platform.listening();
  }

  void restart(node& n) { n.start(platform.where, seeds); }

  const std::string prefix;
  std::string folder;
  std::string seeds;
  store platform;
  std::vector<std::unique_ptr<worker>> workers;
  std::vector<std::unique_ptr<node>> nodes;
};

/// Whether the script is to cause the disruption.
inline bool with_trouble() {
  const char* set = std::getenv("TROUBLE");
  return set == nullptr || std::string(set) != "0";
}

}  // namespace review
