// Times and bounds of the group controller.
#pragma once

#include <absl/time/time.h>

#include "spokesail/model-shares.h"

namespace spokesail {

/// Times and bounds of the group controller.
struct group_controller_options {
  /// How long an acknowledged order stands for a server's own word, which
  /// reaches this node through the store.
  absl::Duration assumption_ttl = absl::Milliseconds(1200);
  /// A server that did not answer is asked again after this long.
  absl::Duration probe_retry_interval = absl::Milliseconds(500);
  /// What a group may take to form beyond the time its slowest member needs.
  absl::Duration formation_slack = absl::Seconds(3);
  /// How long running streams may end when a member is about to leave.
  absl::Duration drain_timeout = absl::Milliseconds(1500);
  /// How long a group serves on at most with a member that has announced its
  /// stop: most of the time for which such a server still serves. Hosts that
  /// are replaced leave one after the other, and a group that is formed anew at
  /// each of them hardly serves.
  absl::Duration leaving_member_grace = absl::Milliseconds(1400);
  /// Part of a domain's hosts kept free for repairs, 0 to 1, rounded up.
  /// A domain of eight keeps two, one of nineteen three.
  double spare_share = 0.15;
  /// Whether hosts kept for repairs serve in groups of their own meanwhile.
  bool spares_serve = true;
  /// Whether hosts kept for repairs take the weights that they hold into their
  /// engines, by joining a group that never opens and leaving it. A host whose
  /// last group was of the same model joins within 0.2 s, where it needs one to
  /// two seconds from the weights on the host, so that a group that lost a
  /// member serves again that much sooner.
  bool warm_spares = true;
  /// Whether groups of a smaller model give way to a larger one that has hardly
  /// any left (`may_yield`), and hold its weights for that. Off unless asked
  /// for: hosts that hold them are then missed where the smaller model's
  /// requests come in bursts.
  bool smaller_yield = false;
  /// Whether hosts are divided among models by what callers ask for, rather
  /// than by the stated shares alone.
  bool follow_demand = false;
  /// What a change of that division has to bring.
  reallocation_rules reallocation;
  /// How long the streams of a group may end whose hosts go to another model:
  /// as long as callers wait for the longest answers.
  absl::Duration reassign_drain_timeout = absl::Seconds(8);
  /// Window in which loads from the weight store are counted, and the excess
  /// over the store's rate that it tolerates.
  absl::Duration load_window = absl::Seconds(5);
  double load_excess = 1.1;
  /// Loads in a window that are left unused, for those of an earlier holder
  /// whose orders are carried out late.
  int load_reserve = 5;
  /// A holder that finds more than this part of the servers silent in most
  /// data halls is itself cut off and gives its lease up.
  double isolation_threshold = 0.3;
  bool operator==(const group_controller_options&) const = default;
};

}  // namespace spokesail
