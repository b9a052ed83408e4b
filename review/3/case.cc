// A node is killed and starts again while a worker leaves: nodes that receive
// changes from it never hear that the worker has gone.
#include "fleet.h"

using namespace review;

namespace {

constexpr int node_count = 9;
constexpr int rounds = 6;
constexpr double drain_s = 2;
/// How long a worker serves on after that before it ends.
constexpr double serves_on_s = 5;
constexpr double contact_s = 3;
constexpr double restart_delay = 0.2;
/// From the kill until the worker's entry disappears.
constexpr double entry_gone_after = 0.1;

struct departure {
  worker* who = nullptr;
  double gone = 0;
};

}  // namespace

int main(int, char** argv) {
  deployment fleet(node_count, rounds + 3, 0.06);
  if (!fleet.start()) return 2;
  sleep_for(4);
  consumers callers(fleet.fronts, fleet.log);
  callers.start(90, "/status/");
  sleep_for(3);
  std::vector<departure> left;
  /// When a node was killed or started.
  std::map<std::string, std::vector<double>> struck;
  bool sound = true;
  for (int round = 0; round < rounds; ++round) {
    // As `node_kill` does: first that which last wrote under a condition.
    const std::string writer = fleet.platform.last_writer();
    node* victim = fleet.find(writer);
    if (victim == nullptr) return 2;
    const double at = seconds();
    if (trouble()) {
      victim->signal(SIGKILL);
      struck[writer].push_back(at);
      fleet.log.write(writer + " is killed");
    }
    sleep_until(at + entry_gone_after);
    worker* leaving = fleet.workers[static_cast<size_t>(round)].get();
    fleet.platform.remove("servers", leaving->id);
    left.push_back({leaving, seconds()});
    fleet.log.write("the entry of " + leaving->id + " has gone");
    sleep_until(at + restart_delay);
    if (trouble()) {
      victim->finish();
      victim->start();
      struck[writer].push_back(seconds());
      fleet.log.write(writer + " is started again");
    }
    sleep_until(left.back().gone + drain_s + serves_on_s);
    for (node* n : fleet.fronts) sound = sound && n->running();
    leaving->end();
    fleet.log.write(leaving->id + " has ended");
    sleep_for(0.5);
  }
  sleep_for(1);
  callers.stop();
  std::map<std::string, sent_request> sent;
  int served = 0;
  for (const auto& r : callers.all()) {
    sent[r.id] = r;
    served += r.status == 200 ? 1 : 0;
  }
  int late = 0;
  int lost = 0;
  for (const departure& d : left) {
    std::map<std::string, int> by_node;
    for (const auto& a : d.who->arrivals()) {
      const sent_request& r = sent[a.id];
      if (r.sent <= d.gone + drain_s || a.at <= d.gone + drain_s) continue;
      const auto& strikes = struck[r.node];
      const bool in_touch =
          std::none_of(strikes.begin(), strikes.end(), [&](double strike) {
            return strike <= a.at && a.at - strike <= contact_s;
          });
      if (!in_touch) continue;
      by_node[r.node]++;
      ++late;
      lost += r.status != 200 ? 1 : 0;
      fleet.log.write("late " + a.id + " from " + r.node + " at " + d.who->id +
                      ", " + std::to_string(a.at - d.gone) +
                      " s after its entry had gone");
    }
    std::printf("%s:", d.who->id.c_str());
    for (const auto& [name, count] : by_node)
      std::printf(" %s sent %d too late", name.c_str(), count);
    std::printf("\n");
  }
  std::printf(
      "%d served, %d too late at workers that had gone, of which %d "
      "were lost\n",
      served, late, lost);
  fleet.log.write("too late at workers that had gone: " + std::to_string(late) +
                  ", lost " + std::to_string(lost));
  for (node* n : fleet.fronts) n->finish();
  fleet.log.save(argv[1]);
  if (served < 100 || !sound) return 2;
  return late > 0 ? 1 : 0;
}
