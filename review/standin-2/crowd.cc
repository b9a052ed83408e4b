// The platform hands most new connections to one node for some seconds, while
// consumers send bodies of the largest size in chunks. The platform kills a
// process that exceeds its memory.
#include "site.h"

namespace {

using namespace review;

constexpr int node_count = 9;
constexpr int consumers = 90;
constexpr double memory_limit_mb = 260;
constexpr size_t body_bytes = 4000000;
constexpr size_t chunk_bytes = 40000;
constexpr double upload_s = 4.0;
constexpr double crowd_share = 0.9;
constexpr double crowd_s = 15.0;
constexpr double restart_s = 0.5;
constexpr int episodes = 4;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  recorder record(argv[2]);
  site s(argv[1], node_count, 3, 6, 0.06);
  std::atomic<int> runs = 0;
  for (const auto& w : s.workers) w->on_run = [&](const message&) { ++runs; };
  if (!s.start(site::config(1, {"key"}))) {
    record.write("not all nodes got ready");
    return 2;
  }
  sleep_s(3);

  std::atomic<bool> over = false;
  std::atomic<int> crowded = -1;
  std::vector<std::atomic<bool>> in(node_count);
  std::vector<std::atomic<double>> peak(node_count);
  std::vector<int> ends(node_count, 0);
  for (auto& i : in) i = true;

  // The platform: readiness once a second, memory all the time.
  std::vector<std::thread> threads;
  threads.emplace_back([&] {
    std::vector<int> misses(node_count, 0);
    while (!over) {
      for (int i = 0; i < node_count; ++i) {
        const bool ready = s.nodes[i]->process() > 0 && s.nodes[i]->ready();
        misses[i] = ready ? 0 : misses[i] + 1;
        in[i] = misses[i] < 2;
      }
      sleep_s(1);
    }
  });
  threads.emplace_back([&] {
    std::vector<double> down(node_count, -1);
    while (!over) {
      for (int i = 0; i < node_count; ++i) {
        node& n = *s.nodes[i];
        const double now = now_s();
        if (n.process() <= 0) {
          if (now < down[i] + restart_s) continue;
          s.restart(n);
          record.write(n.name() + " is started again");
          continue;
        }
        const double used = n.memory_mb();
        peak[i] = std::max<double>(peak[i], used);
        const bool gone = n.ended();
        if (!gone && used <= memory_limit_mb) continue;
        n.kill();
        down[i] = now;
        ++ends[i];
        record.write(n.name() + (gone ? " has ended"
                                      : " is killed: it uses " +
                                            std::to_string(used) + " MB"));
      }
      sleep_s(0.01);
    }
  });

  std::atomic<int> answers[600] = {};
  std::atomic<int> lost = 0;
  const std::string chunk = [] {
    char head[16];
    std::snprintf(head, sizeof head, "%zx\r\n", chunk_bytes);
    return head + std::string(chunk_bytes, 'x') + "\r\n";
  }();
  const auto choose = [&](int consumer, int attempt) -> int {
    const bool follows = consumer < crowd_share * consumers;
    const int first = crowded;
    for (int i = 0; first >= 0 && follows && i < node_count; ++i) {
      if (in[(first + i) % node_count]) return (first + i) % node_count;
    }
    for (int i = 0; i < node_count; ++i) {
      const int at = (consumer + attempt + i) % node_count;
      if (in[at]) return at;
    }
    return consumer % node_count;
  };
  for (int c = 0; c < consumers; ++c) {
    threads.emplace_back([&, c] {
      sleep_s(c * 0.01);
      for (int i = 0; !over; ++i) {
        int status = 0;
        const std::string id = std::to_string(c) + "-" + std::to_string(i);
        const int to = choose(c, i);
        const auto out = connection::to(s.nodes[to]->callers(), 1);
        bool sent = out->open() &&
                    out->write(
                        "POST /upload/1 HTTP/1.1\r\nHost: callers.example\r\n"
                        "X-Request-Id: " +
                        id +
                        "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer "
                        "key\r\nTransfer-Encoding: chunked\r\n"
                        "Connection: close\r\n\r\n");
        const bool opened = sent;
        const double begun = now_s();
        for (size_t at = 0; sent && !over && at < body_bytes;
             at += chunk_bytes) {
          sent = out->write(chunk);
          sleep_s(begun + upload_s * static_cast<double>(at) / body_bytes -
                  now_s());
        }
        if (sent) sent = out->write("0\r\n\r\n");
        if (opened) {
          const auto answer = out->read(8);
          status = answer ? answer->status() : 0;
        }
        if (over) return;
        if (opened)
          record.write("sent " + id + " to node " + std::to_string(to + 1) +
                       " status " + std::to_string(status));
        if (opened && status == 0) ++lost;
        ++answers[std::min(status, 599)];
        sleep_s(opened ? 0.2 : 0.5);
      }
    });
  }
  for (int i = 0; i < episodes; ++i) {
    sleep_s(5);
    if (with_trouble()) {
      record.write("most new connections go to one node");
      crowded = i % 2;
    }
    sleep_s(crowd_s);
    crowded = -1;
    record.write("connections are spread again");
  }
  over = true;
  for (auto& t : threads) t.join();
  int machines = 0;
  for (int i = 0; i < node_count; ++i) {
    record.write(s.nodes[i]->name() + ": ended " + std::to_string(ends[i]) +
                 " times, at most " + std::to_string(peak[i]) + " MB");
    if (ends[i] >= 3) ++machines;
  }
  record.write("runs " + std::to_string(runs) +
               ", answered 200: " + std::to_string(answers[200]) +
               ", 503: " + std::to_string(answers[503]) +
               ", no answer: " + std::to_string(lost));
  if (answers[200] == 0) return 2;
  return machines >= 2 ? 1 : 0;
}
