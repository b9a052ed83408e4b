// Finds out whether backend servers answer, by requesting their reports.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>
#include <vector>

#include "http-fetch.h"

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
  /// Nothing: this node was late or may have lost its links, or the server is
  /// not listed.
  unknown
};

/// Probes servers and remembers for a short while which have answered.
class server_prober {
 public:
  explicit server_prober(node_context& node) : node(node) {}

  /// Probes a server, given by its id.
  boost::asio::awaitable<probe_result> probe(std::string server);

  /// Probes the members of a group until one does not answer, and returns its
  /// result. Nothing is probed again that was heard a short while ago.
  boost::asio::awaitable<probe_result> probe_group(
      std::string group, std::vector<std::string> members);

  /// Records an event of a group, which takes all of its members.
  void note_event(const std::string& group, absl::Time now) {
    this->heard_at[group] = now;
  }

  /// Whether a server or group was heard a short while ago.
  bool heard_recently(const std::string& name) const;

  /// Forgets servers and groups that were heard longer ago. Must be called
  /// regularly.
  void expire(absl::Time now);

 private:
  /// Requests a server's report.
  boost::asio::awaitable<fetch_result> fetch_report(std::string server,
                                                    std::string address);

  node_context& node;
  /// When servers last answered a probe, and groups sent an event.
  std::map<std::string, absl::Time> heard_at;
};

}  // namespace spokesail
