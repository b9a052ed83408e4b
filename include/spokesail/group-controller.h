// Computes the orders that form, open, repair and dissolve serving groups.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "spokesail/congestion-window.h"
#include "spokesail/demand-table.h"
#include "spokesail/group-controller-options.h"
#include "spokesail/group-yield.h"
#include "spokesail/model-shares.h"
#include "spokesail/routing-config.h"
#include "spokesail/server-directory.h"

namespace spokesail {

/// A change of the controller's state, for the log.
struct controller_event {
  std::string event;
  /// The group or server that the change concerns.
  std::string subject;
  std::string reason;
  bool operator==(const controller_event&) const = default;
};

/// A model's groups and hosts at one moment, for the log.
struct model_summary {
  std::string model;
  /// Number of groups that serve, that exist or form, and that are wanted.
  int serving = 0;
  int standing = 0;
  int wanted = 0;
  /// Usable hosts outside of groups that hold the model's weights, and that are
  /// loading them.
  int idle = 0;
  int loading = 0;
  bool operator==(const model_summary&) const = default;
};

/// Result of one step.
struct group_actions {
  std::vector<group_order> orders;
  /// Ids of the servers to request a report from.
  std::vector<std::string> report_requests;
  std::vector<controller_event> events;
  /// State of the models; only filled at the period of the summary.
  std::vector<model_summary> summaries;
  /// Whether this holder should give up its lease.
  bool step_down = false;
};

/// Loads from the weight store that previous lease holders started.
struct earlier_loads {
  /// Loads in the window before `as_of`, as the previous holder reported them.
  int count = 0;
  /// A lower bound of the time at which that was reported; infinite past if
  /// this node never received a report.
  absl::Time as_of = absl::InfinitePast();
  bool operator==(const earlier_loads&) const = default;
};

/// The group controller, run by the lease holder. It compares the groups that
/// exist, as the servers report them, with those that should exist, and
/// computes the next orders. Its state can be rebuilt from the servers' reports
/// by a new holder.
///
/// A server is not ordered to join a group while it belongs to another group
/// whose head may still serve. The head must have left or reported that it is
/// broken, or the server itself must have acknowledged that it left; a head
/// that has lost a member this way serves no more requests.
class group_controller {
 public:
  explicit group_controller(const group_controller_options& options)
      : options(options) {}

  /// Starts a term under the fencing number of a lease. Loads of the previous
  /// holder count in the load window of this one, and its host allocation stays
  /// in force.
  void start_term(int64_t fence, const earlier_loads& before = {},
                  const std::vector<model_share>& last_shares = {});

  /// Ends the term and clears the state.
  void stop_term();

  /// Sets the worst recent delay of this node's event loop.
  void set_loop_delay(absl::Duration delay) { this->loop_delay = delay; }

  /// Sets the data halls whose servers get no requests. No group is formed
  /// there, and neither hosts nor groups there are counted; existing groups are
  /// left as they are.
  void set_closed_halls(std::set<std::string> halls) {
    this->closed_halls = std::move(halls);
  }

  /// Sets the demand in all data halls, as far as this node knows it.
  void update_demand(const demand_view& known, absl::Time now) {
    this->demand = known;
    this->demand_at = now;
  }

  /// Whether it is in a term.
  bool active() const { return this->fence != 0; }

  /// Reports a server that may be down, as seen in traffic or on a connection.
  void suspect(const std::string& server, absl::Time now);

  /// Records that a server accepted a connection and did not answer, or closed
  /// it, as one that has too many connections or slots taken does. A sound
  /// server may pause, so it counts as unresponsive only if the silence lasts,
  /// and as lost only once the engines have cut the streams that depend on it.
  void on_silence(const std::string& server, absl::Time now);

  /// Records that a server could not be probed for want of a path to it.
  void on_probe_failed(const std::string& server, absl::Time now);

  /// Handles the result of an order that `step` returned.
  void on_order_result(const group_order& order, order_result result,
                       absl::Time now);

  /// Handles a server's report; nullopt if it did not answer in time.
  void on_report(const std::string& server,
                 const std::optional<server_report>& report, absl::Time now);

  /// Computes the next orders. `requests_seen` is false before the first
  /// request; until then loads from the weight store are quick and not limited.
  group_actions step(const server_directory& directory,
                     const routing_config& config, bool requests_seen,
                     absl::Time now);

  /// Ids of the servers that do not answer.
  std::vector<std::string> unresponsive_servers() const;

  /// The shares that differ from the configured ones, for the next holder.
  std::vector<model_share> shares() const;

  /// Number of loads in the current window, for the next holder.
  int loads_begun(absl::Time now) const;

 private:
  /// State of one server beyond its directory entry.
  struct server_track {
    /// The server's incarnation that this state belongs to; 0 if unknown.
    int64_t incarnation = 0;
    /// Number of orders it has accepted, as it reported; unknown until it has
    /// been probed.
    std::optional<int64_t> orders_started;
    /// The order that has no result yet.
    std::optional<group_order> pending;
    /// Its membership after an acknowledged order that its entry does not show
    /// yet, and until when this is assumed.
    std::optional<group_membership> assumed;
    absl::Time assumed_until = absl::InfinitePast();
    /// Whether the last probe went unanswered.
    bool unresponsive = false;
    /// Whether it was reported to fail in traffic since its last report.
    bool suspected = false;
    /// Since when it accepts connections without answering.
    absl::Time silent_since = absl::InfiniteFuture();
    /// Whether it was executing an order at the last probe.
    bool order_running = false;
    /// When to probe it next; infinite future if there is no need.
    absl::Time probe_at = absl::InfiniteFuture();
    /// The model that it was ordered to stage, and when that should be done.
    std::string staging_model;
    absl::Time staging_until = absl::InfinitePast();
    /// The model of the last group that it was ordered to join or ran in.
    std::string last_model;
    /// Since when it has announced its stop; infinite future if it has not.
    absl::Time leaving_since = absl::InfiniteFuture();
    /// The group that it was ordered to leave as its head.
    std::string leaving_group;
  };
  /// Resets the state of a server whose report is of a later incarnation.
  void reset_after_restart(server_track& track, const server_report& report,
                           absl::Time now);
  /// A group that this holder has decided to form.
  struct group_plan {
    std::string service;
    std::string model;
    int64_t epoch = 0;
    std::vector<std::string> members;
    absl::Time deadline;
  };
  /// A group that one host joins to load weights into its engine.
  struct warmup {
    std::string server;
    absl::Time deadline;
  };
  /// Hosts of one domain that could form a group.
  struct group_candidate {
    const model_profile* model = nullptr;
    std::string domain;
    std::vector<std::string> members;
    /// Members that would have to load the weights from the weight store.
    int loads = 0;
    /// Existing groups that would be dissolved for it.
    int dissolved = 0;
    /// Time that the slowest member needs to join.
    absl::Duration slowest = absl::ZeroDuration();
    /// Free hosts that remain in the domain.
    size_t free_left = 0;
  };
  /// Groups that may be dissolved in favour of a larger model.
  struct dissolvable_groups {
    std::set<std::string> names;
    /// How many of them may be groups other than spare groups.
    int beyond_spares = 0;
  };
  /// Ids of hosts that may join a group, by fabric domain.
  using hosts_by_domain = std::map<std::string, std::vector<std::string>>;
  using models_by_server =
      absl::flat_hash_map<std::string_view, std::string_view>;
  struct service_state;
  struct domain_weights;

  // Servers and orders: group-controller.cc.

  /// Applies changes of the directory: servers that were added, removed or
  /// restarted, and assumed memberships that their entries confirm.
  void sync_directory(const server_directory& directory, absl::Time now);
  /// Requests reports from servers whose state is uncertain.
  void send_probes(group_actions& out, absl::Time now);
  /// Updates a server's state after an order that it accepted.
  void on_accepted(server_track& track, const group_order& order,
                   order_result result, absl::Time now);
  /// Queues an order to a server. Returns false if its last order has no result
  /// yet, its count of orders is unknown, or too many orders are pending.
  bool send(const server_entry& entry, group_order order, group_actions& out);
  /// Whether so many servers are unresponsive that this holder itself is
  /// probably isolated from the network.
  bool is_isolated(const server_directory& directory) const;
  /// Whether the server answers and has not announced its stop.
  bool usable(const server_entry& entry) const;
  /// Whether the requests that depend on a server have ended or will never
  /// end: it cannot be reached, or has been silent for the stall time. That a
  /// server which stops no longer listens does not show it.
  bool is_lost(const server_track& track, absl::Time now) const;
  /// Whether a group cannot serve at the moment since a member does not answer.
  bool lacks_answers(const service_state& s, const group_view& group) const;
  /// Whether the server is in a closed data hall.
  bool in_closed_hall(const server_entry& entry) const {
    return this->closed_halls.count(entry.hall) != 0;
  }
  /// Whether any known member of a group is in a closed data hall.
  bool in_closed_hall(const service_state& s, const group_view& group) const;
  bool in_closed_hall(const service_state& s,
                      const std::vector<std::string>& members) const;
  /// Whether the server may become, or stay, a member of a planned group.
  bool may_join(const server_entry& entry) const {
    return this->usable(entry) && !this->in_closed_hall(entry);
  }
  /// Maps members of plans to the plan's model. The result refers to strings of
  /// `plans`.
  models_by_server planned_models() const;
  /// Collects one service's servers and groups, with acknowledged orders taken
  /// as executed.
  service_state build_service_state(const server_directory& directory,
                                    const backend_service& service) const;
  /// Computes the next orders for one service.
  void reconcile_service(const server_directory& directory,
                         const backend_service& service, bool requests_seen,
                         absl::Time now, group_actions& out);

  /// Adds the summaries of a service's models if they are due.
  void summarize(const service_state& s, absl::Time now, group_actions& out);

  // Opening and dissolving groups: group-repair.cc.

  /// Opens a group that is ready, or dissolves one that cannot serve.
  void reconcile_group(service_state& s, const group_view& group,
                       absl::Time now, group_actions& out);
  /// The reason to dissolve a group; nullopt if it may stay.
  std::optional<std::string> reason_to_dissolve(const service_state& s,
                                                const group_view& group,
                                                absl::Time now);
  /// Why a group counts as having lost a member, or as about to lose one;
  /// nullopt if it does not.
  std::optional<std::string> reason_member_lost(const service_state& s,
                                                const group_view& group,
                                                absl::Time now) const;
  /// Whether a serving group can keep serving for now although `leaving` has
  /// announced its stop.
  bool may_keep_serving(const service_state& s, const group_view& group,
                        const std::string& leaving, absl::Time now) const;
  /// Sends the next order needed to dissolve a group.
  void dissolve(const service_state& s, const group_view& group,
                const std::string& reason, absl::Time now, group_actions& out);
  /// Whether the running streams of a group can still end properly: its head
  /// may have some, no member is lost, and they have not had their time.
  /// `since` is when the group began to be dissolved. Nothing else decides
  /// whether an order may cut streams.
  bool streams_may_end(const service_state& s, const group_view& group,
                       absl::Time since, absl::Time now) const;
  /// Orders the head of a group, which answers, to take no more requests.
  void close_group(const service_state& s, const group_view& group,
                   group_actions& out);
  /// Orders the head of a group, which answers, to leave it.
  void release_head(const service_state& s, const group_view& group,
                    group_actions& out);
  /// Orders the members of a group whose head does not answer to leave.
  void release_members(const service_state& s, const group_view& group,
                       group_actions& out);
  /// Orders free servers to leave groups that no longer exist.
  void clear_stale_memberships(const service_state& s, group_actions& out);

  // Forming groups: group-formation.cc.

  /// Whether no server has been added or removed for a while.
  bool server_count_stable(const service_state& s, absl::Time now);
  /// Whether a server may be ordered to join a group now.
  bool free_to_join(const service_state& s, const server_entry& entry) const;
  /// Estimated time for a server to join a group of `model`.
  absl::Duration join_time(const service_state& s, const std::string& server,
                           const model_profile& model, absl::Time now) const;
  /// Whether a server's last group was one of `model`, so that its engine still
  /// holds the weights and rejoins at once.
  bool last_ran(const service_state& s, const std::string& server,
                const model_profile& model) const;
  /// Whether a server would have to load a model's weights from the weight
  /// store to join.
  bool needs_load(const service_state& s, const std::string& server,
                  const model_profile& model) const;
  /// Servers that may join a group and that no plan uses.
  hosts_by_domain free_hosts(const service_state& s) const;
  /// Number of groups wanted of a model, from the usable hosts without spares.
  double wanted_groups(const service_state& s,
                       const model_profile& model) const;
  /// Existing and forming groups of a model, as a ratio of those wanted.
  double fill_ratio(const service_state& s, const model_profile& model) const;
  /// Whether each model has the groups that are wanted.
  bool all_models_filled(const service_state& s) const;
  /// The model to form the next group for; null if none lacks one.
  const model_profile* next_model(const service_state& s,
                                  const std::set<std::string>& skipped,
                                  bool requests_seen) const;
  /// The hosts that form a group of `model` at the lowest cost; nullopt if no
  /// domain has enough of them.
  std::optional<group_candidate> best_candidate(const service_state& s,
                                                const model_profile& model,
                                                const hosts_by_domain& free,
                                                absl::Time now) const;
  /// Plans the missing groups, or has their hosts stage the weights first.
  void form_groups(service_state& s, bool requests_seen, absl::Time now,
                   group_actions& out);
  /// The epoch of the next group of this term.
  int64_t next_epoch();
  /// Plans one group.
  void form_group(service_state& s, const model_profile& model,
                  const std::vector<std::string>& members, absl::Time now,
                  group_actions& out);
  /// Whether all members of a plan may still join.
  bool may_form(const service_state& s, const group_plan& plan) const;
  /// Orders the members of plans to join, and drops plans that lost one.
  void send_joins(const service_state& s, absl::Time now, group_actions& out);

  // Spare hosts that serve: group-spares.cc.

  /// Names of a model's existing groups, those whose hosts are the most useful
  /// for repairs first.
  std::vector<std::string> groups_by_repair_value(
      const service_state& s, const model_profile& model) const;
  /// Groups beyond those that are wanted; their hosts count as spares.
  std::set<std::string> spare_groups(const service_state& s) const;
  /// Dissolves spare groups whose hosts can form a group of `model` without a
  /// load from the weight store. Returns whether such hosts exist or are being
  /// freed.
  bool reclaim_spares(service_state& s, const model_profile& model,
                      hosts_by_domain& free, absl::Time now,
                      group_actions& out);
  /// Whether wanted groups of a smaller model may be dissolved for a larger
  /// one. Never the case if spare hosts do not serve.
  bool yielding_enabled() const {
    return this->options.spares_serve && this->options.smaller_yield;
  }
  /// A model's number of groups and of wanted groups, for `may_yield`.
  model_group_counts group_counts_of(const service_state& s,
                                     const model_profile& model) const;
  /// Groups that may be dissolved so that one of `model` can form.
  dissolvable_groups find_dissolvable_groups(const service_state& s,
                                             const model_profile& model) const;
  /// Hosts that could form a group of `model`: free ones, those of groups being
  /// dissolved, and those of `dissolvable`.
  hosts_by_domain reclaimable_hosts(
      const service_state& s, const model_profile& model,
      const hosts_by_domain& free,
      const std::set<std::string>& dissolvable) const;
  /// Whether a group is not being dissolved.
  bool remains(const std::string& group) const;
  /// Forms further groups from free hosts that hold the weights of a model.
  void form_spare_groups(service_state& s, absl::Time now, group_actions& out);

  // Moving hosts between models by demand: group-division.cc.

  /// Hosts of one domain that may form a group of another model, and groups
  /// that could be dissolved to get more.
  struct domain_pool;
  /// A group to be formed from hosts of other groups.
  struct move_plan;
  /// The hosts that groups may be formed of, without those kept as spares.
  host_capacity available_capacity(const service_state& s) const;
  /// The host allocation of a service, and when it was last evaluated.
  struct service_allocation {
    model_shares shares;
    absl::Time at = absl::InfinitePast();
  };
  /// The host allocation of a service; created with the configured shares.
  service_allocation& allocation_of(const std::string& service);
  /// Restores the allocation of a previous holder.
  void restore_allocation(const std::vector<model_share>& last_shares);
  /// Adds the current demand to the history and changes the allocation if that
  /// is worth its cost.
  void update_allocation(const service_state& s, absl::Time now,
                         group_actions& out);
  /// Number of groups that a model has lacked for longer than a repair takes.
  int persistent_deficit(const service_state& s, const model_profile& model,
                         absl::Time now);
  /// Number of a model's groups beyond those that are wanted.
  int surplus_groups(const service_state& s, const model_profile& model) const;
  /// Whether these groups may be dissolved in addition to those already being
  /// dissolved for another model.
  bool may_dissolve_now(const service_state& s,
                        const std::vector<const group_view*>& dissolved) const;
  /// Candidate hosts and groups of each domain for a group of `model`.
  std::map<std::string, domain_pool> domain_pools_for(
      const service_state& s, const model_profile& model) const;
  /// Selects the hosts of a domain's pool that form one group at the lowest
  /// cost; nullopt if there are too few.
  std::optional<move_plan> plan_move(const service_state& s,
                                     const model_profile& model,
                                     const domain_pool& pool,
                                     const count_by_model& dissolvable,
                                     absl::Time now) const;
  /// Whether a host holds a model's weights or is loading them.
  bool has_or_is_loading(const service_state& s, const std::string& id,
                         const model_profile& model, absl::Time now) const;
  /// Has hosts of models with surplus groups load the weights of models that
  /// lack groups, and then dissolves the surplus groups.
  void reassign_hosts(service_state& s, absl::Time now, group_actions& out);
  void reassign_hosts_to(service_state& s, const model_profile& model,
                         int deficit, absl::Time now, group_actions& out);
  /// Takes the next step of the moves planned for one domain.
  void execute_moves(service_state& s, const model_profile& model,
                     const std::vector<move_plan>& plans, absl::Time now,
                     group_actions& out);

  // Hosts that load weights into their engines: group-warming.cc.

  /// Number of hosts that are being warmed up, by fabric domain.
  std::map<std::string, size_t> warming_by_domain(const service_state& s) const;
  /// Whether a free host holds weights that its engine has not run.
  bool may_warm(const service_state& s, const std::string& id,
                absl::Time now) const;
  /// Orders one host to join a group of its own.
  void warm_host(const service_state& s, const std::string& id,
                 const std::vector<std::string>& domain_hosts, absl::Time now,
                 group_actions& out);
  /// Has free hosts load the weights that they hold into their engines.
  void warm_spares(const service_state& s, bool requests_seen, absl::Time now,
                   group_actions& out);
  /// Orders a host whose warm-up is complete to leave its group.
  void end_warmup(const service_state& s, const group_view& group,
                  group_actions& out);

  // Staging of weights: group-staging.cc.

  /// Adds the loads that previous holders may have started to the window.
  void count_earlier_loads(const engine_profile& engine, absl::Time now);
  /// Number of loads from the weight store that may start now.
  int remaining_loads(const engine_profile& engine, absl::Time now);
  /// Stages the weights on the hosts of `candidate` that lack them.
  void stage_for(const service_state& s, const group_candidate& f,
                 absl::Time now, group_actions& out);
  /// Orders one server to stage a model. Returns false if it may not now.
  bool stage(const service_state& s, const std::string& id,
             const model_profile& model, bool requests_seen, absl::Time now,
             group_actions& out);
  /// Counts a host that serves as a spare and may also be loading a model.
  static void count_serving_spare(const server_entry& entry, bool loading,
                                  const std::string& model_loading,
                                  domain_weights& weights);
  /// Counts a host of a wanted group.
  void count_member(const server_entry& entry, const server_track& track,
                    absl::Time now, domain_weights& weights) const;
  /// Counts which weights the hosts of each domain hold. Appends free hosts
  /// without weights to `unstaged`.
  std::map<std::string, domain_weights> weights_by_domain(
      const service_state& s, absl::Time now,
      std::vector<std::string>& unstaged) const;
  /// Adds the groups that will form once a domain has enough hosts.
  void count_expected_groups(const service_state& s,
                             domain_weights& weights) const;
  /// Need of a model for one more spare in a domain, not counting
  /// `fewer` of its spares: the members whose loss that spare would cover.
  static double spare_need(const model_profile& model, domain_weights& weights,
                           int fewer);
  /// Has one spare host of a domain load another model's weights if that model
  /// needs the host far more.
  void restage_spare(const service_state& s, domain_weights& weights,
                     absl::Time now, group_actions& out);
  /// The model that most needs another spare host in a domain; null if the
  /// engine has no models.
  static const model_profile* model_to_stage(const engine_profile& engine,
                                             domain_weights& weights);
  /// Has some hosts that serve the smallest model stage a larger model's
  /// weights while loads are quick and not limited. Such a host can rejoin a
  /// group of its own model without that model's weights on the host.
  void stage_members(const service_state& s, domain_weights& weights,
                     absl::Time now, group_actions& out);
  /// Has free hosts load the weights that repairs will most likely need.
  void stage_spares(const service_state& s, bool requests_seen, absl::Time now,
                    group_actions& out);

  group_controller_options options;
  /// Fencing number of the lease; 0 while this node does not hold it.
  int64_t fence = 0;
  /// Number of groups planned under `epochs_fence`. A lease that lapses and is
  /// renewed by the same holder keeps its fencing number, so the count
  /// continues: two groups of the same name and epoch could not be
  /// distinguished.
  int64_t epochs = 0;
  int64_t epochs_fence = 0;
  std::map<std::string, server_track> tracks;
  /// Groups of this term by name, until they are dissolved.
  std::map<std::string, group_plan> plans;
  /// Groups that one host joins to load weights into its engine.
  std::map<std::string, warmup> warmups;
  /// Groups whose head is known to serve no longer.
  std::set<std::string> stopped_groups;
  /// Groups that are being dissolved, and since when.
  std::map<std::string, absl::Time> dissolving;
  /// Incomplete groups of previous holders, and when they were first seen.
  std::map<std::string, absl::Time> incomplete;
  /// When loads from the weight store were ordered, within the load window.
  std::deque<absl::Time> loads;
  /// Loads of the previous holder, until they are counted in `loads`.
  std::optional<earlier_loads> inherited;
  /// Demand in all data halls, and when it was last updated.
  std::optional<demand_view> demand;
  absl::Time demand_at = absl::InfinitePast();
  /// The host allocation by service.
  std::map<std::string, service_allocation> allocations;
  /// Groups dissolved so that their hosts go to another model.
  std::set<std::string> reassigned_groups;
  /// Since when a model has lacked groups, by service and model.
  std::map<std::pair<std::string, std::string>, absl::Time> lacking_since;
  /// Outstanding report requests, and orders without a result.
  congestion_window pending_probes;
  congestion_window pending_orders;
  absl::Duration loop_delay = absl::ZeroDuration();
  /// Data halls whose servers get no requests.
  std::set<std::string> closed_halls;
  /// Number of servers at the last step, and since when it has not changed.
  struct server_count_record {
    size_t servers = 0;
    absl::Time since = absl::InfinitePast();
  };
  std::map<std::string, server_count_record> server_counts;
  /// When the models were last summarized, by service.
  std::map<std::string, absl::Time> summarized;
};

}  // namespace spokesail
