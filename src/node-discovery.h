// Finds the other nodes of the fleet.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "node-context.h"
#include "peer-link.h"

namespace spokesail {

/// A node that starts asks the seeds of its settings for nodes of its hall, and
/// one of these for the whole list; from then on nodes keep their lists equal
/// among themselves (see peer-table.h). The platform's store is the way in when
/// no seed answers: it lists the top-ranked nodes of each hall, which keep
/// their entries there and read those of others, so that the parts of a fleet
/// that lost each other find together again. Calls to the store thus grow with
/// the number of halls, not of nodes.
class node_discovery {
 public:
  node_discovery(node_context& node, peer_link& link)
      : node(node), link(link) {}

  /// Joins the fleet and keeps the list of nodes until the process ends.
  boost::asio::awaitable<void> run();

  void handle_query(const std::string& peer, const peer_query& query);
  void handle_report(const peer_report& report);

  /// Whether this node is one of its hall's top-ranked ones.
  std::function<bool()> top_ranked;

 private:
  /// Result of reading the list of nodes.
  enum class list_result {
    failed,
    /// This node's own entry is missing or differs.
    own_entry_missing,
    own_entry_present
  };
  /// Asks seeds and the nodes that they name. Returns whether a node answered
  /// that knows its hall, or nodes of this hall were found that are all new.
  boost::asio::awaitable<bool> join_by_seeds();
  /// Finds nodes in the store, and lists this node there.
  boost::asio::awaitable<void> join_by_store();
  /// Keeps this node's entry in the store while it is top-ranked and too few
  /// others of its hall are listed there.
  boost::asio::awaitable<void> maintain_entry();
  std::string random_local_peer();
  /// Asks a node for what has changed; does nothing if `peer` is empty.
  void exchange(const std::string& peer);
  /// Asks for a few nodes of each hall.
  void request_sample(const std::string& address);
  void remember_query(uint64_t nonce, absl::Time now);
  bool settled() const;

  /// Content of this node's entry in the store, as JSON.
  std::string own_entry() const;
  /// Writes this node's entry. Returns whether the store has it.
  boost::asio::awaitable<bool> enroll();
  boost::asio::awaitable<list_result> list_peers(bool stale);
  /// Applies another node's entry.
  void apply_peer_entry(const object& o);
  /// Sleeps for `time` plus random jitter of up to 20%, which spreads the calls
  /// of nodes that started together.
  boost::asio::awaitable<void> jittered_sleep(absl::Duration time);

  node_context& node;
  peer_link& link;
  uint64_t nonce = 0;
  /// When the queries that may still be answered were sent.
  std::map<uint64_t, absl::Time> asked_at;
  exchange_pacer pacer;
  /// Whether a node has answered that knows its hall.
  bool heard_settled = false;
  /// Revision of this node's own object in the store.
  int64_t own_revision = 0;
  /// Nodes of this hall, without this one, on the last list that was read.
  std::vector<std::string> enrolled_in_hall;
  absl::Time next_entry_check = absl::InfinitePast();
};

}  // namespace spokesail
