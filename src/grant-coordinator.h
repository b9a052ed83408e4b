// Requests and issues grants for servers that are cold or advertise a rate
// limit.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "lease-manager.h"
#include "peer-link.h"
#include "spokesail/grant-issuer.h"

namespace spokesail {

/// Keeps the combined load of all nodes on these servers within their rates.
/// Requests grants from the lease holder, and issues grants while this node
/// holds the lease.
class grant_coordinator {
 public:
  grant_coordinator(node_context& node, peer_link& link, lease_manager& manager)
      : node(node), link(link), manager(manager), issuer(node.cold.times()) {}

  /// Sends a grant request if one is due and removes expired grants. Must be
  /// called often, since callers' requests may be waiting for a grant.
  void step();

  /// Responds to a peer's grant request if this node holds the lease. Sends
  /// nothing if there is neither a grant nor a newer rate limit to return.
  void handle_request(const std::string& peer, const grant_request& request);
  /// Adds the grants and rate limits of a response from the lease holder.
  void handle_response(const std::string& peer, const grant_response& response);

  void set_gauges() const;

 private:
  /// Begins or ends the term for grants if the lease was acquired or lost.
  void update_term(absl::Time now);
  void send_request(absl::Time now);
  grant_response grant(const std::string& peer, const grant_request& request,
                       absl::Time now);
  /// Configured request rate of a server while it is cold, in requests per
  /// second; 0 if the server or its service is unknown.
  double cold_rate_of(const std::string& server) const;
  /// The bucket for grants to a server, from its advertised limit and, while it
  /// is cold, its cold rate.
  token_bucket_params bucket_of(const server_request_count& wanted,
                                absl::Time now) const;
  /// Merges the limit reports of a peer. Returns this node's state of those
  /// that differ.
  std::vector<limit_report> merge_limits(
      const std::vector<limit_report>& reports, absl::Time now);
  /// Number of cold servers in this node's directory.
  int count_cold_servers() const;

  node_context& node;
  peer_link& link;
  lease_manager& manager;
  grant_issuer issuer;
  /// Fencing number of the current term; nothing while another node holds the
  /// lease.
  std::optional<int64_t> term;
};

}  // namespace spokesail
