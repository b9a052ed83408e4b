// Opens connections to backend servers, directly or through other nodes.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "server-dialer.h"
#include "spokesail/server-reachability.h"

namespace spokesail {

struct node_context;
struct tunnel_request;

/// How a connection was opened, or why it was not.
struct connect_outcome {
  /// Set if there is no connection.
  boost::system::error_code error;
  /// Name of the node that the connection goes through; empty if it is direct.
  std::string proxy;
  /// What a proxy sends after the server has closed the connection in an
  /// orderly way; empty if the connection is direct.
  std::string end_mark;
  /// Whether the server itself seems to be down, rather than this node's links.
  bool server_failed = false;
};

/// A node that could carry connections for this one.
struct proxy_node {
  proxy_candidate candidate;
  /// Where it accepts them, "A.B.C.D:PORT".
  std::string address;
};

/// Opens connections to servers. A direct attempt that does not succeed shortly
/// is raced by attempts through other nodes (as in RFC 8305, "Happy Eyeballs"),
/// so that a request does not have to wait until a lost link is noticed. While
/// this node's links are in doubt, other nodes are asked until one reaches the
/// server. A proxy connects directly only, so that connections pass one node at
/// most.
class server_connector final : public server_dialer {
 public:
  explicit server_connector(node_context& node) : node(node) {}

  /// Connects an unused socket to the server at `address`. A proxy keeps the
  /// connection for `lifetime` at most.
  boost::asio::awaitable<connect_outcome> connect(
      boost::asio::ip::tcp::socket& socket, std::string address,
      absl::Duration lifetime);

  boost::asio::awaitable<boost::system::error_code> dial(
      boost::asio::ip::tcp::socket& socket, std::string address) override;

  /// Checks whether a server can be reached directly or through another node,
  /// unless that was done a short while ago.
  void probe(const std::string& address);

  /// Finds out whether this node has links to the servers, by direct attempts
  /// to connect to a few. Returns as soon as any server has been heard after
  /// `since`, or a short while later.
  boost::asio::awaitable<void> verify_links(absl::Time since);

  /// Probes servers while it is in doubt whether this node reaches them, or
  /// whether those of a silent data hall can be reached, and
  /// logs when it is partitioned from them. Must be called at every tick.
  void check(absl::Time now);

  /// How long it has been in doubt whether this node reaches the servers; zero
  /// if it is not.
  absl::Duration doubt_duration(absl::Time now) const;

  /// The nodes that could be proxies.
  std::function<std::vector<proxy_node>()> proxies;

 private:
  struct attempt;
  struct race;

  /// Starts `verify_links` and does not wait for it.
  void verify_links_later();
  /// Connects as `connect` does; `limit` is how long it may take while this
  /// node's links are in doubt.
  boost::asio::awaitable<connect_outcome> connect_within(
      boost::asio::ip::tcp::socket& socket, tunnel_request asked,
      absl::Duration limit);
  boost::asio::awaitable<void> run_probe(std::string address);
  boost::asio::awaitable<void> run_direct_probe(std::string address);
  /// Probes servers of the data halls whose nodes are silent.
  void probe_silent_halls(absl::Time now);
  boost::asio::awaitable<void> probe_hall(std::string hall,
                                          std::string address);
  /// The proxies to try for one connection, in order.
  std::vector<proxy_node> choose_proxies();
  /// Starts an attempt; through a proxy if one is given.
  void start(const std::shared_ptr<race>& r, const proxy_node* proxy);
  /// Starts the next attempt of a race. Returns false if there is none left.
  bool start_next(const std::shared_ptr<race>& r);
  /// Runs attempts until one connects or all have failed, and records what they
  /// show.
  boost::asio::awaitable<connect_outcome> run_race(std::shared_ptr<race> r);
  /// How long a race that has no winner may still take; zero if it is over.
  absl::Duration time_left(const race& r) const;
  boost::asio::awaitable<void> run_attempt(std::shared_ptr<race> r,
                                           std::shared_ptr<attempt> a);
  /// Records what a finished race shows about this node's links.
  connect_outcome conclude(const race& r, const attempt* winner);
  void log_failure(const race& r, const attempt& direct, const attempt* winner);
  /// Address of the server to probe next, all in turn, unless it was probed a
  /// short while ago; empty if there is none.
  std::string next_to_probe();
  /// Whether a server was not probed a short while ago; it counts as probed.
  bool claim_probe(const std::string& address);
  void log_partition(absl::Time now);

  node_context& node;
  /// When servers were last probed, by address.
  std::map<std::string, absl::Time> probed_at;
  /// Id of the server that `next_to_probe` gave last.
  std::string last_probed;
  /// Since when it is in doubt whether this node reaches the servers; infinite
  /// future if it is not.
  absl::Time in_doubt_since = absl::InfiniteFuture();
  /// Since when this node is partitioned, as last logged; infinite future if it
  /// is not.
  absl::Time partitioned_since = absl::InfiniteFuture();
};

}  // namespace spokesail
