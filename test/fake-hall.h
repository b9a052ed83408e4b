// Simulation of one data hall in virtual time: fakes of the platform and of the
// hosts, and the reducers of the entry hosts.
#pragma once

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "spokesail/reducer.h"

namespace spokesail::test {

/// A simulated engine host with its backend server.
struct fake_host {
  host_info info;
  bool alive = true;
  absl::Time paused_until = absl::InfinitePast();
  host_report report;
  absl::Time ready_at = absl::InfinitePast();
  int running = 0;
  int64_t boots = 0;
  /// When it was last ready as a member of each group and incarnation.
  std::map<std::pair<std::string, int64_t>, absl::Time> last_ready;
  /// Orders with a stale fencing number that it accepted or refused.
  int stale_orders_accepted = 0;
  int stale_orders_refused = 0;
};

/// A simulated entry host.
struct fake_node {
  node_state state;
  bool alive = true;
  absl::Time paused_until = absl::InfinitePast();
  bool isolated_from_platform = false;
  bool isolated_from_peers = false;
  bool watching = false;
  /// Its watch failed: it has to list again once the platform is reachable.
  bool needs_relist = false;
  bool exited = false;
  /// Events that arrived while the node was paused.
  std::vector<event_body> deferred;
  /// Changes with each start and kill, so that timers of an earlier start are
  /// ignored.
  uint64_t generation = 0;
};

/// A request: the number of attempts that hosts ran, and its outcomes, of which
/// there must be only one.
struct fake_request {
  int runs = 0;
  bool repeatable = true;
  std::vector<outcome> outcomes;
};

/// Parameters of a simulated hall.
struct fake_options {
  int nodes = 3;
  int domains = 2;
  int hosts_per_domain = 4;
  int accelerators = 8;
  /// The hosts of odd-numbered domains ignore fencing numbers.
  bool some_ignore_fencing = true;
  absl::Duration load_time = absl::Seconds(5);
  absl::Duration regroup_time = absl::Milliseconds(100);
  absl::Duration run_time = absl::Milliseconds(200);
  uint64_t seed = 1;
  node_options node;
};

/// A data hall in virtual time.
class fake_hall {
 public:
  explicit fake_hall(const fake_options& options);

  /// Runs for `duration` and checks the invariants on the way.
  void run_for(absl::Duration duration);
  /// Runs until `done` returns true, at most for `timeout`. Returns whether it
  /// did.
  bool run_until(const std::function<bool()>& done, absl::Duration timeout);

  /// Makes `config` the accepted configuration, like an operator.
  void accept(const configuration& config);
  /// Writes one object to the platform.
  void put(const object_key& key, const std::string& body);
  void erase(const object_key& key);

  void kill_node(size_t i);
  /// Restarts a node without any of its earlier state.
  void start_node(size_t i);
  void pause_node(size_t i, absl::Duration duration);
  void kill_host(const std::string& name);
  void revive_host(const std::string& name);
  void pause_host(const std::string& name, absl::Duration duration);
  void set_leaving(const std::string& name);

  /// Sends a request to a node. Returns the request's id.
  uint64_t request(size_t node, const std::string& model, bool repeatable,
                   absl::Duration deadline = absl::Seconds(30));

  /// The node that holds the hall's lease, or -1.
  int leader() const;
  /// Number of groups of the model that are open according to a node.
  int open_groups(size_t node, const std::string& model) const;
  /// The placement stored in the platform.
  placement current_placement() const;

  absl::Time now;
  fake_options options;
  std::vector<fake_node> nodes;
  std::map<std::string, fake_host> hosts;
  std::map<uint64_t, fake_request> requests;
  std::map<object_key, object> objects;
  int64_t version = 0;
  bool platform_down = false;
  /// How many of the next writes take effect but get no response.
  int lose_answers = 0;
  /// Latency of orders.
  absl::Duration order_delay = absl::Milliseconds(1);
  int64_t platform_calls = 0;
  int64_t heartbeats = 0;
  int64_t events = 0;
  /// Violations of the invariants that were observed.
  std::set<std::string> violations;
  /// Group-seconds of wanted replicas that were not open, and accelerator-
  /// seconds of live hosts outside open groups, according to the first live
  /// node.
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
  void handle(size_t node, const event_body& body);
  void tick(size_t node, uint64_t generation);
  void execute(size_t node, const effect& e);
  void send_lists(size_t node, bool with_lease);
  void do_call(size_t node, const platform_effect& e);
  platform_answer apply_call(const platform_call& call);
  void do_probe(size_t node, const probe_effect& e);
  void do_order(size_t node, const order& o);
  void apply_order(const order& o);
  void do_attempt(size_t node, const attempt_start& start);
  void end_attempt(size_t node, const attempt_start& start, uint64_t boots);
  void notify(const object& o);
  void update_hosts();
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
  std::map<std::string, int64_t> highest_fence;
  std::set<std::string> cancelled;
  std::map<uint64_t, absl::Time> heartbeat_sent;
};

/// A configuration with one model.
configuration one_model(int hosts_per_replica, int replicas,
                        int minimum_serving = 0);

}  // namespace spokesail::test
