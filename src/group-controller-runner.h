// Runs the group controller on the node that holds its lease.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "lease-manager.h"
#include "node-context.h"
#include "spokesail/group-controller.h"
#include "spokesail/step-pacer.h"

namespace spokesail {

/// Carries out the controller's decisions while this node holds the lease.
class group_controller_runner {
 public:
  group_controller_runner(node_context& node, lease_manager& manager);

  /// Runs until the process ends.
  boost::asio::awaitable<void> run();

  /// The holder state that is sent along with the lease.
  holder_state published_state() const;

  /// Reports a server that may be down to the controller.
  void suspect(const std::string& server);

 private:
  /// Starts or ends the controller's term when the lease is taken or lost.
  void sync_with_lease();
  /// Loads of the previous holder, as far as this node received its state.
  earlier_loads known_earlier_loads() const;
  /// The last shares in force that this node knows of.
  std::vector<model_share> known_shares() const;
  /// Gives up the lease if this node may have lost its links to the servers.
  void leave_lease_if_partitioned();
  /// Passes the current demand to the controller.
  void update_demand();
  /// What the controller's next step works on.
  step_pacer::inputs step_inputs() const;
  /// Runs a step if one is due.
  void step_if_due();
  /// Runs one step of the controller and carries out its result.
  void step();
  void log_summaries(const std::vector<model_summary>& models);
  void log_events(const std::vector<controller_event>& events);
  boost::asio::awaitable<void> send_order(group_order order);
  void log_order(const group_order& order, order_result outcome,
                 const std::string& reason);
  boost::asio::awaitable<void> fetch_report(std::string server,
                                            std::string address);

  node_context& node;
  lease_manager& manager;
  group_controller controller;
  step_pacer pacer;
  /// Counts the controller's inputs since the start.
  uint64_t events = 0;
  /// Whether the controller is in a term.
  bool term_active = false;
  /// The shares at the end of this node's last term, and when that was.
  std::vector<model_share> last_shares;
  absl::Time last_term_end = absl::InfinitePast();
  /// When demand was last passed to the controller, and when it was last
  /// logged.
  absl::Time demand_updated = absl::InfinitePast();
  absl::Time demand_logged = absl::InfinitePast();
};

}  // namespace spokesail
