// Messages between entry hosts.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "spokesail/event.h"

namespace spokesail {

/// Receives the events that a link produces from incoming messages.
using event_sink = std::function<void(event_body)>;

/// Counts bytes of control traffic, by direction ("sent" or "received").
using byte_counter = std::function<void(const char* direction, size_t bytes)>;

/// Exchanges messages with other entry hosts. No call blocks. Messages to a
/// peer that does not answer are dropped, since later messages repeat their
/// content.
class rpc_peer_link {
 public:
  virtual ~rpc_peer_link() = default;
  virtual void send_heartbeat(const std::string& address,
                              const heartbeat& b) = 0;
  virtual void push(const std::string& address,
                    const std::vector<object>& objects) = 0;
  virtual void pull(const std::string& address,
                    const std::vector<object_stamp>& known) = 0;
  /// Replies to the heartbeat event with this token.
  virtual void reply_heartbeat(uint64_t token, const heartbeat_ack& ack) = 0;
  /// Replies to the pull event with this token.
  virtual void reply_pull(uint64_t token,
                          const std::vector<object>& objects) = 0;
};

/// Creates a link over Cap'n Proto RPC that listens at `address` (IP address
/// and port). Throws std::runtime_error if it cannot listen there.
std::unique_ptr<rpc_peer_link> make_rpc_link(const std::string& address,
                                             event_sink sink,
                                             byte_counter count);

}  // namespace spokesail
