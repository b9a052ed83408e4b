// Another writer has left three entries of a service that the configuration
// does not name, at addresses where nobody answers. They name no worker to use;
// the others hold, so that requests must be served by the engines that are
// there.
#include "engines.h"

namespace {

using namespace review;

constexpr int node_count = 3;
constexpr int engine_count = 5;
constexpr int foreign_count = 3;
constexpr int size = 3;
constexpr int callers = 6;
constexpr double traffic_s = 40;
const std::string model = "model-a";

/// An entry as a model worker of a service writes it.
json foreign_entry(const address& at) {
  return {{"service", "other-lm"},
          {"addr", at.text()},
          {"zone", "hall-a"},
          {"version", "v1"},
          {"slots", 26},
          {"state", "ready"},
          {"cold_left_ms", 0},
          {"born", 1764968400000},
          {"seq", 1},
          {"stage", "hybrid"},
          {"domain", "d2"},
          {"staged", json::array()},
          {"models", json::array()}};
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  recorder record(argv[2]);
  site s(argv[1], node_count, 0, 6, 0.06);
  json config = site::config(1, {"key"});
  config["services"] = json::array({engines::service(model, size)});
  json draft;
  for (const auto& route : config["routes"]) {
    if (route["name"] == "draft") draft = route;
  }
  draft["service"] = "lm";
  config["routes"] = json::array({draft});
  engines e(s.platform, record, model, size);
  for (int i = 0; i < engine_count; ++i) {
    const std::string ip = s.prefix + "3." + std::to_string(i + 1);
    if (!e.add("e" + std::to_string(i + 1), {ip, free_port(ip)})) return 2;
  }
  for (int i = 0; with_trouble() && i < foreign_count; ++i) {
    const std::string ip = s.prefix + "4." + std::to_string(i + 1);
    const address at{ip, free_port(ip)};
    s.platform.put("servers", "x" + std::to_string(i + 1), foreign_entry(at));
    record.write("another writer leaves an entry of other-lm at " + at.text());
  }
  if (!s.start(config)) {
    record.write("not all nodes got ready");
    return 2;
  }
  record.write("all nodes are ready");
  // Traffic starts 10 s after the machines do.
  sleep_s(10);
  std::atomic<bool> over = false;
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < callers; ++t) {
    threads.emplace_back([&, t] {
      for (int i = 0; !over; ++i) {
        const auto c =
            connection::to(s.nodes[(t + i) % node_count]->callers(), 1);
        const std::string id = std::to_string(t) + "-" + std::to_string(i);
        const bool open =
            c->open() &&
            c->write(
                "POST /draft/1 HTTP/1.1\r\nHost: callers.example\r\n"
                "X-Request-Id: " +
                id + "\r\nX-Model: " + model +
                "\r\nX-Token-Usage: 1420,135\r\nX-Prompt-Prefix: " +
                "5c1e07a2:40," + std::to_string(1000 + t * 1000 + i) +
                ":1380\r\nX-Deadline-Ms: 8000\r\n"
                "Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n");
        const auto out = open ? c->read(9) : std::nullopt;
        ++sent;
        if (out && out->status() == 200) ++served;
        record.write("sent " + id + " status " +
                     std::to_string(out ? out->status() : 0));
        sleep_s(0.5);
      }
    });
  }
  sleep_s(traffic_s);
  over = true;
  for (auto& t : threads) t.join();
  record.write("sent " + std::to_string(sent) + ", served " +
               std::to_string(served));
  if (sent == 0) return 2;
  return served == 0 ? 1 : 0;
}
