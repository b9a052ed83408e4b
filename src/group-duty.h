// The duty of forming groups, held by one node at a time under a lease.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "lease-keeper.h"
#include "node-context.h"
#include "spokesail/group-controller.h"

namespace spokesail {

/// Carries out what the controller decides while this node holds the lease.
class group_duty {
 public:
  group_duty(node_context& node, lease_keeper& keeper);

  /// Runs until the process ends.
  boost::asio::awaitable<void> run();

  /// What the holder says beside the lease itself.
  holder_word word() const;

  /// Takes a suspicion.
  void suspect(const std::string& server);

 private:
  /// Has the controller begin or end with the lease.
  void take_term();
  /// Loads of the holder before this one, as far as this node heard of them.
  earlier_loads heard_loads() const;
  /// Carries out the controller's next decisions.
  void step();
  void log_summaries(const std::vector<model_summary>& models);
  void log_notes(const std::vector<controller_note>& notes);
  boost::asio::awaitable<void> send_order(group_order order);
  void log_order(const group_order& order, order_result end,
                 const std::string& why);
  boost::asio::awaitable<void> ask_report(std::string server,
                                          std::string address);

  node_context& node;
  lease_keeper& keeper;
  group_controller controller;
  /// Whether the controller acts.
  bool term_active = false;
};

}  // namespace spokesail
