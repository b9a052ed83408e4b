// What each node tells all others: requests in flight, servers that fell
// silent, who holds the lease.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "peer-link.h"

namespace spokesail {

/// Sends this node's gossip and takes that of the others.
class node_gossip {
 public:
  node_gossip(node_context& node, peer_link& link) : node(node), link(link) {}

  /// Sends what has changed, at a bounded rate, until the process ends.
  boost::asio::awaitable<void> run();

  void take(const std::string& peer, const gossip& said);

  /// What this node says as the holder of the lease; nothing if it is not.
  std::function<std::optional<lease_word>()> lease;
  /// The holder's word on servers that do not answer.
  std::function<std::vector<std::string>()> silent;
  /// Called with the lease of a peer that holds it.
  std::function<void(const lease_word&)> on_lease;
  /// Called with a server that a peer suspects.
  std::function<void(const std::string&)> on_suspect;

 private:
  /// The last message to one half of the nodes.
  struct last_word {
    gossip said;
    absl::Time at = absl::InfinitePast();
    absl::Time next = absl::InfinitePast();
  };
  absl::Duration period(bool far) const;
  void tell(bool far, absl::Time now);
  gossip compose(absl::Time now);

  node_context& node;
  peer_link& link;
  last_word hall_word;
  last_word far_word;
};

}  // namespace spokesail
