// Passes news of the store on between nodes, so that few of them watch it.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>

#include "peer-link.h"

namespace spokesail {

/// In each data hall one node watches the store and passes on what it learns.
/// The others ask it; the age of its knowledge counts from when they asked,
/// so that a late answer is never taken for a fresh one. A node whose relay
/// does not answer, or does not know better, asks the next, and in the end
/// watches the store itself.
class news_relay {
 public:
  news_relay(node_context& node, peer_link& link) : node(node), link(link) {}

  /// Asks the relay until the process ends.
  boost::asio::awaitable<void> run();

  /// Whether this node has to watch the store itself.
  bool watches_store() const;

  /// Passes changes of the servers on to those that ask this node.
  void push();

  void answer(const std::string& peer, const news_request& request);
  void take(const std::string& peer, const news& said);

  /// Whether this node needs news without delay.
  std::function<bool()> urgent;
  /// Called when a relay knows a later configuration.
  std::function<void()> on_config;
  /// Called when the servers have changed.
  std::function<void()> on_servers;

 private:
  void ask();
  std::string choose_relay() const;
  news compose(int64_t from) const;
  void fail(const std::string& peer, const char* why);

  node_context& node;
  peer_link& link;
  /// Who asked this node lately, and up to where they know the servers.
  struct follower {
    absl::Time asked;
    int64_t revision = 0;
  };
  std::map<std::string, follower> followers;
  /// Relays that failed this node, and until when they are passed over.
  std::map<std::string, absl::Time> failed;
  std::string relay;
  uint64_t nonce = 0;
  absl::Time asked_at = absl::InfinitePast();
  bool answered = true;
  int missed = 0;
};

}  // namespace spokesail
