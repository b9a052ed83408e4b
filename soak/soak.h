// A randomized soak test: real node processes in front of a small fleet, faults
// drawn from a seed, and the invariants that must hold throughout.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "callers.h"
#include "child-process.h"
#include "fault-proxy.h"
#include "http-fetch.h"

namespace spokesail::soak {

/// Parameters of one run.
struct soak_options {
  uint64_t seed = 1;
  int nodes = 3;
  int callers = 8;
  /// How long each of the two phases lasts.
  absl::Duration time = absl::Seconds(12);
  /// Paths of the programs, and the folder for settings and logs.
  std::string node_program;
  std::string fleet_program;
  std::string folder;
};

/// Result of a run.
struct soak_result {
  std::vector<std::string> breaches;
  /// Number of requests by outcome.
  std::map<std::string, int> outcomes;
  int faults = 0;
};

/// One run of the soak test.
class soak_run {
 public:
  soak_run(boost::asio::io_context& loop, soak_options options);

  /// Executes the run, from the start of the processes to the checks.
  boost::asio::awaitable<soak_result> run();

 private:
  /// An entry host: its process, and the proxies between it and the callers and
  /// between it and the store.
  struct entry_host {
    std::string settings_file;
    std::string log_file;
    child_process process;
    /// Whether its process has been killed since its last start.
    bool killed = false;
    absl::Time started;
    std::unique_ptr<fault_proxy> callers_proxy;
    std::unique_ptr<fault_proxy> store_proxy;
  };
  /// A period during which a fault was active or a key was revoked.
  struct fault_window {
    absl::Time from;
    absl::Time to = absl::InfiniteFuture();
    /// Whether the fault is planned and must not cut off any request.
    bool planned = false;
    /// Whether sound servers answer late meanwhile, so that requests may miss
    /// their deadlines.
    bool delays = false;
  };

  boost::asio::awaitable<bool> start_fleet();
  boost::asio::awaitable<bool> start_nodes(const std::string& store);
  void add_node(int index, const std::string& store);
  bool start_process(entry_host& host);
  /// Waits until all nodes serve requests. Returns false if they do not within
  /// the limit.
  boost::asio::awaitable<bool> wait_until_serving(absl::Duration limit);
  boost::asio::awaitable<bool> is_serving(const std::string& address);
  /// Starts as many callers as the options say.
  void start_callers(const std::string& prefix, random_stream& draws);
  /// Stops the callers and waits until their last requests have ended.
  boost::asio::awaitable<void> stop_callers();
  /// Sends a control call to the fleet's process. Returns null if it does not
  /// answer.
  boost::asio::awaitable<nlohmann::json> control_fleet(std::string call,
                                                       nlohmann::json body);

  // Faults: soak-faults.cc.

  /// Stops and restarts nodes as planned, one after the other.
  boost::asio::awaitable<void> inject_planned_stops();
  /// Injects faults at random intervals; several may be active at once.
  boost::asio::awaitable<void> inject_faults();
  /// Injects one fault and waits for its end.
  boost::asio::awaitable<void> inject_fault(uint64_t kind);
  boost::asio::awaitable<void> restart_node(int signal);
  boost::asio::awaitable<void> pause_node();
  boost::asio::awaitable<void> inject_proxy_fault(fault_proxy& proxy);
  boost::asio::awaitable<void> inject_server_fault();
  boost::asio::awaitable<void> isolate_server();
  boost::asio::awaitable<void> revoke_key();
  boost::asio::awaitable<void> set_fault(std::string name, nlohmann::json value,
                                         nlohmann::json normal);
  /// A random duration between the two given.
  absl::Duration random_duration(absl::Duration min, absl::Duration max);
  entry_host& random_host();
  size_t begin_fault(const char* what, bool planned);

  // Series, which go on until `series_over`: soak-series.cc.

  /// Changes of the configuration, SIGHUP and bursts of callers.
  boost::asio::awaitable<void> work_in_series();
  /// Sound servers that are silent or slow.
  boost::asio::awaitable<void> pause_in_series();

  // Checks: soak-checks.cc.

  /// Checks the callers' results against the fleet's record of runs.
  void check_all(const nlohmann::json& record);
  /// Collects the breaches found by the callers, and counts the outcomes.
  void count_outcomes();
  /// Checks that no refused request ran, that each one ran at most as often as
  /// allowed and for its own workspace, and that a caller has sent it.
  void check_runs(const nlohmann::json& record);
  /// Checks that no request ran with a key that had been revoked for longer
  /// than the deadline.
  void check_keys(const nlohmann::json& record);
  /// Checks that no request that had reached a server was cut off, and none
  /// failed, except by an unplanned fault or by its deadline while servers were
  /// late.
  void check_planned_stops(const nlohmann::json& record);
  /// Whether a fault may have ended this request.
  bool may_be_fault_effect(const sent_request& r) const;

  boost::asio::io_context& loop;
  soak_options options;
  random_stream random;
  http_fetcher fetcher;
  child_process fleet;
  std::string control_address;
  std::vector<std::unique_ptr<entry_host>> hosts;
  /// Addresses at which callers reach the nodes.
  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<caller>> callers;
  std::vector<fault_window> fault_windows;
  int active_faults = 0;
  int active_series = 0;
  bool series_over = false;
  /// Whether the second key is currently revoked.
  bool key_revoked = false;
  /// Periods during which the second key was revoked, each from the response to
  /// the change.
  std::vector<fault_window> key_revocations;
  soak_result result;
};

}  // namespace spokesail::soak
