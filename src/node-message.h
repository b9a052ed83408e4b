// Messages between nodes, and their bytes.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "spokesail/change-relay.h"
#include "spokesail/crash-evidence.h"
#include "spokesail/endpoint-speed.h"
#include "spokesail/evacuation.h"
#include "spokesail/grant-messages.h"
#include "spokesail/load-table.h"
#include "spokesail/model-demand.h"
#include "spokesail/server-directory.h"
#include "spokesail/server-limits.h"

namespace spokesail {

/// The lease as its holder last wrote it.
struct lease_snapshot {
  int64_t version = 0;
  std::string record;
  bool operator==(const lease_snapshot&) const = default;
};

/// What the holder of the lease says. Nodes pass it on to each other.
struct holder_state {
  lease_snapshot lease;
  /// Grows with each word under one version of the lease.
  uint64_t sequence = 0;
  /// Servers that do not answer.
  std::vector<std::string> unresponsive;
  /// Loads of weights that it began within its window.
  int loads_begun = 0;
  /// Its division of hosts among models, where it is not as stated.
  std::vector<model_share> shares;
  bool operator==(const holder_state&) const = default;

  /// Whether this was said after `other`.
  bool newer_than(const holder_state& other) const {
    if (this->lease.version != other.lease.version) {
      return this->lease.version > other.lease.version;
    }
    return this->sequence > other.sequence;
  }
};

/// Sent to peers at a bounded rate.
struct gossip {
  /// What the sender has in flight, or its whole data hall.
  std::vector<endpoint_load> places;
  /// Set by the holder of the lease.
  std::optional<holder_state> holder;
  bool requests_seen = false;
  /// Nodes that live in the sender's data hall, if it speaks for all of them;
  /// 0 if it speaks for itself.
  int hall_nodes = 0;
  /// The first of those nodes, who are told by other halls.
  std::vector<std::string> hall_contacts;
  /// What the sender has seen of groups.
  std::vector<endpoint_speed> speeds;
  /// What callers asked of the sender, or of its whole data hall.
  std::vector<model_demand> demand;
  bool operator==(const gossip&) const = default;
};

/// Asks a relay for what has changed in the store.
struct store_update_request {
  uint64_t nonce = 0;
  /// What the sender has of the servers.
  follower_position servers;
  bool operator==(const store_update_request&) const = default;
};

/// One change of a server.
struct server_change {
  listed_server server;
  bool gone = false;
  /// Time until it counts as gone; zero while its entry stands.
  absl::Duration expires_in = absl::ZeroDuration();
  /// Time until it is warm; zero if it is.
  absl::Duration cold_remaining = absl::ZeroDuration();
  bool operator==(const server_change&) const = default;
};

/// What has changed in the store, by the word of a relay.
struct store_update {
  /// Of the request; 0 if nobody asked.
  uint64_t nonce = 0;
  int64_t config_revision = 0;
  /// Age of the proof that this configuration is in force.
  absl::Duration config_age = absl::ZeroDuration();
  /// Age of the proof that the sender knows all changes of servers.
  absl::Duration servers_age = absl::ZeroDuration();
  /// Whether the sender's last call to the store was answered.
  bool store_reachable = true;
  /// The changes are all those after the first revision up to the second.
  int64_t from_revision = 0;
  int64_t to_revision = 0;
  std::vector<server_change> servers;
  /// Whether the sender knows all servers and these are the last of them.
  bool all_servers = false;
  /// The holder's word, as the sender last heard it.
  std::optional<holder_state> holder;
  /// What other halls have in flight, and the nodes that live there.
  std::vector<endpoint_load> remote_places;
  int remote_nodes = 0;
  bool requests_seen = false;
  /// The evacuated data halls; nothing if the sender does not know them.
  std::optional<evacuation_snapshot> evacuations;
  bool operator==(const store_update&) const = default;
};

/// Tells the holder of the lease, or the nodes of the hall, of servers that do
/// not answer.
struct suspicion {
  std::vector<std::string> servers;
  /// The group that lost the servers; empty if it is not known.
  std::string group;
  bool operator==(const suspicion&) const = default;
};

/// Tells of requests that crash the servers that run them.
struct crash_report {
  std::vector<crash_update> evidence;
  /// Hash of all that the sender holds for proved.
  uint64_t digest = 0;
  /// Whether the receiver is to answer if its own digest is another.
  bool wants_reply = false;
  bool operator==(const crash_report&) const = default;
};

/// Reports rate limits that have changed or ended.
struct limit_update {
  std::vector<limit_report> reports;
  bool operator==(const limit_update&) const = default;
};

/// What a datagram holds.
using message_content =
    std::variant<gossip, store_update_request, store_update, suspicion,
                 crash_report, grant_request, grant_response, limit_update>;

/// One datagram.
struct node_message {
  std::string node;
  std::string hall;
  /// Chosen at random at each start.
  uint64_t boot = 0;
  /// Grows with each message of a start.
  uint64_t sequence = 0;
  /// The sender's part of a processor core.
  float cores = 1;
  message_content content;
  bool operator==(const node_message&) const = default;
};

/// A message as bytes, and back; nothing if the bytes are no message.
std::string encode(const node_message& message);
std::optional<node_message> decode_message(const char* data, size_t size);

}  // namespace spokesail
