// The placement: which hosts form which serving groups, one document per data
// hall.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "spokesail/config.h"
#include "spokesail/presence.h"

namespace spokesail {

/// A backend server's host, as the platform lists it.
struct host_info {
  std::string name;
  /// IP number and port of the backend server.
  std::string address;
  std::string hall;
  std::string domain;
  int accelerators = 0;
  /// The plain service that it runs; empty for a model engine.
  std::string service;
  /// Whether its backend server refuses orders with an old fencing number.
  bool checks_fencing = false;
  /// Whether the platform reports that it is leaving.
  bool leaving = false;
  bool operator==(const host_info&) const = default;
};

/// The planned state of a group. Only a serving group may take requests.
enum class group_phase { loading, serving, draining };

/// One replica of a model over its hosts; the first host is the head.
struct group {
  std::string name;
  /// Increases whenever the group's hosts change.
  int64_t incarnation = 0;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::vector<std::string> hosts;
  group_phase phase = group_phase::loading;
  bool operator==(const group&) const = default;
};

/// The placement document of one data hall.
struct placement {
  std::string hall;
  /// Fencing number of the lease under which it was last written.
  int64_t fence = 0;
  int64_t next_incarnation = 1;
  std::vector<group> groups;
  bool operator==(const placement&) const = default;
};

void to_json(nlohmann::json& j, const host_info& h);
void from_json(const nlohmann::json& j, host_info& h);
void to_json(nlohmann::json& j, const placement& p);
void from_json(const nlohmann::json& j, placement& p);

/// A phase's name, for documents and logs.
const char* phase_name(group_phase phase);

/// The hosts that are in more than one group; empty for a valid placement.
std::vector<std::string> shared_hosts(const placement& p);

/// What is known of one host when planning.
struct host_view {
  host_info info;
  /// The current report, if the host is present.
  std::optional<host_report> report;
  host_load load;
  /// When the load was observed.
  absl::Time load_at = absl::InfinitePast();
  /// Since when the host has not been present; infinite future if it is.
  absl::Time lost_since = absl::InfiniteFuture();
  /// Whether an operator asked to drain it.
  bool drained = false;
  /// Earliest time at which it may be given to another group.
  absl::Time reassign_after = absl::InfinitePast();
};

/// Free hosts of one fabric domain, warm ones (the model's weights are still
/// loaded) first.
struct domain_supply {
  std::string domain;
  std::vector<std::string> free_hosts;
  int warm = 0;
  int total = 0;
  /// Number of hosts of the largest group in the domain.
  int largest_group = 0;
};

/// Chooses the fabric domain for a new replica.
class domain_policy {
 public:
  virtual ~domain_policy() = default;
  virtual const char* name() const = 0;
  /// The index of the domain to take `need` hosts from, among supplies that all
  /// have enough. `sizes` are the replica sizes in use in the hall.
  virtual size_t choose(const std::vector<domain_supply>& supplies, int need,
                        const std::vector<int>& sizes) const = 0;
};

/// Takes the first domain that fits.
std::unique_ptr<domain_policy> make_first_fit();
/// Takes the domain that is left with the fewest hosts.
std::unique_ptr<domain_policy> make_best_fit();
/// Takes the domain whose remaining hosts include the fewest that no replica
/// can use; among those, avoids the last spare of a larger group, and then
/// takes the fullest.
std::unique_ptr<domain_policy> make_whole_replica_fit();

/// The available policies.
enum class policy_kind { first_fit, best_fit, whole_replica };
std::unique_ptr<domain_policy> make_policy(policy_kind kind);

/// Input of a plan.
struct plan_input {
  const configuration* config = nullptr;
  std::string hall;
  std::map<std::string, host_view> hosts;
  placement current;
  absl::Time now;
  /// When each group began to drain, as far as this node knows.
  std::map<std::string, absl::Time> draining_since;
  /// Time until a drain is in effect on all nodes.
  absl::Duration drain_settle = absl::Seconds(3);
  const domain_policy* policy = nullptr;
};

/// One change that a plan makes, for the audit trail and the log.
struct plan_change {
  std::string group;
  std::string what;
  std::string why;
  bool operator==(const plan_change&) const = default;
};

/// A plan: the next placement and its changes.
struct plan_result {
  placement next;
  std::vector<plan_change> changes;
};

/// Plans the next placement. It never puts a host into two groups, and returns
/// the current placement when there is nothing to change.
plan_result plan(const plan_input& in);

}  // namespace spokesail
