// Connections to backend servers that pass through another node.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "node-context.h"

namespace spokesail {

/// What became of a request for a tunnel.
enum class tunnel_result {
  open,
  /// The other node reaches servers, but not this one.
  server_unreachable,
  /// The other node does not reach this server, perhaps because of its links,
  /// or may not send to it.
  not_reached,
  /// The other node did not answer, or carries no connections.
  unavailable
};

/// What a node asks a proxy for.
struct tunnel_request {
  /// Address of the server.
  std::string address;
  /// How long the tunnel may last.
  absl::Duration lifetime;
  /// Bytes that the proxy sends after a response with neither a length nor
  /// chunks whose server has closed the connection in an orderly way; none if
  /// empty.
  std::string end_mark;
};

/// Asks the node at `proxy_address` for a connection to a server, with HTTP's
/// CONNECT method. The socket is unused; once the tunnel is open, it acts as a
/// connection to that server. The answer's bytes are counted in `incoming`.
boost::asio::awaitable<tunnel_result> open_tunnel(
    boost::asio::ip::tcp::socket& socket, const std::string& proxy_address,
    const tunnel_request& asked, byte_budget& incoming);

/// Carries other nodes' connections to servers. Servers see them as this
/// node's, so what they say of themselves to this node applies to them.
class tunnel_service {
 public:
  explicit tunnel_service(node_context& node) : node(node) {}

  /// Answers a CONNECT request and carries the connection until either side
  /// ends it. Only an orderly close by the server ends the tunnel in an orderly
  /// way, after the mark that was asked for; otherwise the tunnel is reset.
  boost::asio::awaitable<void> serve(
      std::shared_ptr<boost::asio::ip::tcp::socket> peer, http_request request);

  /// Resets tunnels to servers that this node has lost its links to. Must be
  /// called at every tick.
  void check(absl::Time now);

 private:
  struct tunnel;

  /// Why a tunnel is refused, with the status of the answer; 200 if it is not.
  std::pair<unsigned, const char*> admit(const std::string& address) const;
  /// The instance of the server that listens at an address.
  std::optional<server_instance> find_server(const std::string& address) const;
  boost::asio::awaitable<bool> connect(tunnel& t);
  /// The status that tells why a connection attempt has just failed: the server
  /// is at fault only if this node reaches another.
  boost::asio::awaitable<unsigned> failure_status();
  boost::asio::awaitable<void> answer(boost::asio::ip::tcp::socket& peer,
                                      unsigned status, const char* reason);
  /// Passes bytes on to the server until the other node ends the tunnel.
  boost::asio::awaitable<void> forward_request(std::shared_ptr<tunnel> t);
  /// Passes bytes of the server on until its connection ends.
  boost::asio::awaitable<void> forward_response(std::shared_ptr<tunnel> t);
  /// Reads the head of the server's response for what it says of the server.
  void observe_response(tunnel& t, const char* data, size_t size);

  node_context& node;
  std::set<tunnel*> tunnels;
};

}  // namespace spokesail
