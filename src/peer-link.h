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
  absl::Time heard = absl::InfinitePast();
  absl::Time listed = absl::InfinitePast();
};

/// Sends and receives messages. Nodes find each other through objects of
/// their own kind in the platform's store.
class peer_link {
 public:
  explicit peer_link(node_context& node);

  /// Registers this node in the store and keeps the list of peers.
  boost::asio::awaitable<void> keep_peers();

  /// Receives until the process ends.
  boost::asio::awaitable<void> receive();

  void send(const std::string& peer, message_content content);
  /// Sends to all peers of this data hall, or of all others.
  void send_all(const message_content& content, bool other_halls);

  /// Peers of this data hall that were heard of lately.
  std::vector<relay_candidate> live_near() const;
  /// This data hall's living nodes, this one included, as news passes down.
  std::vector<std::string> hall_order() const;
  /// Peers of this data hall that were heard of lately, and peers of the others
  /// that may be spoken to.
  std::vector<std::string> reachable_peers() const;
  /// Nodes of other halls that may be spoken to, by hall.
  std::map<std::string, std::vector<relay_candidate>> far_halls() const;
  /// Peers of this data hall, or of all others, that may be spoken to.
  int count_reachable(bool other_halls) const;
  /// Peers of other halls that were heard of lately.
  int count_live_far() const;
  /// Where a peer listens; empty if it is not known.
  std::string address_of(const std::string& name) const;
  /// Whether the store's list of nodes has been read.
  bool listed() const { return this->listed_once; }
  /// The data hall of a node; empty if it is not known.
  std::string hall_of(const std::string& name) const;
  size_t size() const { return this->peers.size(); }

  std::function<void(const std::string& peer, const gossip&)> on_gossip;
  std::function<void(const std::string& peer, const news_request&)> on_request;
  std::function<void(const std::string& peer, const news&)> on_news;
  std::function<void(const suspicion&)> on_suspicion;
  std::function<void(const std::string& peer, const crash_report&)> on_crashes;
  std::function<void(const std::string& peer, const cold_request&)>
      on_cold_request;
  std::function<void(const std::string& peer, const cold_grant&)> on_cold_grant;
  std::function<void(const std::string& peer, const limit_news&)> on_limit_news;

 private:
  /// How a reading of the list of nodes ended.
  enum class list_result {
    failed,
    /// This node's own entry is not on it, or says something else.
    lacks_own,
    holds_own
  };
  /// What this node's entry in the store says.
  std::string own_entry() const;
  boost::asio::awaitable<bool> enroll();
  boost::asio::awaitable<list_result> list_peers(bool stale);
  /// Takes another node's entry.
  void take_entry(const object& o);
  /// Waits for about this long; nodes that started together drift apart.
  boost::asio::awaitable<void> pause(absl::Duration time);
  void take(const node_message& message,
            const boost::asio::ip::udp::endpoint& from);
  bool reachable(const peer_node& p) const;
  bool alive(const peer_node& p) const;
  bool near(const peer_node& p) const;
  /// Hands a message to the part of the node that it is for.
  void hand_over(const node_message& message);
  node_message compose(message_content content);
  void send_to(const peer_node& p, const std::string& bytes);

  node_context& node;
  boost::asio::ip::udp::socket socket;
  uint64_t boot = 0;
  uint64_t sequence = 0;
  /// Revision of this node's own object in the store.
  int64_t own_revision = 0;
  std::map<std::string, peer_node> peers;
  bool listed_once = false;
};

}  // namespace spokesail
