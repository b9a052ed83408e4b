// Sums up what nodes and data halls say that callers ask for.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

#include "spokesail/model-demand.h"

namespace spokesail {

/// What callers ask for in all data halls, as far as it is known.
struct demand_view {
  std::vector<model_demand> models;
  /// Age of the oldest word in it.
  absl::Duration age = absl::ZeroDuration();
  /// Data halls that spoke before and are silent now.
  int missing_halls = 0;
  bool operator==(const demand_view&) const = default;
};

/// The last words of peers and of data halls.
class demand_table {
 public:
  /// A word counts for this long: it is said once a second, and one or two may
  /// be lost.
  static constexpr absl::Duration report_ttl = absl::Seconds(3);
  /// A hall that says nothing for this long has no callers either.
  static constexpr absl::Duration hall_ttl = absl::Seconds(30);

  /// Takes a node's word. An empty one says nothing.
  void update_node(const std::string& node, const std::string& hall,
                   const std::vector<model_demand>& said, absl::Time now);

  /// Takes the word of a whole hall, in place of its nodes' words.
  void update_hall(const std::string& hall,
                   const std::vector<model_demand>& said, absl::Time now);

  /// The sum of one hall's words and of this node's `own`.
  std::vector<model_demand> hall_sum(const std::string& hall,
                                     const std::vector<model_demand>& own,
                                     absl::Time now) const;

  /// The sum of all words and of this node's `own`.
  demand_view total(const std::vector<model_demand>& own, absl::Time now) const;

 private:
  struct node_report {
    std::vector<model_demand> demand;
    absl::Time at;
  };
  /// Words of one hall by node; of the whole hall under an empty name.
  struct hall_reports {
    std::map<std::string, node_report> nodes;
    absl::Time at = absl::InfinitePast();
  };
  void store(const std::string& hall, const std::string& node,
             const std::vector<model_demand>& said, absl::Time now);

  std::map<std::string, hall_reports> halls;
};

}  // namespace spokesail
