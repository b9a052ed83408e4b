// Timing and limits of the group controller.
#pragma once

#include <absl/time/time.h>

#include "spokesail/model-shares.h"

namespace spokesail {

/// Timing and limits of the group controller.
struct group_controller_options {
  /// How long an acknowledged order is assumed to be in effect before the
  /// server's own entry, which reaches this node through the store, shows it.
  absl::Duration assumption_ttl = absl::Milliseconds(1200);
  /// A server that did not answer is probed again after this long.
  absl::Duration probe_retry_interval = absl::Milliseconds(500);
  /// Time allowed for a group to form beyond what its slowest member needs.
  absl::Duration formation_slack = absl::Seconds(3);
  /// How long running streams may take to end when a repair needs their hosts.
  absl::Duration drain_timeout = absl::Milliseconds(1500);
  /// Maximum time for which a group keeps serving after a member has announced
  /// its stop: most of the time for which such a server still serves. Hosts
  /// that are replaced leave one after the other, and a group that was formed
  /// anew for each of them would hardly serve.
  absl::Duration leaving_member_grace = absl::Milliseconds(1400);
  /// Fraction of a domain's hosts kept as spares for repairs, 0 to 1; the
  /// number of hosts is rounded up. A domain of eight keeps two, one of
  /// nineteen three.
  double spare_share = 0.15;
  /// Whether spare hosts serve in groups of their own meanwhile.
  bool spares_serve = true;
  /// Whether spare hosts load the weights that they hold into their engines, by
  /// joining a group that never opens and leaving it. A host whose last group
  /// was of the same model joins within 0.2 s, while loading the weights from
  /// the host takes one to two seconds; a group that lost a member serves again
  /// that much sooner.
  bool warm_spares = true;
  /// Whether wanted groups of a smaller model may be dissolved for a larger one
  /// that has hardly any left (`may_yield`), and their hosts stage its weights
  /// for that. Off by default: the smaller model lacks these hosts when its
  /// requests come in bursts.
  bool smaller_yield = false;
  /// Whether hosts are allocated to models by demand rather than by the
  /// configured shares alone.
  bool follow_demand = false;
  /// Thresholds for changes of that allocation.
  reallocation_rules reallocation;
  /// How long the streams of a group may take to end when its hosts go to
  /// another model or one of them stops: as long as callers wait for the
  /// longest answers. A member that stops stays for somewhat longer.
  absl::Duration long_drain_timeout = absl::Seconds(8);
  /// Window in which loads from the weight store are counted, and the factor by
  /// which the store's rate may be exceeded.
  absl::Duration load_window = absl::Seconds(5);
  double load_excess = 1.1;
  /// Loads in a window that are left unused, for orders of a previous holder
  /// that are executed late.
  int load_reserve = 5;
  /// A holder that finds more than this fraction of the servers unresponsive in
  /// most data halls is itself isolated and gives up its lease.
  double isolation_threshold = 0.3;
  /// A server that accepts connections may be silent for this long before it
  /// counts as unresponsive and gets no new requests.
  absl::Duration pause_tolerance = absl::Seconds(2);
  /// Time after which an engine itself cuts the streams that depend on a server
  /// which has crashed or is partitioned. Until then the streams of a silent
  /// server may resume.
  absl::Duration stall_time = absl::Seconds(5);
  bool operator==(const group_controller_options&) const = default;
};

}  // namespace spokesail
