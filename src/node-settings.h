// The settings of one `spokesail node` process, read from a YAML file.
#pragma once

#include <absl/time/time.h>

#include <boost/leaf.hpp>
#include <cstddef>
#include <string>

#include "spokesail/group-controller.h"
#include "spokesail/lease.h"
#include "spokesail/node-policy.h"
#include "spokesail/retry-budget.h"
#include "spokesail/settings.h"
#include "spokesail/staleness.h"

namespace spokesail {

/// Everything that a node learns from its settings file.
struct node_settings {
  std::string node;
  std::string hall;
  /// Where callers connect.
  std::string caller_address;
  /// Where the platform asks whether the node takes connections.
  std::string ready_address;
  std::string metrics_address;
  /// Where other nodes send their datagrams.
  std::string peer_address;
  std::string platform_address;
  /// The node's part of a processor core; nodes with more of it pass news on
  /// and form groups.
  float cores = 1;
  /// Descriptors that sockets may take.
  int max_sockets = 1024;
  /// Bytes of memory that the process may take; 0 if that is not known.
  size_t memory = 0;
  /// How old news of the platform's store may become.
  staleness_bounds bounds;
  /// Whether requests with keys are refused once a node cannot tell if a key
  /// was taken away. If not, a node that is cut off serves on with the keys it
  /// knows.
  bool keys_fail_closed = true;
  /// The process is killed this long after it was asked to stop.
  absl::Duration stop_grace = absl::Seconds(8);
  retry_limits retries;
  node_policy policy;
  group_controller_options groups;
  lease_timing lease;
};

/// Reads and checks a node's settings file. Fails with a `yaml_error`.
boost::leaf::result<node_settings> read_node_settings(const std::string& file);

}  // namespace spokesail
