// Small fakes at the reducer's interfaces, in virtual time: a platform, the
// hosts of one data hall, and the entry hosts' reducers between them.
#pragma once

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "spokesail/reducer.h"

namespace spokesail::test {

/// A fake backend server of an engine host.
struct fake_host {
  host_info info;
  bool alive = true;
  absl::Time paused_until = absl::InfinitePast();
  host_report report;
  absl::Time ready_at = absl::InfinitePast();
  int running = 0;
  int64_t boots = 0;
  /// When it last stood ready in each group and incarnation.
  std::map<std::pair<std::string, int64_t>, absl::Time> stood;
  /// Orders with an old number that it took, or was asked to take.
  int old_orders_taken = 0;
  int old_orders_refused = 0;
};

/// One entry host's process.
struct fake_node {
  node_state state;
  bool alive = true;
  absl::Time paused_until = absl::InfinitePast();
  bool cut_from_platform = false;
  bool cut_from_peers = false;
  bool watching = false;
  /// Its watch broke: it lists again when the platform can be reached.
  bool list_again = false;
  bool exited = false;
  std::vector<event_body> held;
  uint64_t generation = 0;
};

/// A request's story: attempts that a host ran, and its end.
struct fake_request {
  int runs = 0;
  bool repeatable = true;
  std::vector<outcome> ends;
};

/// Shape of a fake hall.
struct fake_options {
  int nodes = 3;
  int domains = 2;
  int hosts_per_domain = 4;
  int accelerators = 8;
  /// Every host of an odd domain ignores fencing numbers.
  bool some_ignore_fencing = true;
  absl::Duration load_time = absl::Seconds(5);
  absl::Duration regroup_time = absl::Milliseconds(100);
  absl::Duration run_time = absl::Milliseconds(200);
  uint64_t seed = 1;
  node_options node;
};

/// One data hall in virtual time.
class fake_hall {
 public:
  explicit fake_hall(const fake_options& options);

  /// Runs until `duration` has passed; checks what must hold on the way.
  void run_for(absl::Duration duration);
  /// Runs until `done`, at most for `limit`. Gives whether it became so.
  bool run_until(const std::function<bool()>& done, absl::Duration limit);

  /// Accepts a configuration, as an operator would.
  void accept(const configuration& config);
  /// Writes one object, as the platform itself would.
  void put(const object_key& key, const std::string& body);
  void erase(const object_key& key);

  void kill_node(size_t i);
  /// Starts a node anew, with nothing kept.
  void start_node(size_t i);
  void pause_node(size_t i, absl::Duration duration);
  void kill_host(const std::string& name);
  void revive_host(const std::string& name);
  void pause_host(const std::string& name, absl::Duration duration);
  void set_leaving(const std::string& name);

  /// Sends a request in at a node. Gives its id.
  uint64_t request(size_t node, const std::string& model, bool repeatable,
                   absl::Duration deadline = absl::Seconds(30));

  /// The node that leads the hall, or -1.
  int leader() const;
  /// Groups of the model that are open at a node.
  int open_groups(size_t node, const std::string& model) const;
  placement document() const;

  absl::Time now;
  fake_options options;
  std::vector<fake_node> nodes;
  std::map<std::string, fake_host> hosts;
  std::map<uint64_t, fake_request> requests;
  std::map<object_key, object> objects;
  int64_t version = 0;
  bool platform_down = false;
  /// The next writes take effect, but their answers are lost.
  int lose_answers = 0;
  /// Orders take this long on their way.
  absl::Duration order_delay = absl::Milliseconds(1);
  int64_t platform_calls = 0;
  int64_t heartbeats = 0;
  int64_t events = 0;
  /// What should never happen, as it was seen.
  std::set<std::string> violations;
  /// Group-seconds of wanted replicas that were not open, and accelerator-
  /// seconds of live hosts outside open groups, as the first live node saw it.
  double downtime = 0;
  double stranded = 0;

 private:
  struct job {
    absl::Time at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const job& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void after(absl::Duration delay, std::function<void()> run);
  void deliver(size_t node, event_body body);
  void take(size_t node, const event_body& body);
  void tick(size_t node, uint64_t generation);
  void carry_out(size_t node, const effect& e);
  void send_lists(size_t node, bool with_lease);
  void do_call(size_t node, const platform_effect& e);
  platform_answer apply_call(const platform_call& call);
  void do_probe(size_t node, const probe_effect& e);
  void do_order(size_t node, const order& o);
  void take_order(const order& o);
  void do_attempt(size_t node, const attempt_start& start);
  void end_attempt(size_t node, const attempt_start& start, uint64_t boots);
  void notify(const object& o);
  void settle_hosts();
  void check();
  void measure(absl::Duration step);
  size_t node_at(const std::string& peer_address) const;
  bool reachable(size_t a, size_t b) const;
  absl::Duration latency();
  fake_host* host_at(const std::string& address);

  std::priority_queue<job> jobs;
  uint64_t job_count = 0;
  uint64_t request_count = 0;
  random_stream random;
  std::map<std::string, int64_t> seen_fence;
  std::set<std::string> cancelled;
  std::map<uint64_t, absl::Time> heartbeat_sent;
};

/// A configuration with one model.
configuration one_model(int hosts_per_replica, int replicas,
                        int minimum_serving = 0);

}  // namespace spokesail::test
