// Finds out whether backend servers answer, by requesting their reports.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>
#include <vector>

namespace spokesail {

struct node_context;

/// What a probe shows about a server.
enum class probe_result {
  answered,
  /// It accepts connections but does not answer. It may only pause.
  silent,
  /// It cannot be connected to, or has no report.
  unreachable,
  /// It has ended: its host refuses connections, or another server or a later
  /// incarnation answers.
  gone,
  /// Nothing, since this node was late or may have lost its links, or since the
  /// server is not listed.
  unknown
};

/// Probes servers and remembers for a short while which have answered.
class server_prober {
 public:
  explicit server_prober(node_context& node) : node(node) {}

  /// Probes a server, given by its id.
  boost::asio::awaitable<probe_result> probe(std::string server);

  /// Whether all these servers answer. Those that have answered a short while
  /// ago are not probed again.
  boost::asio::awaitable<bool> all_answer(std::vector<std::string> servers);

 private:
  /// Whether a server has answered a short while ago.
  bool answered_recently(const std::string& server) const;

  node_context& node;
  /// When servers last answered a probe.
  std::map<std::string, absl::Time> answered_at;
};

}  // namespace spokesail
