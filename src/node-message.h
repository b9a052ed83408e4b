// Messages between nodes and their encoding.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "holder-state.h"
#include "spokesail/change-relay.h"
#include "spokesail/crash-evidence.h"
#include "spokesail/crash-trials.h"
#include "spokesail/endpoint-speed.h"
#include "spokesail/evacuation.h"
#include "spokesail/grant-messages.h"
#include "spokesail/load-table.h"
#include "spokesail/model-demand.h"
#include "spokesail/peer-table.h"
#include "spokesail/server-directory.h"
#include "spokesail/server-limits.h"

namespace spokesail {

/// A node's periodic message to its peers, sent at a bounded rate.
struct gossip {
  /// Load on endpoints from the sender, or from its whole data hall.
  std::vector<endpoint_load> places;
  /// Set by the lease holder only.
  std::optional<holder_part> holder;
  /// Whether the sender or a peer of it has received requests.
  bool requests_seen = false;
  /// Number of live nodes in the sender's data hall if the message summarizes
  /// the hall; 0 if it describes the sender alone.
  int hall_nodes = 0;
  /// Nodes of the sender's hall to which other halls send their gossip.
  std::vector<std::string> hall_contacts;
  /// Speeds of groups as measured by the sender.
  std::vector<endpoint_speed> speeds;
  /// Demand of the callers of the sender, or of its whole data hall.
  std::vector<model_demand> demand;
  /// Whether the sender may have lost its links to the servers.
  bool servers_unreachable = false;
  bool operator==(const gossip&) const = default;
};

/// Requests the changes of the store from a relay.
struct store_update_request {
  /// Copied into the response.
  uint64_t nonce = 0;
  /// The server changes that the sender already has.
  follower_position servers;
  /// The holder's state that the sender has.
  holder_position holder;
  bool operator==(const store_update_request&) const = default;
};

/// One change of a server.
struct server_change {
  listed_server server;
  /// Whether the server was removed.
  bool gone = false;
  /// Time until a server whose entry is missing counts as removed; zero while
  /// its entry exists.
  absl::Duration expires_in = absl::ZeroDuration();
  /// Time until the server is warm; zero if it is.
  absl::Duration cold_remaining = absl::ZeroDuration();
  bool operator==(const server_change&) const = default;
};

/// All servers in a range of ids as of a revision.
struct server_range {
  id_range ids;
  int64_t revision = 0;
  bool operator==(const server_range&) const = default;
};

/// Server changes that fit one datagram.
struct server_change_batch {
  /// `changes` has all changes after `from_revision`, up to and including
  /// `to_revision`.
  int64_t from_revision = 0;
  int64_t to_revision = 0;
  /// The sender knows all removals after this revision.
  int64_t removals_since = 0;
  /// If set, `changes` has all servers in this range instead, and the removals
  /// in it. `from_revision` is then 0, and `to_revision` is 0 except in the
  /// last of the ranges that were sent together.
  std::optional<server_range> range;
  std::vector<server_change> changes;
  bool operator==(const server_change_batch&) const = default;

  /// The revision as of which `changes` is complete.
  int64_t as_of() const {
    return this->range ? this->range->revision : this->to_revision;
  }
};

/// Changes of the store, sent by a relay.
struct store_update {
  /// Nonce of the request; 0 if the message is not a response.
  uint64_t nonce = 0;
  int64_t config_revision = 0;
  /// Time since the sender verified that this configuration is in force.
  absl::Duration config_age = absl::ZeroDuration();
  /// Time since the sender verified that it has all changes of servers.
  absl::Duration servers_age = absl::ZeroDuration();
  /// Whether the sender's last call to the store was answered.
  bool store_reachable = true;
  server_change_batch servers;
  /// Whether the sender knows all servers and this message has the last of
  /// them.
  bool all_servers = false;
  /// The holder's state as last received by the sender.
  std::optional<holder_part> holder;
  /// Requests in flight from remote halls.
  std::vector<endpoint_load> remote_places;
  /// Number of live nodes in remote halls.
  int remote_nodes = 0;
  /// Whether the sender or a peer of it has received requests.
  bool requests_seen = false;
  /// Data halls from which nothing is received any more, and the time since
  /// that was found; infinite if the sender does not know.
  std::set<std::string> silent_halls;
  absl::Duration silent_halls_age = absl::InfiniteDuration();
  /// The evacuated data halls; nullopt if the sender does not know them.
  std::optional<evacuation_snapshot> evacuations;
  bool operator==(const store_update&) const = default;
};

/// Reports unresponsive servers to the lease holder or to the nodes of the
/// hall.
struct suspicion {
  std::vector<std::string> servers;
  /// The group that lost the servers; empty if unknown.
  std::string group;
  bool operator==(const suspicion&) const = default;
};

/// Reports traits of requests that crash the servers that run them.
struct crash_report {
  std::vector<crash_update> evidence;
  /// Digest of the traits that are over the crash threshold at the sender.
  uint64_t digest = 0;
  /// Whether the receiver must respond. The response has the receiver's updates
  /// if its digest differs.
  bool wants_reply = false;
  bool operator==(const crash_report&) const = default;
};

/// Reports rate limits that have changed or ended.
struct limit_update {
  std::vector<limit_report> reports;
  bool operator==(const limit_update&) const = default;
};

/// Reports servers that have announced their end.
struct departure_update {
  std::vector<server_instance> servers;
  bool operator==(const departure_update&) const = default;
};

/// Content of a datagram.
using message_content =
    std::variant<gossip, store_update_request, store_update, suspicion,
                 crash_report, grant_request, grant_response, limit_update,
                 peer_query, peer_report, holder_part, departure_update,
                 trial_request, trial_response>;

/// One datagram.
struct node_message {
  std::string node;
  std::string hall;
  /// Random number chosen at each start of the process.
  uint64_t boot = 0;
  /// Grows with each message since the start.
  uint64_t sequence = 0;
  /// Number of processor cores of the sender, which may be a fraction.
  float cores = 1;
  message_content content;
  bool operator==(const node_message&) const = default;
};

/// Encodes a message.
std::string encode(const node_message& message);
/// Decodes a message; nullopt if the bytes are not a valid message.
std::optional<node_message> decode_message(const char* data, size_t size);

}  // namespace spokesail
