// State that the parts of the group controller share during one step.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "spokesail/group-controller.h"

namespace spokesail {

/// One service's servers and groups during a step.
struct group_controller::service_state {
  std::string service;
  const engine_profile* engine = nullptr;
  /// With acknowledged orders taken as executed.
  std::map<std::string, listed_server> servers;
  /// Number of servers that answer, have not announced their stop and are in no
  /// closed data hall, by fabric domain.
  std::map<std::string, int> usable_hosts;
  std::vector<group_view> groups;
  /// Existing and forming groups, by model.
  std::map<std::string, int> group_count;
  /// Groups beyond those that are wanted.
  std::set<std::string> spare_groups;
  /// Free hosts that a repair in progress will need.
  std::set<std::string> reserved;

  /// A server's directory entry and its state in the controller.
  struct known_server {
    const listed_server* listed = nullptr;
    const server_track* track = nullptr;
  };
  /// The same servers by hash: a step looks up most of them about ten times.
  absl::flat_hash_map<std::string_view, known_server> index;

  const server_entry& entry(const std::string& id) const {
    return this->index.at(id).listed->entry;
  }
  const server_track& track(const std::string& id) const {
    return *this->index.at(id).track;
  }
  bool has_server(const std::string& id) const {
    return this->index.contains(id);
  }
};

/// Whether a model's weights are staged on a server's host.
inline bool staged_on(const server_entry& entry, const std::string& model) {
  return std::find(entry.staged.begin(), entry.staged.end(), model) !=
         entry.staged.end();
}
inline bool staged_on(const server_entry& entry, const model_profile& model) {
  return staged_on(entry, model.name);
}

/// An order for a group, without the fields that only a join has.
inline group_order make_group_order(group_order_kind kind,
                                    const std::string& group, int64_t epoch) {
  group_order order;
  order.kind = kind;
  order.group = group;
  order.epoch = epoch;
  return order;
}

}  // namespace spokesail
