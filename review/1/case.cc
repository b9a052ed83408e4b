// An entry of `servers` that another writer has left, with one field nested
// deeply: all nodes end, again and again, and lose the requests they hold.
#include "fleet.h"

using namespace review;

namespace {

constexpr int node_count = 3;
constexpr int connections_per_node = 4;
/// Brackets of the nested field; the entry has twice as many bytes.
constexpr size_t depth = 200000;
constexpr double restart_delay = 0.5;
/// Lost requests beyond which the rule is broken.
constexpr int allowed_losses = 3;

/// A request on a kept connection that ended without an answer.
struct loss {
  std::string id;
  std::string node;
  double at;
};

/// A consumer that keeps its connection for many requests.
class keeper {
 public:
  keeper(int number, node& front, recorder& record)
      : index(number), to(front), log(record), thread([this] { run(); }) {}
  ~keeper() { stop(); }
  void stop() {
    stopping = true;
    if (thread.joinable()) thread.join();
  }

  std::vector<loss> losses;
  int answers = 0;

 private:
  void run() {
    int next = 0;
    while (!stopping) {
      const int fd = connection::dial(to.front(), 1.0);
      if (fd < 0) {
        sleep_for(0.2);
        continue;
      }
      connection link(fd);
      for (int on_link = 0; !stopping; ++on_link) {
        const std::string id =
            "r" + std::to_string(index) + "-" + std::to_string(next++);
        const double sent = seconds();
        log.write("send " + id + " to " + to.id);
        message out;
        const bool whole =
            link.write(
                "POST /status/" + id +
                " HTTP/1.1\r\nHost: callers.example\r\nX-Request-Id: " + id +
                "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer "
                "key-1\r\nContent-Length: 2\r\n\r\nhi") &&
            link.read(out, sent + 4.5);
        if (!whole) {
          log.write("closed " + id + " without an answer by " + to.id);
          if (on_link > 0) losses.push_back({id, to.id, seconds()});
          break;
        }
        log.write("answer " + id + " status " + std::to_string(out.status()));
        if (out.status() == 200) ++answers;
        if (out.field("connection") == "close") break;
        sleep_for(out.status() == 200 ? 0.02 : 0.3);
      }
    }
  }

  const int index;
  node& to;
  recorder& log;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace

int main(int, char** argv) {
  deployment fleet(node_count, 6, 0.06);
  if (!fleet.start()) return 2;
  std::vector<std::unique_ptr<keeper>> consumers;
  for (node* n : fleet.fronts) {
    for (int i = 0; i < connections_per_node; ++i) {
      consumers.push_back(std::make_unique<keeper>(
          static_cast<int>(consumers.size()), *n, fleet.log));
    }
  }
  sleep_for(5);
  if (trouble()) {
    fleet.platform.put("servers", "other",
                       "{\"service\":" + std::string(depth, '[') +
                           std::string(depth, ']') + "}");
    fleet.log.write("the entry of another writer is in the store");
  }
  const double until = seconds() + 15;
  std::map<std::string, int> ends;
  std::map<node*, double> start_at;
  while (seconds() < until) {
    for (node* n : fleet.fronts) {
      if (start_at.count(n) != 0) {
        if (seconds() < start_at[n]) continue;
        start_at.erase(n);
        n->start();
      } else if (!n->running()) {
        ends[n->id]++;
        fleet.log.write(n->id + " ended by itself, wait status " +
                        std::to_string(n->status));
        start_at[n] = seconds() + restart_delay;
      }
    }
    sleep_for(0.01);
  }
  int answers = 0;
  std::vector<loss> losses;
  for (const auto& c : consumers) {
    c->stop();
    answers += c->answers;
    losses.insert(losses.end(), c->losses.begin(), c->losses.end());
  }
  std::set<std::string> runs;
  for (const auto& w : fleet.workers) {
    for (const auto& a : w->arrivals()) runs.insert(a.id);
  }
  const auto lost =
      std::count_if(losses.begin(), losses.end(),
                    [&](const loss& l) { return runs.count(l.id) != 0; });
  int all_ends = 0;
  for (const auto& [name, count] : ends) {
    all_ends += count;
    std::printf("%s ended by itself %d times\n", name.c_str(), count);
  }
  std::printf("%d answered, %d lost on kept connections, %d own ends\n",
              answers, static_cast<int>(lost), all_ends);
  fleet.log.write("lost on kept connections, passed on to a sound worker: " +
                  std::to_string(lost) + ", own ends " +
                  std::to_string(all_ends));
  for (node* n : fleet.fronts) n->finish();
  fleet.log.save(argv[1]);
  if (answers < 100) return 2;
  return lost > allowed_losses ? 1 : 0;
}
