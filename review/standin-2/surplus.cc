// A member of an open group crashes. The head of the group gets the order to
// leave, carries it out late, and a surplus answer to an earlier report comes
// in the place of its answer. No worker may take a join of another group while
// the head of its own is open or stands still.
#include "engines.h"

namespace {

using namespace review;

constexpr int node_count = 2;
constexpr int engine_count = 8;
constexpr int size = 3;
constexpr int callers = 12;
const std::string model = "model-a";

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  recorder record(argv[2]);
  site s(argv[1], node_count, 1, 6, 0.06);
  json config = site::config(1, {"key"});
  config["services"].push_back(engines::service(model, size));
  for (auto& route : config["routes"]) {
    if (route["name"] == "draft") route["service"] = "lm";
  }
  engines e(s.platform, record, model, size);
  for (int i = 0; i < engine_count; ++i) {
    const std::string ip = s.prefix + "3." + std::to_string(i + 1);
    if (!e.add("e" + std::to_string(i + 1), {ip, free_port(ip)})) return 2;
  }
  if (!s.start(config)) {
    record.write("not all nodes got ready");
    return 2;
  }
  const double until = now_s() + 20;
  while (e.open_group().empty() && now_s() < until) sleep_s(0.1);
  if (e.open_group().empty()) {
    record.write("no group has opened");
    return 2;
  }
  std::atomic<bool> over = false;
  std::atomic<int> whole = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < callers; ++t) {
    threads.emplace_back([&, t] {
      sleep_s(t * 0.1);
      for (int i = 0; !over; ++i) {
        const auto c = connection::to(s.nodes[t % node_count]->callers(), 1);
        const std::string id = std::to_string(t) + "-" + std::to_string(i);
        const bool sent =
            c->open() &&
            c->write(
                "POST /draft/1 HTTP/1.1\r\nHost: callers.example\r\n"
                "X-Request-Id: " +
                id + "\r\nX-Model: " + model +
                "\r\nX-Token-Usage: 1420,135\r\nX-Prompt-Prefix: " +
                "5c1e07a2:40," + std::to_string(1000 + t * 100 + i) +
                ":1380\r\nX-Deadline-Ms: 8000\r\n"
                "Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n");
        const auto out = sent ? c->read(9) : std::nullopt;
        if (out && out->status() == 200) ++whole;
        record.write("sent " + id + " status " +
                     std::to_string(out ? out->status() : 0));
        sleep_s(0.2);
      }
    });
  }
  sleep_s(6);
  const std::vector<std::string> group = e.open_group();
  if (group.size() != size) {
    record.write("no group is open");
    over = true;
    for (auto& t : threads) t.join();
    return 2;
  }
  if (with_trouble()) e.set_trouble({group[0], "leave", 4.0});
  e.crash(group[1]);
  sleep_s(12);
  over = true;
  for (auto& t : threads) t.join();
  record.write("whole streams " + std::to_string(whole) + ", surplus answers " +
               std::to_string(e.surplus_answers) + ", joins against the rule " +
               std::to_string(e.broken_joins));
  if (whole == 0) return 2;
  return e.broken_joins > 0 ? 1 : 0;
}
