// Exchanges evidence on what crashes servers with other nodes.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <set>
#include <string>

#include "peer-link.h"
#include "spokesail/crash-spread.h"

namespace spokesail {

/// Gossips new evidence, and periodically compares digests with a random peer
/// (anti-entropy). The comparison updates a node that has restarted, was
/// suspended, or was partitioned while others recorded crashes.
class crash_gossip {
 public:
  crash_gossip(node_context& node, peer_link& link)
      : node(node), link(link), spread(node.settings.node) {}

  /// Sends gossip and digests until the process ends.
  boost::asio::awaitable<void> run();

  /// Handles a report from a peer: merges its evidence, or answers its digest.
  void handle_report(const std::string& peer, const crash_report& report);

 private:
  /// Sends the gossip messages of one round.
  void send_updates(const std::vector<std::string>& peers, absl::Time now);
  /// Sends the digest to a random peer if the period is over.
  void send_digest(const std::vector<std::string>& peers, absl::Time now);
  /// Sends a peer the evidence on all traits with enough crashes.
  void send_evidence(const std::string& peer, absl::Time now);
  /// Logs which traits have entered or left quarantine.
  void log_quarantine_changes(absl::Time now);

  node_context& node;
  peer_link& link;
  crash_spread spread;
  /// When the digest was last sent.
  absl::Time digest_sent_at = absl::InfinitePast();
  /// Whether a peer has answered since this node started. Until then the digest
  /// is sent in every round, so that a restarted node catches up at once.
  bool has_synced = false;
  /// When old evidence was last removed.
  absl::Time expired_at = absl::InfinitePast();
  /// Traits in quarantine when they were last logged.
  std::set<request_trait> quarantined;
};

}  // namespace spokesail
