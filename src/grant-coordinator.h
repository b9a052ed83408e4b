// Requests and grants sends to servers that are cold or advertise a rate limit.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "lease-manager.h"
#include "peer-link.h"
#include "spokesail/grant-issuer.h"

namespace spokesail {

/// Keeps requests to these servers within their rates: asks the lease holder
/// for grants, and issues grants while this node is the holder.
class grant_coordinator {
 public:
  grant_coordinator(node_context& node, peer_link& link, lease_manager& manager)
      : node(node), link(link), manager(manager), ledger(node.cold.times()) {}

  /// Asks if it is time to, and drops what is over. To be called often: a
  /// request may be waiting for the answer.
  void step();

  /// Answers a peer, if this node holds the lease and has something to grant.
  void handle_request(const std::string& peer, const grant_request& asked);
  /// Takes what the holder grants.
  void handle_response(const std::string& peer, const grant_response& said);

  void set_gauges() const;

 private:
  /// Begins or ends the ledger's term with the lease.
  void update_term(absl::Time now);
  void send_request(absl::Time now);
  grant_response grant(const std::string& peer, const grant_request& asked,
                       absl::Time now);
  /// Requests a second that a server bears while it is cold; 0 if this node
  /// does not know it.
  double cold_rate_of(const std::string& server) const;
  /// The bucket for grants to a server, from its advertised limit and, while it
  /// is cold, its cold rate.
  token_bucket_params bucket_of(const server_request_count& wanted,
                                absl::Time now) const;
  /// Merges the asker's limit reports. Returns this node's state where it
  /// differs.
  std::vector<limit_report> merge_limits(const std::vector<limit_report>& said,
                                         absl::Time now);
  /// Servers that are cold by this node's news.
  int count_cold_servers() const;

  node_context& node;
  peer_link& link;
  lease_manager& manager;
  grant_issuer ledger;
  /// Fence of the term that the ledger is in; nothing if it is in none.
  std::optional<int64_t> term;
};

}  // namespace spokesail
