// Datagrams between nodes, and the nodes that there are.
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
  /// Its part of a processor core.
  float cores = 1;
  uint64_t boot = 0;
  uint64_t sequence = 0;
  absl::Time last_heard = absl::InfinitePast();
  absl::Time listed = absl::InfinitePast();
};

/// Sends and receives messages. Nodes find each other through objects of
/// their own kind in the platform's store.
class peer_link {
 public:
  explicit peer_link(node_context& node);

  /// Registers this node in the store and keeps the list of peers.
  boost::asio::awaitable<void> maintain_peers();

  /// Receives until the process ends.
  boost::asio::awaitable<void> receive();

  void send(const std::string& peer, message_content content);
  /// Sends to all peers of this data hall, or of all others.
  void send_all(const message_content& content, bool other_halls);

  /// Peers of this data hall that were heard of lately.
  std::vector<relay_candidate> live_local_peers() const;
  /// This data hall's living nodes, this one included, as news passes down.
  std::vector<std::string> hall_relay_order() const;
  /// Peers of this data hall that were heard of lately, and peers of the others
  /// that may be spoken to.
  std::vector<std::string> reachable_peers() const;
  /// Nodes of other halls that may be spoken to, by hall.
  std::map<std::string, std::vector<relay_candidate>> remote_hall_peers() const;
  /// Peers of this data hall, or of all others, that may be spoken to.
  int count_reachable_peers(bool other_halls) const;
  /// Peers of other halls that were heard of lately.
  int count_live_remote_peers() const;
  /// Where a peer listens; empty if it is not known.
  std::string address_of(const std::string& name) const;
  /// Whether the store's list of nodes has been read.
  bool listed() const { return this->list_read; }
  /// The data hall of a node; empty if it is not known.
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
  /// How a reading of the list of nodes ended.
  enum class list_result {
    failed,
    /// This node's own entry is not on it, or says something else.
    own_entry_missing,
    own_entry_present
  };
  /// What this node's entry in the store says.
  std::string own_entry() const;
  boost::asio::awaitable<bool> enroll();
  boost::asio::awaitable<list_result> list_peers(bool stale);
  /// Takes another node's entry.
  void apply_peer_entry(const object& o);
  /// Waits for about this long; nodes that started together drift apart.
  boost::asio::awaitable<void> jittered_sleep(absl::Duration time);
  void handle_message(const node_message& message,
                      const boost::asio::ip::udp::endpoint& from);
  bool reachable(const peer_node& p) const;
  bool alive(const peer_node& p) const;
  bool in_own_hall(const peer_node& p) const;
  /// Hands a message to the part of the node that it is for.
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
