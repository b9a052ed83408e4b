// Asks other nodes for trials of suspected requests, and grants theirs.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

#include "peer-link.h"
#include "spokesail/crash-trials.h"

namespace spokesail {

/// Exchanges the messages of trials, and stops attempts that began before their
/// traits were suspected. All nodes choose the issuer of a trait's
/// trials by hashing, so that none is set aside for it.
class trial_coordinator {
 public:
  trial_coordinator(node_context& node, peer_link& link)
      : node(node), link(link) {}

  /// Sends the requests of this node's queue until the process ends.
  boost::asio::awaitable<void> run();

  /// Grants or ends a peer's trial. Both messages carry what their sender knows
  /// of the trait, so that a trial begins only on the evidence of the one
  /// before.
  void handle_request(const std::string& peer, const trial_request& request);
  /// Applies the response to a request of this node.
  void handle_response(const trial_response& response);

 private:
  void send(trial_queue::message message);
  /// Aborts the attempts whose answers have not begun and whose requests must
  /// not run beside others, on new evidence.
  void abort_suspected();
  /// The response to a request, which is applied.
  trial_response respond(const trial_request& request);
  /// Nodes that may grant the trials of a trait, in order of preference.
  std::vector<std::string> issuers(const request_trait& trait) const;

  node_context& node;
  peer_link& link;
  trial_issuer issuer;
  /// Revision of the evidence on which attempts were last aborted.
  uint64_t revision = 0;
};

}  // namespace spokesail
