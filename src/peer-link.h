// Datagrams between nodes.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "node-context.h"
#include "node-message.h"
#include "spokesail/peer-table.h"
#include "spokesail/relay-choice.h"

namespace spokesail {

/// Sends and receives messages, and keeps the table of the nodes that they go
/// to and come from (see node-discovery.h for how they are found).
class peer_link {
 public:
  explicit peer_link(node_context& node);

  /// Receives messages until the process ends.
  boost::asio::awaitable<void> receive();

  void send(const std::string& peer, message_content content);
  /// Sends to a node of unknown name.
  void send_to_address(const std::string& address, message_content content);
  /// Sends to all peers of this data hall, or to those of all remote halls.
  void send_all(const message_content& content, bool remote_halls);

  /// Live peers of this data hall.
  std::vector<relay_candidate> live_local_peers() const;
  /// Live nodes of this data hall, including this one, in relay order.
  std::vector<std::string> hall_relay_order() const;
  /// Live peers of this data hall and reachable peers of remote halls.
  std::vector<std::string> reachable_peers() const;
  /// Reachable nodes of remote data halls, by hall.
  std::map<std::string, std::vector<relay_candidate>> remote_hall_peers() const;
  /// Nodes that could carry connections to servers for this one.
  std::vector<proxy_node> proxies() const;
  /// Number of reachable peers of this data hall, or of all remote halls; up to
  /// `count_lifetime` old.
  int count_reachable_peers(bool remote_halls) const;
  /// Number of live peers of remote data halls.
  int count_live_remote_peers() const;
  /// Address at which a peer listens; empty if unknown.
  std::string address_of(const std::string& name) const;
  /// The data hall of a peer; empty if unknown.
  std::string hall_of(const std::string& name) const;
  size_t size() const { return this->peers.size(); }
  /// The nodes to which messages are sent.
  peer_table& table() { return this->peers; }

  /// Whether the nodes of this hall were listed once.
  bool listed() const { return this->list_read; }
  void set_listed() { this->list_read = true; }

  std::function<void(const std::string& peer, const gossip&)> on_gossip;
  std::function<void(const std::string& peer, const store_update_request&)>
      on_request;
  std::function<void(const std::string& peer, const store_update&)>
      on_store_update;
  std::function<void(const suspicion&)> on_suspicion;
  std::function<void(const std::string& peer, const crash_report&)> on_crashes;
  std::function<void(const std::string& peer, const grant_request&)>
      on_grant_request;
  std::function<void(const std::string& peer, const grant_response&)>
      on_grant_response;
  std::function<void(const std::string& peer, const limit_update&)>
      on_limit_update;
  std::function<void(const std::string& peer, const peer_query&)> on_peer_query;
  std::function<void(const peer_report&)> on_peer_report;
  std::function<void(const holder_part&)> on_holder_part;
  std::function<void(const std::string& peer, const departure_update&)>
      on_departures;
  std::function<void(const std::string& peer, const trial_request&)>
      on_trial_request;
  std::function<void(const trial_response&)> on_trial_response;

 private:
  /// Identifies the start of a peer's process, and the last message from it.
  struct message_position {
    uint64_t boot = 0;
    uint64_t sequence = 0;
  };
  /// Numbers of reachable peers as of a time.
  struct peer_counts {
    absl::Time at = absl::InfinitePast();
    int local = 0;
    int remote = 0;
  };
  /// Applies a received message, unless it is older than the last one.
  void handle_message(const node_message& message,
                      const boost::asio::ip::udp::endpoint& from);
  /// Whether the message was overtaken by a later one of the same process.
  bool is_overtaken(const node_message& message, absl::Time now);
  /// Calls the callback for the message's type.
  void dispatch(const node_message& message);
  node_message make_message(message_content content);
  void send_bytes(const std::string& address, const std::string& bytes);

  node_context& node;
  boost::asio::ip::udp::socket socket;
  uint64_t boot = 0;
  uint64_t sequence = 0;
  peer_table peers;
  std::map<std::string, message_position> received;
  mutable peer_counts counts;
  bool list_read = false;
};

}  // namespace spokesail
