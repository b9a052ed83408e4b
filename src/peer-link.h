// Datagrams between nodes, and the nodes that there are.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <string>

#include "node-context.h"
#include "node-message.h"

namespace spokesail {

/// Another node.
struct peer_node {
  boost::asio::ip::udp::endpoint endpoint;
  std::string hall;
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

  void send(const std::string& peer,
            std::variant<gossip, news_request, news> content);
  /// Sends to all peers of this data hall, or of all others.
  void send_all(const gossip& content, bool other_halls);

  /// Peers that were heard of lately, by name.
  std::map<std::string, peer_node> live() const;
  size_t size() const { return this->peers.size(); }

  std::function<void(const std::string& peer, const gossip&)> on_gossip;
  std::function<void(const std::string& peer, const news_request&)> on_request;
  std::function<void(const std::string& peer, const news&)> on_news;

 private:
  boost::asio::awaitable<bool> enroll();
  boost::asio::awaitable<void> list_peers(bool stale);
  void take(const node_message& message,
            const boost::asio::ip::udp::endpoint& from);
  void count_live();
  bool reachable(const peer_node& p) const;
  void send_to(const peer_node& p, const std::string& bytes);

  node_context& node;
  boost::asio::ip::udp::socket socket;
  uint64_t boot = 0;
  uint64_t sequence = 0;
  /// Revision of this node's own object in the store.
  int64_t own_revision = 0;
  std::map<std::string, peer_node> peers;
};

}  // namespace spokesail
