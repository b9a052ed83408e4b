// Which backend servers this node reaches over its own links.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "spokesail/hash.h"

namespace spokesail {

/// A node through which servers may be reached.
struct proxy_candidate {
  std::string name;
  /// Its data hall.
  std::string hall;
  auto operator<=>(const proxy_candidate&) const = default;
};

/// How an attempt to open a direct connection to a server ended.
enum class direct_result {
  connected,
  /// It failed or took too long, and no other node reached the server either.
  failed,
  /// It failed, but another node reached the server.
  bypassed
};

/// One attempt to open a direct connection to a server.
struct direct_attempt {
  direct_result result = direct_result::connected;
  /// When it began, and when its result was known.
  absl::Time begun = absl::InfinitePast();
  absl::Time ended = absl::InfinitePast();
  /// Whether nothing came back, so that open connections to the server are
  /// likely to hang as well. A refusal says nothing about open connections.
  bool silent = false;
  bool operator==(const direct_attempt&) const = default;
};

/// Answers the load of callers at a node that has lost its links to servers
/// while callers and other nodes still reach it. A failed connection alone does
/// not show which end has failed; that another node reaches the server does.
/// Evidence is kept for each server, by its address, and applies to all servers
/// once it outweighs what the node reaches itself. Callers of this class supply
/// the time.
class server_reachability {
 public:
  /// How long the result of an attempt counts. Servers are then tried directly
  /// again, and a partitioned node renews its evidence by probes.
  static constexpr absl::Duration evidence_lifetime = absl::Milliseconds(1200);
  /// Servers that must be out of reach before others are assumed to be.
  static constexpr size_t min_unreached_servers = 2;
  /// A connection that was silent for longer may hang, so that an idle one is
  /// not reused.
  static constexpr absl::Duration heard_lifetime = absl::Milliseconds(100);
  /// Interval at which a partitioned node tries a direct connection.
  static constexpr absl::Duration probe_period = absl::Milliseconds(250);
  /// How long a node that could not be a proxy is tried after all others.
  static constexpr absl::Duration proxy_exclusion = absl::Milliseconds(1000);
  /// How long a node that was a proxy is known to reach servers.
  static constexpr absl::Duration proxy_lifetime = absl::Milliseconds(1200);

  /// Numbers of servers by the results of recent attempts.
  struct evidence {
    size_t unreached = 0;
    size_t bypassed = 0;
    /// Servers that were reached directly since the first failed attempt began.
    size_t reached = 0;
    /// When the first of the last failures was known.
    absl::Time first_failure = absl::InfiniteFuture();
    /// Begin of the last attempt that was bypassed and silent.
    absl::Time silent_since = absl::InfinitePast();
  };
  evidence recent(absl::Time now) const;

  /// Records that a direct connection to a server carried bytes to this node.
  void on_heard(const std::string& server, absl::Time now);

  /// Records the end of an attempt to connect to a server directly. A failure
  /// does not replace a recent one in which another node reached the server,
  /// since it may not have been asked again.
  void on_attempt(const std::string& server, const direct_attempt& attempt);

  /// Whether this node seems to have lost its links to most servers, which
  /// other nodes reach.
  bool partitioned(absl::Time now) const;

  /// Whether this node's own view of the servers is in doubt, so that it blames
  /// none.
  bool in_doubt(absl::Time now) const;

  /// Whether connections to a server are opened through other nodes first.
  bool prefers_proxies(const std::string& server, absl::Time now) const;

  /// Whether this node may connect others to a server.
  bool may_proxy(const std::string& server, absl::Time now) const;

  /// Whether a server that was not reached recently seems to be down itself:
  /// nobody reached it, but this node has heard others since.
  bool server_failed(const std::string& server, absl::Time now) const;

  /// Whether an idle direct connection to a server may be used.
  bool may_reuse(const std::string& server, absl::Time now) const;

  /// Whether a direct connection to a server, which carried bytes last at
  /// `last_heard`, hangs.
  bool connection_lost(const std::string& server, absl::Time last_heard,
                       absl::Time now) const;

  /// When any server was last heard.
  absl::Time last_heard() const { return this->heard_at; }

  /// When any server was last heard, or connected through another node.
  absl::Time last_reached() const {
    return std::max(this->heard_at, this->last_proxied);
  }

  /// Whether a partitioned node should try a direct connection now.
  bool probe_due(absl::Time now) const;
  void on_probe(absl::Time now) { this->probed_at = now; }

  /// Records that a node connected this one to a server.
  void on_proxied(const std::string& name, absl::Time now);

  /// Records that a node has lost its links too, or could not be a proxy.
  void demote_proxy(const std::string& name, absl::Time now);

  /// Chooses nodes to reach servers through, in the order in which they are
  /// tried: at random, from the halls in turn, `own_hall` first, in case a hall
  /// has lost its links as a whole. The first two spread the load; then every
  /// second one is a node known to reach servers, if there is any, so that few
  /// are asked in vain where most have lost their links. Demoted ones come
  /// last: they may reach a few servers, and refuse at once.
  std::vector<std::string> choose_proxies(
      const std::vector<proxy_candidate>& candidates,
      const std::string& own_hall, size_t count, absl::Time now,
      random_stream& random) const;

  /// Removes evidence that no longer counts.
  void expire(absl::Time now);

 private:
  /// The last attempt to connect to a server, if it failed recently.
  const direct_attempt* recent_failure(const std::string& server,
                                       absl::Time now) const;
  /// When a server was last reached directly; infinite past if it was not
  /// recently.
  absl::Time recently_reached(const std::string& server, absl::Time now) const;

  bool demoted(const std::string& name, absl::Time now) const;
  /// Whether a node was a proxy for this one recently.
  bool proven(const std::string& name, absl::Time now) const;

  /// A server that was not reached directly.
  struct unreached_server {
    direct_attempt last;
    /// When the first failed attempt since it was last reached began. Trying
    /// it again shows nothing about the other servers.
    absl::Time since;
  };
  /// By address. Usually empty.
  std::map<std::string, unreached_server> failures;
  /// When the last attempt to connect to a server succeeded.
  std::map<std::string, absl::Time> reached_at;
  std::map<std::string, absl::Time> heard;
  absl::Time heard_at = absl::InfinitePast();
  absl::Time last_proxied = absl::InfinitePast();
  absl::Time probed_at = absl::InfinitePast();
  std::map<std::string, absl::Time> demoted_until;
  /// When nodes were proxies for this one.
  std::map<std::string, absl::Time> proxied_at;
};

}  // namespace spokesail
