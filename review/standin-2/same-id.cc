// Another writer puts entries of a service that the configuration does not name
// under the ids of workers; the workers write their own again with their next
// status report. Requests must be served by the workers then.
#include "site.h"

namespace {

using namespace review;

constexpr int node_count = 3;
constexpr int worker_count = 3;
constexpr int callers = 6;
constexpr double beat_s = 1.2;
constexpr double traffic_s = 40;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  recorder record(argv[2]);
  site s(argv[1], node_count, worker_count, 6, 0.06);
  if (!s.start(site::config(1, {"key"}))) {
    record.write("not all nodes got ready");
    return 2;
  }
  record.write("all nodes are ready");
  sleep_s(3);
  if (with_trouble()) {
    for (const auto& w : s.workers) {
      // This writer has started an hour after the worker.
      json entry = w->entry("other-service", "hall-a");
      entry["born"] = entry["born"].get<int64_t>() + 3600000;
      s.platform.put("servers", w->name, entry);
      record.write("another writer puts an entry of other-service under " +
                   w->name);
    }
  }
  sleep_s(beat_s);
  int64_t seq = 2;
  const auto beat = [&] {
    ++seq;
    for (const auto& w : s.workers) {
      json entry = w->entry("gateway", "hall-a");
      entry["seq"] = seq;
      s.platform.put("servers", w->name, entry);
    }
  };
  beat();
  record.write("all workers have written their entries again");
  // Traffic starts 10 s after the machines do.
  for (int i = 0; i < 5; ++i) {
    sleep_s(beat_s);
    beat();
  }
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
            c->open() && c->write(
                             "GET /fetch/1 HTTP/1.1\r\n"
                             "Host: callers.example\r\nX-Request-Id: " +
                             id +
                             "\r\nX-Deadline-Ms: 2000\r\n"
                             "Authorization: Bearer key\r\n\r\n");
        const auto out = open ? c->read(4) : std::nullopt;
        ++sent;
        if (out && out->status() == 200) ++served;
        record.write("sent " + id + " status " +
                     std::to_string(out ? out->status() : 0));
        sleep_s(0.2);
      }
    });
  }
  const double until = now_s() + traffic_s;
  while (now_s() < until) {
    sleep_s(beat_s);
    beat();
  }
  over = true;
  for (auto& t : threads) t.join();
  record.write("sent " + std::to_string(sent) + ", served " +
               std::to_string(served));
  if (sent == 0) return 2;
  return served == 0 ? 1 : 0;
}
