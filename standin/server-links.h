// Network links between nodes and servers, with injected faults.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace spokesail::standin {

/// State of the links between one node and all servers.
enum class link_state {
  up,
  /// Nothing passes. What is held up arrives once the links are up again,
  /// unless its sender has closed the connection.
  silent,
  /// Open connections are reset and new ones are refused.
  reset,
  /// Open connections remain usable, but new ones are refused.
  refusing
};

/// The links of all nodes. A connection is attributed to a node by the port
/// that the node dialed from.
class server_links {
 public:
  link_state state(const std::string& node) const {
    const auto found = this->states.find(node);
    return found == this->states.end() ? link_state::up : found->second;
  }
  void set_state(const std::string& node, link_state state) {
    this->states[node] = state;
  }

  /// Records that a node dials a server from a local port.
  void on_dialed(const std::string& node, uint16_t port) {
    this->nodes_by_port[port] = node;
  }
  /// The state of the link that a connection from `port` uses.
  link_state state_of_port(uint16_t port) const {
    const auto found = this->nodes_by_port.find(port);
    return found == this->nodes_by_port.end() ? link_state::up
                                              : this->state(found->second);
  }
  /// Whether a connection from `port` was dialed by a node.
  bool dialed_by(const std::string& node, uint16_t port) const {
    const auto found = this->nodes_by_port.find(port);
    return found != this->nodes_by_port.end() && found->second == node;
  }

 private:
  std::map<std::string, link_state> states;
  std::map<uint16_t, std::string> nodes_by_port;
};

}  // namespace spokesail::standin
