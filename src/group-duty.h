// The duty of forming groups, held by one node at a time under a lease.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <string>

#include "node-context.h"
#include "node-gossip.h"
#include "spokesail/group-controller.h"
#include "spokesail/lease.h"

namespace spokesail {

/// Takes and keeps the lease, and carries out what the controller decides.
class group_duty {
 public:
  explicit group_duty(node_context& node);

  /// Runs until the process ends.
  boost::asio::awaitable<void> run();

  /// Gives the lease up, for a process that stops.
  void stop();

  bool holds() const;
  std::optional<lease_word> word() const;
  std::vector<std::string> silent() const;

  /// Takes the lease as a peer that holds it says it is.
  void observe(const lease_word& word);

  /// Takes a suspicion.
  void suspect(const std::string& server);

 private:
  boost::asio::awaitable<void> keep_lease();
  boost::asio::awaitable<void> write_lease();
  boost::asio::awaitable<void> send_order(group_order order);
  boost::asio::awaitable<void> ask_report(std::string server,
                                          std::string address);
  void take_term();
  void step();

  node_context& node;
  group_controller controller;
  spokesail::lease lease;
  bool lease_read = false;
  bool giving_up = false;
  bool term_active = false;
  absl::Time stood_down_until = absl::InfinitePast();
  absl::Time heard_holder = absl::InfinitePast();
  std::string self;
};

}  // namespace spokesail
