#include "listener.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
using net::ip::tcp;

/// Length of the queue of connections that wait to be accepted.
constexpr int accept_backlog = 1024;

}  // namespace

bool open_listener(tcp::acceptor& acceptor, const std::string& address,
                   node_context& node) {
  boost::system::error_code error;
  const auto endpoint = parse_endpoint(address, error);
  if (!error) acceptor.open(tcp::v4(), error);
  if (!error) acceptor.set_option(net::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(accept_backlog, error);
  if (!error) return true;
  node.log.state_change("cannot_listen",
                        {{"address", address}, {"why", error.message()}},
                        node.now());
  return false;
}

}  // namespace spokesail
