// Forwards changes of the store between nodes, so that few of them watch it.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "peer-link.h"
#include "spokesail/change-relay.h"
#include "spokesail/config-announcements.h"
#include "spokesail/relay-choice.h"
#include "spokesail/relay-search.h"

namespace spokesail {

/// The holder of the controller's lease watches the store and forwards its
/// changes down a tree of each data hall's nodes (see relay-choice.h), together
/// with the holder's state. The ages of the configuration and servers in a
/// response count from when the request was sent, so that data in a late
/// response never appears fresher than it is. A node whose relay does not
/// answer or is stale tries the next one, and in the end watches the store
/// itself (see staleness.h).
class store_relay {
 public:
  store_relay(node_context& node, peer_link& link) : node(node), link(link) {}

  /// Sends requests to the relay until the process ends.
  boost::asio::awaitable<void> run();

  /// Whether this node has to watch the store itself.
  bool watches_store() const;

  /// Whether this node has no configuration yet and its relay is expected to
  /// announce one.
  bool expects_config() const;
  /// Whether this node has just started and expects to receive all servers from
  /// its relay.
  bool expects_servers() const;
  /// The same for the evacuated data halls.
  bool expects_evacuations() const;

  /// The peer that announced the latest change of the configuration.
  const std::string& config_source() const { return this->config_peer; }

  /// Whether other nodes of the data hall may use this one as their relay.
  bool may_have_followers() const;

  /// Sends new changes to followers.
  void push();

  /// Sends an update to all followers once this node's data is fresh again.
  /// They may have excluded it as a relay, and would otherwise find out one by
  /// one, or read the store themselves.
  void announce_recovery();

  void handle_request(const std::string& peer,
                      const store_update_request& request);
  void handle_update(const std::string& peer, const store_update& update);

  /// Name of the node that holds the controller's lease; empty if unknown.
  std::function<std::string()> holder;
  /// Returns the holder's state as known here.
  std::function<std::optional<holder_state>()> holder_state_known;
  /// Adds what a relay forwards beside the changes of the store.
  std::function<void(store_update& out)> fill_update;
  /// Called with each update received.
  std::function<void(const store_update& update)> on_update;
  /// Called when a relay has a later configuration.
  std::function<void(int64_t revision)> on_config;
  /// Called when the servers have changed.
  std::function<void()> on_servers;

 private:
  void request_update();
  /// Sends the relay a request with the current position, under the nonce set
  /// by `request_update`.
  void send_request();
  /// Requests missed changes from the relay without waiting for the next
  /// period.
  void request_missing();
  /// Whether this node has just started and may still receive its first update
  /// from a relay.
  bool awaits_first_update() const;
  /// What this node knows about its possible relays.
  relay_view view() const;
  relay_choice choose() const;
  /// Handles the response to the last request: whether the relay is fresh, and
  /// what it confirms. False if the relay knows no more than this node.
  bool accept_response(const std::string& peer, const store_update& update);
  /// Applies the changes of servers in `update` if they follow on this node's
  /// revision.
  void apply_servers(const std::string& peer, const store_update& update);
  /// The revisions up to which this node has what it forwards.
  change_sender::known_revisions known() const;
  /// Whether this is the response to the last request, so that its ages count
  /// from when that was sent. Other messages may have been in transit for any
  /// time.
  bool answers_last_request(const std::string& peer,
                            const store_update& update) const;
  /// Applies the evacuated halls in `update`, if it has any.
  void apply_evacuated_halls(const std::string& peer,
                             const store_update& update);
  /// Records how current the configuration is according to the relay's
  /// responses.
  void record_config_verified();
  /// Records how current the servers are according to a response.
  void record_servers_verified(const store_update& update);
  /// Logs and counts changes that do not follow on this node's revision.
  void report_gap(const std::string& peer, const store_update& update);
  /// Sends a peer all changes of servers after `from` and the rest of the
  /// update, in response to a request or unrequested (0). The peer has the
  /// holder's state `has_state`.
  void send_update(const std::string& peer, int64_t from, uint64_t nonce,
                   const holder_position& has_state);
  /// Sends a follower the parts of the holder's state but the first, which it
  /// returns, or names the state if the follower has it.
  std::optional<holder_part> send_holder_state(
      const std::string& peer, const holder_position& has_state);
  /// Whether this node would be used as a relay.
  bool is_fresh() const;
  /// Uses a relay again that says that its data is fresh.
  void readmit_relay(const std::string& peer, const store_update& update);
  /// Excludes a relay for a while.
  void exclude_relay(const std::string& peer, absl::Duration time,
                     const char* why);

  node_context& node;
  peer_link& link;
  /// The nodes that use this one as their relay, and what they were sent.
  change_sender sender;
  /// The holder's state that each follower was last sent or reported.
  std::map<std::string, holder_position> follower_holder_positions;
  /// What the relay said of configurations.
  config_announcements announced;
  /// What this node has missed.
  change_receiver receiver;
  /// Relays that failed, and until when they are excluded.
  std::map<std::string, absl::Time> excluded_until;
  std::string relay;
  std::string config_peer;
  absl::Time started = node.now();
  /// Whether the relay has sent a fresh update since it was chosen. Until then
  /// this node watches the store itself once its own data is stale.
  bool confirmed = false;
  relay_search search;
  uint64_t nonce = 0;
  absl::Time requested_at = absl::InfinitePast();
  bool answered = true;
  int missed = 0;
  /// Whether the data was fresh when that was last checked for followers.
  bool announced_fresh = true;
};

}  // namespace spokesail
