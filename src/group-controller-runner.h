// The duty of forming groups, held by one node at a time under a lease.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "lease-manager.h"
#include "node-context.h"
#include "spokesail/group-controller.h"

namespace spokesail {

/// Carries out what the controller decides while this node holds the lease.
class group_controller_runner {
 public:
  group_controller_runner(node_context& node, lease_manager& manager);

  /// Runs until the process ends.
  boost::asio::awaitable<void> run();

  /// What the holder says beside the lease itself.
  holder_state published_state() const;

  /// Takes a suspicion.
  void suspect(const std::string& server);

 private:
  /// Has the controller begin or end with the lease.
  void sync_with_lease();
  /// Loads of the holder before this one, as far as this node heard of them.
  earlier_loads known_earlier_loads() const;
  /// The division of hosts that was last in force, as far as this node knows.
  std::vector<model_share> known_shares() const;
  /// Tells the controller what callers ask for.
  void update_demand();
  /// Carries out the controller's next decisions.
  void step();
  void log_summaries(const std::vector<model_summary>& models);
  void log_notes(const std::vector<controller_event>& notes);
  boost::asio::awaitable<void> send_order(group_order order);
  void log_order(const group_order& order, order_result end,
                 const std::string& why);
  boost::asio::awaitable<void> fetch_report(std::string server,
                                            std::string address);

  node_context& node;
  lease_manager& manager;
  group_controller controller;
  /// Whether the controller acts.
  bool term_active = false;
  /// The division of this node's last term, and when that ended.
  std::vector<model_share> last_shares;
  absl::Time last_term_end = absl::InfinitePast();
  /// When the controller was last told what callers ask for, and when that was
  /// last logged.
  absl::Time demand_updated = absl::InfinitePast();
  absl::Time demand_logged = absl::InfinitePast();
};

}  // namespace spokesail
