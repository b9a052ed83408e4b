// The state that the lease holder publishes, in messages of bounded size.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "spokesail/model-demand.h"

namespace spokesail {

/// The lease as last written by its holder.
struct lease_snapshot {
  int64_t version = 0;
  std::string record;
  bool operator==(const lease_snapshot&) const = default;
};

/// Identifies one state of the lease holder.
struct holder_position {
  int64_t lease_version = 0;
  uint64_t sequence = 0;
  auto operator<=>(const holder_position&) const = default;
};

/// State published by the lease holder. Nodes forward it to each other.
struct holder_state {
  lease_snapshot lease;
  /// Grows with each change under one version of the lease.
  uint64_t sequence = 0;
  /// Unresponsive servers.
  std::vector<std::string> unresponsive;
  /// Weight loads that the holder started within its load window.
  int loads_begun = 0;
  /// The holder's allocation of hosts to models, where it differs from the
  /// configured shares.
  std::vector<model_share> shares;
  bool operator==(const holder_state&) const = default;

  holder_position position() const {
    return {this->lease.version, this->sequence};
  }
  /// Whether this state was published after `other`.
  bool newer_than(const holder_state& other) const {
    return this->position() > other.position();
  }
};

/// A holder's state as sent in one message. When a domain or a data hall fails,
/// the list of unresponsive servers is as long as what failed; a message holds
/// a part of it.
struct holder_part {
  /// With the servers of this part only.
  holder_state state;
  int part = 0;
  /// Number of parts; 0 if the servers are left out because the receiver has
  /// this state, or receives it from its relay.
  int parts = 1;
  bool operator==(const holder_part&) const = default;
};

/// Maximum number of servers in a part, about 5 KB.
inline constexpr size_t max_servers_per_part = 256;

/// The state without its servers.
holder_part without_servers(const holder_state& state);

/// The messages that carry the whole state, at least one.
std::vector<holder_part> split_holder_state(const holder_state& state);

/// The state in one message to a node that can request the servers elsewhere:
/// without them if they do not fit.
holder_part inline_holder_state(const holder_state& state);

/// Puts the parts of a holder's state together.
class holder_assembler {
 public:
  /// Adds a part. Returns the state if it is complete, or if it is the last
  /// complete one, named without its servers.
  std::optional<holder_state> add(const holder_part& received);

  /// The last complete state.
  const std::optional<holder_state>& last() const { return this->complete; }

 private:
  std::optional<holder_state> complete;
  holder_position assembling;
  std::map<int, std::vector<std::string>> parts;
};

}  // namespace spokesail
