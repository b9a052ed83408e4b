// Passes news of the store on between nodes, so that few of them watch it.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <string>

#include "peer-link.h"
#include "spokesail/change-relay.h"
#include "spokesail/relay-choice.h"

namespace spokesail {

/// The holder of the controller's lease watches the store and passes on what it
/// learns, down a tree of each data hall's nodes (see relay-choice.h). The
/// holder's own word goes the same way. The age of a relay's knowledge, of the
/// configuration and of the servers, counts from when it was asked, so that a
/// late answer is never taken for a fresh one. A node whose relay does not
/// answer, or does not know better, asks the next, and in the end watches the
/// store itself (see staleness.h).
class store_relay {
 public:
  store_relay(node_context& node, peer_link& link) : node(node), link(link) {}

  /// Asks the relay until the process ends.
  boost::asio::awaitable<void> run();

  /// Whether this node has to watch the store itself.
  bool watches_store() const;

  /// Whether this node, which has just started, will hear of all servers from
  /// its relay.
  bool expects_servers() const;
  /// The same of the evacuated data halls.
  bool expects_evacuations() const;

  /// The peer that told of the last change of the configuration.
  const std::string& config_source() const { return this->config_peer; }

  /// Whether others of the data hall may ask this node.
  bool may_have_followers() const;

  /// Passes changes on to those that ask this node.
  void push();

  void handle_request(const std::string& peer,
                      const store_update_request& request);
  void handle_update(const std::string& peer, const store_update& said);

  /// Name of the node that holds the controller's lease; empty if unknown.
  std::function<std::string()> holder;
  /// Adds what a relay passes on beside the news of the store.
  std::function<void(store_update& out)> fill_update;
  /// Called with what a relay passed on.
  std::function<void(const store_update& said)> on_update;
  /// Called when a relay knows a later configuration.
  std::function<void(int64_t revision)> on_config;
  /// Called when the servers have changed.
  std::function<void()> on_servers;

 private:
  void request_update();
  /// Sends the relay the question that `request_update` has begun, as things
  /// stand now.
  void send_request();
  /// Asks the relay out of turn for changes that this node has missed.
  void request_missing();
  /// Whether this node has just started and has a relay to hear from.
  bool awaits_first_update() const;
  /// What this node knows of those that it could ask.
  relay_view view() const;
  relay_choice choose() const;
  /// Takes the proof, or the news, that an answer to `request_update` brings.
  /// False if the relay does not know better than this node.
  bool accept_response(const std::string& peer, const store_update& said);
  /// Takes the changes of servers that `said` brings, if they follow on what
  /// this node knows.
  void apply_servers(const std::string& peer, const store_update& said);
  /// The revisions up to which this node knows what it passes on.
  change_sender::known_revisions known() const;
  /// Whether this is the answer to the last question, whose age counts from
  /// when it was asked. What comes unasked may have been on its way for any
  /// time.
  bool answers_last_request(const std::string& peer,
                            const store_update& said) const;
  /// Takes the evacuated halls that `said` tells of, if it does.
  void apply_evacuated_halls(const std::string& peer, const store_update& said);
  /// Takes the proof of the servers that an answer brings.
  void record_servers_verified(const store_update& said);
  /// Takes note of changes that do not follow on what this node knows.
  void report_gap(const std::string& peer, const store_update& said);
  /// Tells a peer of all servers' changes after `from` and the rest of the
  /// news, in answer to a question or unasked (0).
  void send_update(const std::string& peer, int64_t from, uint64_t nonce);
  /// Passes a relay over for a while.
  void exclude_relay(const std::string& peer, absl::Duration time,
                     const char* why);

  node_context& node;
  peer_link& link;
  /// Those that ask this node, and what they were told.
  change_sender sender;
  /// What this node has missed.
  change_receiver receiver;
  /// Relays that failed this node, and until when they are passed over.
  std::map<std::string, absl::Time> excluded_until;
  std::string relay;
  std::string config_peer;
  absl::Time started = node.now();
  /// Whether the relay has told fresh news since it was chosen. Until then
  /// this node watches the store itself once its own news are old.
  bool confirmed = false;
  uint64_t nonce = 0;
  absl::Time requested_at = absl::InfinitePast();
  bool answered = true;
  int missed = 0;
};

}  // namespace spokesail
