// Messages between nodes, and their bytes.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "spokesail/load-table.h"
#include "spokesail/server-directory.h"

namespace spokesail {

/// The lease as its holder last wrote it.
struct lease_word {
  int64_t version = 0;
  std::string record;
  bool operator==(const lease_word&) const = default;
};

/// Sent to all peers at a bounded rate.
struct gossip {
  std::vector<place_load> places;
  std::vector<std::string> suspects;
  /// Set by the holder of the lease.
  std::optional<lease_word> lease;
  bool requests_seen = false;
  /// Servers that do not answer, by the word of the holder of the lease.
  std::vector<std::string> silent;
  bool operator==(const gossip&) const = default;
};

/// Asks a relay for what has changed in the store.
struct news_request {
  uint64_t nonce = 0;
  int64_t servers_revision = 0;
  bool operator==(const news_request&) const = default;
};

/// One change of a server.
struct server_news {
  listed_server server;
  bool gone = false;
  /// Time until it counts as gone; zero while its entry stands.
  absl::Duration lapses_in = absl::ZeroDuration();
  bool operator==(const server_news&) const = default;
};

/// What has changed in the store, by the word of a relay.
struct news {
  /// Of the request; 0 if nobody asked.
  uint64_t nonce = 0;
  int64_t config_revision = 0;
  /// Age of the proof that this configuration is in force.
  absl::Duration config_age = absl::ZeroDuration();
  /// Whether the sender's last call to the store was answered.
  bool store_reachable = true;
  /// The changes are all those after the first revision up to the second.
  int64_t from_revision = 0;
  int64_t to_revision = 0;
  std::vector<server_news> servers;
  bool operator==(const news&) const = default;
};

/// One datagram.
struct node_message {
  std::string node;
  std::string hall;
  /// Chosen at random at each start.
  uint64_t boot = 0;
  /// Grows with each message of a start.
  uint64_t sequence = 0;
  std::variant<gossip, news_request, news> content;
  bool operator==(const node_message&) const = default;
};

/// A message as bytes, and back; nothing if the bytes are no message.
std::string encode(const node_message& message);
std::optional<node_message> decode_message(const char* data, size_t size);

}  // namespace spokesail
