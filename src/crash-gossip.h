// Tells other nodes of requests that crash servers, and hears of them.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <set>
#include <string>

#include "peer-link.h"
#include "spokesail/crash-spread.h"

namespace spokesail {

/// Passes what this node learns on, and asks others now and then whether they
/// know the same: at once after a start or a suspension, and again and again
/// for nodes that were cut off while others counted.
class crash_gossip {
 public:
  crash_gossip(node_context& node, peer_link& link)
      : node(node), link(link), spread(node.settings.node) {}

  /// Tells and asks until the process ends.
  boost::asio::awaitable<void> run();

  /// Takes what a peer says.
  void handle_report(const std::string& peer, const crash_report& said);

 private:
  void send_updates(const std::vector<std::string>& peers, absl::Time now);
  /// Asks one peer, if it is time to.
  void send_digest(const std::vector<std::string>& peers, absl::Time now);
  /// Sends a peer all that is proved.
  void send_evidence(const std::string& peer, absl::Time now);
  /// Writes down which requests have come into quarantine, or out of it.
  void log_quarantine_changes(absl::Time now);

  node_context& node;
  peer_link& link;
  crash_spread spread;
  absl::Time digest_sent_at = absl::InfinitePast();
  /// Whether a peer has answered since this node started.
  bool has_synced = false;
  std::set<request_identity> quarantined;
};

}  // namespace spokesail
