// An entry of `servers` that another writer has left, with bytes that can't be
// read: no node hears of any change of workers from then on.
#include "fleet.h"

using namespace review;

namespace {

constexpr double drain_s = 2;
/// How long the worker serves on after that before it ends.
constexpr double serves_on_s = 4;

/// The spec of the entry. A byte that is not UTF-8 is written as the escape of
/// a lone surrogate, so that the store's answers are JSON. With VARIANT=raw the
/// byte stands there itself; with VARIANT=number `slots` is beyond any number.
std::string unreadable_spec() {
  const char* set = std::getenv("VARIANT");
  const std::string variant = set == nullptr ? "" : set;
  if (variant == "raw") return "{\"service\":\"\xff\",\"state\":\"ready\"}";
  if (variant == "number") return "{\"service\":\"records\",\"slots\":1e999}";
  return "{\"service\":\"\\udcff\",\"state\":\"ready\"}";
}

}  // namespace

int main(int, char** argv) {
  deployment fleet(3, 4, 0.06);
  if (!fleet.start()) return 2;
  consumers callers(fleet.fronts, fleet.log);
  callers.start(150, "/status/");
  sleep_for(5);
  if (trouble()) {
    fleet.platform.put("servers", "other", unreadable_spec());
    fleet.log.write("the entry of another writer is in the store");
  }
  sleep_for(4);
  worker& leaving = *fleet.workers.front();
  fleet.platform.put("servers", leaving.id, leaving.entry("draining"));
  const double ack = seconds();
  fleet.log.write("the store has acknowledged that " + leaving.id +
                  " is draining");
  sleep_until(ack + drain_s + serves_on_s);
  const bool all_run = std::all_of(fleet.fronts.begin(), fleet.fronts.end(),
                                   [](node* n) { return n->running(); });
  leaving.end();
  fleet.log.write(leaving.id + " has ended");
  fleet.platform.remove("servers", leaving.id);
  sleep_for(2);
  callers.stop();
  std::map<std::string, sent_request> sent;
  int served = 0;
  for (const auto& r : callers.all()) {
    sent[r.id] = r;
    served += r.status == 200 ? 1 : 0;
  }
  int before = 0;
  int late = 0;
  int lost = 0;
  std::map<std::string, int> by_node;
  for (const auto& a : leaving.arrivals()) {
    const sent_request& r = sent[a.id];
    if (a.at <= ack) ++before;
    if (r.sent <= ack + drain_s || a.at <= ack + drain_s) continue;
    ++late;
    by_node[r.node]++;
    fleet.log.write("late " + a.id + " from " + r.node + ", " +
                    std::to_string(a.at - ack) + " s after the ack");
    lost += r.status != 200 ? 1 : 0;
  }
  for (const auto& [name, count] : by_node)
    std::printf("%s sent %d requests to it too late\n", name.c_str(), count);
  std::printf(
      "%d served; at the draining worker: %d before, %d too late, of "
      "which %d were lost\n",
      served, before, late, lost);
  // What a node knows that starts now.
  node& again = *fleet.fronts.front();
  again.signal(SIGTERM);
  const double stopped = seconds();
  while (again.running() && seconds() < stopped + 10) sleep_for(0.05);
  again.finish();
  again.start();
  const bool back = wait_ready({&again}, 12);
  std::printf("a node that is started again is %s 12 s later\n",
              back ? "ready" : "not ready");
  fleet.log.write(std::string("a node that is started again is ") +
                  (back ? "ready" : "not ready") + " 12 s later");
  for (node* n : fleet.fronts) n->finish();
  fleet.log.save(argv[1]);
  if (served < 100 || before == 0 || !all_run) return 2;
  return late > 0 ? 1 : 0;
}
