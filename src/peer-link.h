// Datagrams between nodes, and the list of nodes.
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
#include "spokesail/relay-choice.h"

namespace spokesail {

/// Another node.
struct peer_node {
  boost::asio::ip::udp::endpoint endpoint;
  std::string hall;
  /// Number of processor cores, which may be a fraction.
  float cores = 1;
  /// Identifies the start of the peer's process, and the last message from it.
  uint64_t boot = 0;
  uint64_t sequence = 0;
  /// When the last message was received.
  absl::Time last_heard = absl::InfinitePast();
  /// When the peer was last on the store's list.
  absl::Time last_listed = absl::InfinitePast();
};

/// Sends and receives messages. Nodes discover each other through objects in
/// the platform's store, one per node.
class peer_link {
 public:
  explicit peer_link(node_context& node);

  /// Registers this node in the store and keeps the list of peers up to date.
  boost::asio::awaitable<void> maintain_peers();

  /// Receives messages until the process ends.
  boost::asio::awaitable<void> receive();

  void send(const std::string& peer, message_content content);
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
  /// Number of reachable peers of this data hall, or of all remote halls.
  int count_reachable_peers(bool remote_halls) const;
  /// Number of live peers of remote data halls.
  int count_live_remote_peers() const;
  /// Address at which a peer listens; empty if unknown.
  std::string address_of(const std::string& name) const;
  /// Whether the store's list of nodes has been read.
  bool listed() const { return this->list_read; }
  /// The data hall of a peer; empty if unknown.
  std::string hall_of(const std::string& name) const;
  size_t size() const { return this->peers.size(); }

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

 private:
  /// Result of reading the list of nodes.
  enum class list_result {
    failed,
    /// This node's own entry is missing or differs.
    own_entry_missing,
    own_entry_present
  };
  /// Content of this node's entry in the store, as JSON.
  std::string own_entry() const;
  /// Writes this node's entry. Returns whether the store has it.
  boost::asio::awaitable<bool> enroll();
  boost::asio::awaitable<list_result> list_peers(bool stale);
  /// Applies another node's entry.
  void apply_peer_entry(const object& o);
  /// Sleeps for `time` plus random jitter of up to 20%, which spreads the calls
  /// of nodes that started together.
  boost::asio::awaitable<void> jittered_sleep(absl::Duration time);
  /// Applies a received message, unless it is older than the last one.
  void handle_message(const node_message& message,
                      const boost::asio::ip::udp::endpoint& from);
  /// Whether the peer was listed, or sent a message, recently enough to send to
  /// it.
  bool reachable(const peer_node& p) const;
  /// Whether a message from the peer was received recently.
  bool alive(const peer_node& p) const;
  /// Whether the peer is in this node's data hall.
  bool in_own_hall(const peer_node& p) const;
  /// Calls the callback for the message's type.
  void dispatch(const node_message& message);
  node_message make_message(message_content content);
  void send_to(const peer_node& p, const std::string& bytes);

  node_context& node;
  boost::asio::ip::udp::socket socket;
  uint64_t boot = 0;
  uint64_t sequence = 0;
  /// Revision of this node's own object in the store.
  int64_t own_revision = 0;
  std::map<std::string, peer_node> peers;
  bool list_read = false;
};

}  // namespace spokesail
