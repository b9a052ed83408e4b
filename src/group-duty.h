// The duty of forming groups, held by one node at a time under a lease.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "node-context.h"
#include "node-gossip.h"
#include "spokesail/backoff.h"
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

  /// Whether this node holds the lease and means to keep it.
  bool holds() const;
  /// Name of the node that holds the lease; empty if none is known to.
  std::string holder() const;
  /// The lease for the peers; nothing if this node does not hold it.
  std::optional<lease_word> word() const;
  /// Live nodes by name, this one included; ranks candidates for the lease.
  std::function<std::vector<std::string>()> candidates;
  /// Servers that the controller found not to answer.
  std::vector<std::string> silent() const;

  /// Takes the lease as a peer that holds it says it is.
  void observe(const lease_word& word);

  /// Takes a suspicion.
  void suspect(const std::string& server);

 private:
  /// Keeps the lease beside the steps, since the store may be slow.
  boost::asio::awaitable<void> keep_lease();
  /// Takes or renews the lease if it is time to.
  boost::asio::awaitable<void> look_at_lease();
  /// Whether this node may ask for the lease now.
  bool may_ask() const;
  /// This node's part of the wait before candidates take a lease over.
  double turn();
  /// Reads the lease from the store. False if the store does not answer.
  boost::asio::awaitable<bool> read_lease();
  boost::asio::awaitable<void> write_lease();
  boost::asio::awaitable<void> send_order(group_order order);
  boost::asio::awaitable<void> ask_report(std::string server,
                                          std::string address);
  /// Has the controller begin or end with the lease.
  void take_term();
  /// Carries out the controller's next decisions.
  void step();

  node_context& node;
  group_controller controller;
  spokesail::lease lease;
  /// Whether the lease's state is known, from the store or from a peer.
  bool lease_read = false;
  bool giving_up = false;
  /// Whether the controller acts.
  bool term_active = false;
  /// Until when this node leaves the duty to others.
  absl::Time stood_down_until = absl::InfinitePast();
  /// When the lease is first read, if no peer has told of it by then.
  absl::Time first_read = absl::InfiniteFuture();
  /// Until when the store is not called for the lease, after a failed call.
  absl::Time quiet_until = absl::InfinitePast();
  backoff pauses;
  /// This start of this node, as the lease's holder.
  std::string self;
};

}  // namespace spokesail
