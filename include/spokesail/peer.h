// The link between entry hosts.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "spokesail/event.h"

namespace spokesail {

/// Where a link delivers what comes in.
using event_sink = std::function<void(event_body)>;

/// Counts bytes of control traffic, by direction ("sent" or "received").
using byte_counter = std::function<void(const char* direction, size_t bytes)>;

/// Talks to other entry hosts. Nothing here blocks; messages to a peer that
/// does not answer are dropped, since a later one says the same.
class rpc_peer_link {
 public:
  virtual ~rpc_peer_link() = default;
  virtual void send_heartbeat(const std::string& address,
                              const heartbeat& b) = 0;
  virtual void push(const std::string& address,
                    const std::vector<object>& objects) = 0;
  virtual void pull(const std::string& address,
                    const std::vector<object_stamp>& known) = 0;
  /// Answers the beat or pull event with this token.
  virtual void reply_heartbeat(uint64_t token, const heartbeat_ack& ack) = 0;
  virtual void reply_pull(uint64_t token,
                          const std::vector<object>& objects) = 0;
};

/// A link over Cap'n Proto RPC that listens at `address` (IP number and port).
/// Throws std::runtime_error if it cannot listen there.
std::unique_ptr<rpc_peer_link> make_rpc_link(const std::string& address,
                                             event_sink sink,
                                             byte_counter count);

}  // namespace spokesail
