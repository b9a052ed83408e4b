// What nodes tell each other in datagrams: requests in flight, servers that
// fell silent, who holds the lease.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "node-context.h"

namespace spokesail {

/// The lease as its holder last wrote it.
struct lease_word {
  int64_t version = 0;
  std::string record;
  bool operator==(const lease_word&) const = default;
};

/// One node's message to the others.
struct gossip_message {
  std::string node;
  /// Chosen at random at each start.
  uint64_t boot = 0;
  uint64_t sequence = 0;
  std::vector<place_load> places;
  std::vector<std::string> suspects;
  /// Set by the holder of the lease.
  std::optional<lease_word> lease;
  bool requests_seen = false;
  /// Servers that do not answer, by the word of the holder of the lease.
  std::vector<std::string> silent;
  bool operator==(const gossip_message&) const = default;
};

/// A message as bytes, and back; nothing if the bytes are no message.
std::string encode_gossip(const gossip_message& message);
std::optional<gossip_message> decode_gossip(const char* data, size_t size);

/// Sends and receives messages. Nodes find each other through objects of
/// their own kind in the platform's store.
class node_gossip {
 public:
  explicit node_gossip(node_context& node);

  /// Registers this node in the store and keeps the list of peers.
  boost::asio::awaitable<void> keep_peers();

  /// Receives until the process ends.
  boost::asio::awaitable<void> receive();

  /// Sends what has changed, at a bounded rate, until the process ends.
  boost::asio::awaitable<void> send();

  /// What this node says as the holder of the lease; nothing if it is not.
  std::function<std::optional<lease_word>()> lease;
  /// The holder's word on servers that do not answer.
  std::function<std::vector<std::string>()> silent;
  /// Called with the lease of a peer that holds it.
  std::function<void(const lease_word&)> on_lease;
  /// Called with a server that a peer suspects.
  std::function<void(const std::string&)> on_suspect;

 private:
  struct peer {
    boost::asio::ip::udp::endpoint endpoint;
    uint64_t boot = 0;
    uint64_t sequence = 0;
    absl::Time heard = absl::InfinitePast();
    absl::Time listed = absl::InfinitePast();
  };
  absl::Duration period() const;
  void take(const gossip_message& message);
  void send_all(const std::string& bytes);
  void count_live();

  node_context& node;
  boost::asio::ip::udp::socket socket;
  uint64_t boot = 0;
  uint64_t sequence = 0;
  std::map<std::string, peer> peers;
};

}  // namespace spokesail
