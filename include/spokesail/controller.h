// The hall controller: holds the lease, maintains the placement, orders loads.
#pragma once

#include <absl/time/time.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "spokesail/lease.h"
#include "spokesail/placement.h"

namespace spokesail {

/// What a backend server is ordered to do: take its place in a group, leave its
/// group, or load a model's weights while it is in no group.
enum class order_kind { load, release, preload };

/// An order's name, for the wire and for logs.
const char* order_name(order_kind kind);

/// An order to one backend server.
struct order {
  order_kind kind = order_kind::load;
  std::string host;
  std::string address;
  int64_t fence = 0;
  std::string group;
  int64_t incarnation = 0;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  /// Addresses of all members in order of rank, the head's first.
  std::vector<std::string> members;
  int rank = 0;
  /// The order must not be sent at or after this time.
  absl::Time not_after;
  bool operator==(const order&) const = default;
};

/// Outcome of an order.
enum class order_status { accepted, refused, unreachable };

/// Timing of a controller.
struct controller_timing {
  lease_timing lease;
  /// Timeout of an order.
  absl::Duration order_deadline = absl::Seconds(1);
  /// An accepted order is sent again after this long if the host still reports
  /// another state.
  absl::Duration order_repeat = absl::Seconds(2);
  absl::Duration plan_interval = absl::Milliseconds(200);
  absl::Duration drain_settle = absl::Seconds(3);
  policy_kind policy = policy_kind::best_fit;
};

/// Result of one step of the controller.
struct controller_actions {
  std::optional<platform_call> lease_call;
  std::optional<platform_call> placement_call;
  std::vector<order> orders;
  std::vector<plan_change> changes;
};

/// Input of one step of the controller.
struct controller_view {
  const configuration* config = nullptr;
  std::string hall;
  std::map<std::string, host_view> hosts;
  /// The last known placement document; version 0 if there is none.
  object placement_object;
};

/// One candidate's controller of its data hall. It acts only while it holds the
/// lease. It writes the placement once under its own fencing number before it
/// relies on it, so that no write of a previous holder can follow.
class controller {
 public:
  controller() = default;
  controller(const std::string& hall, const std::string& self,
             controller_timing timing);

  /// The lease, to be updated with observed versions of its document.
  lease& hall_lease() { return this->own_lease; }
  const lease& hall_lease() const { return this->own_lease; }

  /// Whether it holds the hall's lease at `now`.
  bool leads(absl::Time now) const { return this->own_lease.held(now); }

  /// Computes what is to be done at `now`.
  controller_actions step(const controller_view& view, absl::Time now,
                          const std::string& write_id);

  /// Handles the answer to the placement call. Returns the object if it is
  /// newer.
  std::optional<object> on_placement_answer(const platform_answer& answer);

  /// Handles the outcome of an order.
  void on_order_result(const std::string& host, order_status status,
                       absl::Time now);

 private:
  struct order_record {
    absl::Time sent_at = absl::InfinitePast();
    bool in_flight = false;
    order_status status = order_status::accepted;
    std::string group;
    int64_t incarnation = 0;
  };

  void follow_lease(absl::Time now);
  std::optional<platform_call> write_placement(const placement& next,
                                               const std::string& write_id);
  std::optional<platform_call> advance_placement(const controller_view& view,
                                                 absl::Time now,
                                                 const std::string& write_id,
                                                 controller_actions& actions);
  /// Number of hosts of a hall that are loading weights, its limit, and the
  /// group of each host that is in one.
  struct load_budget {
    int loading = 0;
    int limit = 1;
    std::map<std::string, const group*> owner;
  };
  void add_preloads(const controller_view& view, absl::Time now,
                    load_budget& budget, std::vector<order>& out) const;
  /// Number of spare hosts of a domain that should hold a model's weights, and
  /// whether the domain has a group of the model.
  struct spare_demand {
    const model_config* model = nullptr;
    int count = 0;
    bool has_group = false;
  };
  /// The demands on a domain's spares, most urgent first.
  std::vector<spare_demand> spare_demands(const controller_view& view,
                                          const std::string& domain) const;
  std::vector<order> due_orders(const controller_view& view, absl::Time now);
  plan_input make_plan_input(const controller_view& view, absl::Time now) const;
  void update_draining(absl::Time now);
  bool may_send(const std::string& host, absl::Time now) const;

  std::string hall;
  controller_timing timing;
  lease own_lease;
  std::shared_ptr<const domain_policy> policy;
  int64_t term_fence = -1;
  absl::Time term_since = absl::InfiniteFuture();
  bool placement_owned = false;
  bool placement_read = false;
  object base_object;
  placement current;
  std::optional<document_write> write;
  bool placement_call_pending = false;
  std::vector<plan_change> pending_changes;
  absl::Time next_plan = absl::InfinitePast();
  std::map<std::string, absl::Time> draining_since;
  std::map<std::string, order_record> orders;
};

}  // namespace spokesail
