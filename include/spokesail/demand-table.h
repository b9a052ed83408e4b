// Sums up the demand that nodes and data halls report.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <string>
#include <vector>

#include "spokesail/model-demand.h"

namespace spokesail {

/// Demand in all data halls, as far as it is known.
struct demand_view {
  std::vector<model_demand> models;
  /// Age of the oldest report that is included.
  absl::Duration age = absl::ZeroDuration();
  /// Data halls that reported before and no longer do.
  int missing_halls = 0;
  bool operator==(const demand_view&) const = default;
};

/// The latest reports of peers and of data halls.
class demand_table {
 public:
  /// A report counts for this long: it is sent once a second, and one or two
  /// may be lost.
  static constexpr absl::Duration report_ttl = absl::Seconds(3);
  /// A hall without a report for this long has no demand either.
  static constexpr absl::Duration hall_ttl = absl::Seconds(30);

  /// Stores a node's report, which replaces that of the whole hall. An empty
  /// one is ignored.
  void update_node(const std::string& node, const std::string& hall,
                   const std::vector<model_demand>& demand, absl::Time now);

  /// Stores the report of a whole hall, which replaces those of its nodes. An
  /// empty one is ignored.
  void update_hall(const std::string& hall,
                   const std::vector<model_demand>& demand, absl::Time now);

  /// The sum of one hall's reports and of this node's `own` demand.
  std::vector<model_demand> hall_sum(const std::string& hall,
                                     const std::vector<model_demand>& own,
                                     absl::Time now) const;

  /// The sum of all reports and of this node's `own` demand.
  demand_view total(const std::vector<model_demand>& own, absl::Time now) const;

 private:
  struct node_report {
    std::vector<model_demand> demand;
    absl::Time at;
  };
  /// Reports of one hall by node; that of the whole hall has an empty name.
  struct hall_reports {
    std::map<std::string, node_report> nodes;
    absl::Time at = absl::InfinitePast();
  };
  void store(const std::string& hall, const std::string& node,
             const std::vector<model_demand>& demand, absl::Time now);

  std::map<std::string, hall_reports> halls;
};

}  // namespace spokesail
