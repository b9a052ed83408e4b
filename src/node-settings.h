// The settings of one `spokesail node` process, read from a YAML file.
#pragma once

#include <absl/time/time.h>

#include <boost/leaf.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "spokesail/group-controller.h"
#include "spokesail/lease.h"
#include "spokesail/node-policy.h"
#include "spokesail/retry-budget.h"
#include "spokesail/settings.h"
#include "spokesail/staleness.h"

namespace spokesail {

/// All settings of a node.
struct node_settings {
  std::string node;
  std::string hall;
  /// Address for callers' connections.
  std::string caller_address;
  /// Address of the readiness probe, which tells the platform whether the node
  /// accepts connections.
  std::string ready_address;
  std::string metrics_address;
  /// Address for datagrams and configuration reads of other nodes.
  std::string peer_address;
  std::string platform_address;
  /// Addresses of nodes that know others. Only their IP numbers count, since
  /// all nodes receive messages at the same port. They may be out of date.
  std::vector<std::string> seeds;
  /// Number of processor cores, which may be a fraction. Nodes with more cores
  /// are preferred as relays and as lease holder.
  float cores = 1;
  /// Bandwidth of the host's link in bytes per second; 0 if unknown.
  double link_bytes_per_s = 0;
  /// Maximum number of file descriptors for sockets.
  int max_sockets = 1024;
  /// Memory limit of the process in bytes; 0 if unknown.
  size_t memory = 0;
  /// Maximum age of data from the platform's store.
  staleness_bounds bounds;
  /// Whether requests with keys are refused while the node cannot verify that
  /// the key was not revoked. Otherwise a node that cannot reach the store
  /// continues to accept the keys it knows.
  bool keys_fail_closed = true;
  /// The platform kills the process this long after asking it to stop.
  absl::Duration stop_grace = absl::Seconds(8);
  retry_limits retries;
  node_policy policy;
  group_controller_options groups;
  lease_timing lease;
};

/// Reads and checks a node's settings file. Fails with a `yaml_error`.
boost::leaf::result<node_settings> read_node_settings(const std::string& file);

}  // namespace spokesail
