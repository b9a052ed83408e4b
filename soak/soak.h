// Real nodes before a small fleet, harmed from outside by a seeded plan, and
// what must hold all the while.
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
#include "faulty-relay.h"
#include "http-fetch.h"

namespace spokesail::soak {

/// What one run is made of.
struct soak_options {
  uint64_t seed = 1;
  int nodes = 3;
  int callers = 8;
  /// How long faults strike.
  absl::Duration time = absl::Seconds(12);
  /// Programs, and where settings and logs go.
  std::string node_program;
  std::string fleet_program;
  std::string folder;
};

/// What a run has shown.
struct soak_result {
  std::vector<std::string> breaches;
  /// Requests by how they ended.
  std::map<std::string, int> ends;
  int faults = 0;
};

/// One run.
class soak_run {
 public:
  soak_run(boost::asio::io_context& loop, soak_options options);

  /// Plays the whole run.
  boost::asio::awaitable<soak_result> play();

 private:
  /// One entry host: its process, and the relays before and behind it.
  struct entry_host {
    std::string settings_file;
    std::string log_file;
    child_process process;
    /// Whether its process was last ended by a kill.
    bool killed = false;
    std::unique_ptr<faulty_relay> callers;
    std::unique_ptr<faulty_relay> store;
  };
  /// A time in which a fault was at work.
  struct struck_time {
    absl::Time from;
    absl::Time to = absl::InfiniteFuture();
    /// Whether it was a planned stop, which must not cut a request off.
    bool planned = false;
  };

  boost::asio::awaitable<bool> start_fleet();
  boost::asio::awaitable<bool> start_nodes(const std::string& store);
  void add_node(int index, const std::string& store);
  bool start_process(entry_host& host);
  /// Waits until all nodes serve. False if they do not within the time.
  boost::asio::awaitable<bool> wait_serving(absl::Duration limit);
  boost::asio::awaitable<bool> serves(const std::string& address);
  void start_callers();
  /// Has the callers send no more, and waits for their last requests.
  boost::asio::awaitable<void> stop_callers();
  /// Asks the fleet's process; null if it does not answer.
  boost::asio::awaitable<nlohmann::json> steer(std::string call,
                                               nlohmann::json body);

  // Faults: soak-faults.cc.

  /// Strikes one fault after the other, some at the same time.
  boost::asio::awaitable<void> strike_all();
  /// One fault, from its beginning to its end.
  boost::asio::awaitable<void> strike(uint64_t kind);
  boost::asio::awaitable<void> restart_node(int signal);
  boost::asio::awaitable<void> pause_node();
  boost::asio::awaitable<void> harm_relay(faulty_relay& relay);
  boost::asio::awaitable<void> harm_servers();
  boost::asio::awaitable<void> darken_server();
  boost::asio::awaitable<void> take_key_away();
  boost::asio::awaitable<void> set_fault(std::string name, nlohmann::json value,
                                         nlohmann::json normal);
  /// A time between these, drawn.
  absl::Duration drawn(absl::Duration least, absl::Duration most);
  entry_host& some_host();
  size_t begin_struck(const char* what, bool planned);

  // What must hold: soak-checks.cc.

  /// Checks what callers saw against the fleet's record of what ran.
  void check_all(const nlohmann::json& record);
  /// Takes the callers' own breaches, and counts requests by their ends.
  void check_ends();
  /// No request ran that was refused, or more often than it may.
  void check_runs(const nlohmann::json& record);
  /// No request ran by a key that had been taken away for long enough.
  void check_keys(const nlohmann::json& record);
  /// No request that a server had was cut off but by an unplanned fault.
  void check_planned_stops(const nlohmann::json& record);
  /// Whether an unplanned fault may have cut this request off.
  bool excused(const sent_request& r) const;

  boost::asio::io_context& loop;
  soak_options options;
  random_stream random;
  http_fetcher fetcher;
  child_process fleet;
  std::string steer_address;
  std::vector<std::unique_ptr<entry_host>> hosts;
  /// Where callers reach the nodes.
  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<caller>> callers;
  std::vector<struck_time> struck;
  int at_work = 0;
  /// Whether the second key is taken away.
  bool key_taken = false;
  /// Times in which the second key was taken away: from the store's answer on.
  std::vector<struck_time> key_gone;
  soak_result result;
};

}  // namespace spokesail::soak
