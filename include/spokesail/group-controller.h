// Decides the next orders that form, open, repair and dissolve serving groups.
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

/// One change of what the controller believes, for the log.
struct controller_event {
  std::string event;
  /// The group or server that it is about.
  std::string subject;
  std::string reason;
  bool operator==(const controller_event&) const = default;
};

/// A model's groups and hosts at one moment, for the log.
struct model_summary {
  std::string model;
  /// Groups that serve, that stand or form, and that are wanted.
  int serving = 0;
  int standing = 0;
  int wanted = 0;
  /// Usable hosts in no group that hold its weights, and that load them.
  int idle = 0;
  int loading = 0;
  bool operator==(const model_summary&) const = default;
};

/// What one step asks for.
struct group_actions {
  std::vector<group_order> orders;
  /// Servers to ask for their report.
  std::vector<std::string> report_requests;
  std::vector<controller_event> notes;
  /// How the models stand; filled now and then.
  std::vector<model_summary> summaries;
  /// Whether this holder should give its lease up.
  bool step_down = false;
};

/// Loads from the weight store that earlier holders of the lease began.
struct earlier_loads {
  /// Loads in the window before `as_of`, by the last holder's own word.
  int count = 0;
  /// When this node heard of them; infinite past if it never did.
  absl::Time as_of = absl::InfinitePast();
  bool operator==(const earlier_loads&) const = default;
};

/// The group controller of the holder of the lease. It compares what stands,
/// by the servers' own words, with what should stand, and gives the next
/// orders; it keeps nothing that a new holder could not read back.
///
/// No server is told to join a group while it belongs to another whose head
/// may still serve: the head has left or is broken by its own word, or the
/// server itself has acknowledged that it left. A head that lost a member so
/// serves nobody from then on.
class group_controller {
 public:
  explicit group_controller(const group_controller_options& options)
      : options(options) {}

  /// Begins to act under a lease's fencing number. What the holder before it
  /// loaded counts in this one's windows, and its division of the hosts stays
  /// in force.
  void start_term(int64_t fence, const earlier_loads& before = {},
                  const std::vector<model_share>& last_shares = {});

  /// Stops acting and forgets.
  void stop_term();

  /// Takes how late this node's loop was at worst of late.
  void set_loop_delay(absl::Duration delay) { this->loop_delay = delay; }

  /// Takes the data halls whose servers get no requests. No group is formed
  /// there, and neither hosts nor groups there count; groups that stand are
  /// left as they are.
  void set_closed_halls(std::set<std::string> halls) {
    this->closed_halls = std::move(halls);
  }

  /// Takes what callers ask for, as far as this node knows.
  void update_demand(const demand_view& known, absl::Time now) {
    this->demand = known;
    this->demand_at = now;
  }

  /// Whether it acts under a lease.
  bool active() const { return this->fence != 0; }

  /// A server is thought not to answer, from traffic or from a connection.
  void suspect(const std::string& server, absl::Time now);

  /// Takes the result of an order that `step` gave.
  void on_order_result(const group_order& order, order_result result,
                       absl::Time now);

  /// Takes a server's report; nothing if it did not answer in time.
  void on_report(const std::string& server,
                 const std::optional<server_report>& report, absl::Time now);

  /// Decides the next orders. `requests_seen` is false while loads are still
  /// free, before there are requests.
  group_actions step(const server_directory& directory,
                     const routing_config& config, bool requests_seen,
                     absl::Time now);

  /// Servers that do not answer, by id.
  std::vector<std::string> silent_servers() const;

  /// The division of hosts, where it is not as stated, for the next holder.
  std::vector<model_share> shares() const;

  /// Loads of the current window, for the next holder.
  int loads_begun(absl::Time now) const;

 private:
  /// What is known of one server beyond its entry in the directory.
  struct server_track {
    /// The start that all else here is about; 0 if it is not known.
    int64_t incarnation = 0;
    /// Orders it has begun, by its own count; nothing until it has been asked.
    std::optional<int64_t> orders_started;
    /// The order that has no result yet.
    std::optional<group_order> pending;
    /// What it belongs to by an acknowledged order that its entry does not
    /// show yet, and how long that is believed.
    std::optional<group_membership> assumed;
    absl::Time assumed_until = absl::InfinitePast();
    /// Whether it did not answer when last asked.
    bool silent = false;
    /// Whether it was busy with an order when last asked.
    bool order_running = false;
    /// When it is to be asked; infinite future if it need not be.
    absl::Time probe_at = absl::InfiniteFuture();
    /// The model that it was told to stage, and when that should be done.
    std::string staging_model;
    absl::Time staging_until = absl::InfinitePast();
    /// The model that it was last told to join for.
    std::string last_model;
    /// Since when it has been about to stop; infinite future if it is not.
    absl::Time leaving_since = absl::InfiniteFuture();
    /// The group that it was told to leave as its head.
    std::string leaving_group;
  };
  /// Drops what was known of a server whose report is of a later start.
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
  /// A group that one host joins to take weights into its engine.
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
    /// Groups that stand and would be ended.
    int ended = 0;
    /// Time that the slowest member takes to join.
    absl::Duration slowest = absl::ZeroDuration();
    /// Free hosts that stay in the domain.
    size_t left = 0;
  };
  /// Groups that may be ended for a larger model.
  struct dissolvable_groups {
    std::set<std::string> names;
    /// How many of them that are not spare ones may be.
    int beyond_spares = 0;
  };
  /// Ids of hosts that may join a group, by fabric domain.
  using hosts_by_domain = std::map<std::string, std::vector<std::string>>;
  using models_by_server =
      absl::flat_hash_map<std::string_view, std::string_view>;
  struct service_state;
  struct domain_weights;

  // Servers and orders: group-controller.cc.

  /// Takes servers that have come or gone, and what their entries confirm.
  void sync_directory(const server_directory& directory, absl::Time now);
  /// Asks servers whose state is in doubt.
  void send_probes(group_actions& out, absl::Time now);
  /// Takes an order as carried out.
  void on_accepted(server_track& track, const group_order& order,
                   order_result result, absl::Time now);
  /// Gives a server an order. False while its last one has no result, or its
  /// count of orders is not known.
  bool send(const server_entry& entry, group_order order, group_actions& out);
  /// Whether it is this holder, not the servers, that cannot be reached.
  bool is_isolated(const server_directory& directory) const;
  /// Whether the server answers and stays.
  bool usable(const server_entry& entry) const;
  /// Whether the server is in a data hall that is closed.
  bool in_closed_hall(const server_entry& entry) const {
    return this->closed_halls.count(entry.hall) != 0;
  }
  /// The same of a group, by any of its members that are known.
  bool in_closed_hall(const service_state& s, const group_view& group) const;
  bool in_closed_hall(const service_state& s,
                      const std::vector<std::string>& members) const;
  /// Whether the server may become, or stay, a member of a planned group.
  bool may_join(const server_entry& entry) const {
    return this->usable(entry) && !this->in_closed_hall(entry);
  }
  /// Members of plans, with their plan's model; holds on to the plans' names.
  models_by_server planned_models() const;
  /// One service's servers and groups, acknowledged orders included.
  service_state build_service_state(const server_directory& directory,
                                    const backend_service& service) const;
  /// Decides the next orders for one service.
  void reconcile_service(const server_directory& directory,
                         const backend_service& service, bool requests_seen,
                         absl::Time now, group_actions& out);

  /// Adds how the models of a service stand, if that is due.
  void summarize(const service_state& s, absl::Time now, group_actions& out);

  // The end of groups: group-repair.cc.

  /// Opens a group that is ready, or dissolves one that cannot serve.
  void reconcile_group(service_state& s, const group_view& group,
                       absl::Time now, group_actions& out);
  /// Why a group is to end; nothing if it may stay.
  std::optional<std::string> reason_to_dissolve(const service_state& s,
                                                const group_view& group,
                                                absl::Time now);
  /// Which member a group has lost, or will lose, and how.
  std::optional<std::string> reason_member_lost(const service_state& s,
                                                const group_view& group,
                                                absl::Time now) const;
  /// Whether a group that serves can do so on for now although a member is
  /// about to stop.
  bool may_keep_serving(const service_state& s, const group_view& group,
                        const std::string& leaving, absl::Time now) const;
  /// Takes the next step to end a group.
  void dissolve(const service_state& s, const group_view& group,
                const std::string& reason, absl::Time now, group_actions& out);
  /// Ends a group whose head answers, on its way out since `since`.
  void dissolve_through_head(const service_state& s, const group_view& group,
                             absl::Time since, absl::Time now,
                             group_actions& out);
  /// Has the members behind a head that does not answer leave.
  void release_members(const service_state& s, const group_view& group,
                       group_actions& out);
  /// Has free servers leave groups that are no more.
  void clear_stale_memberships(const service_state& s, group_actions& out);

  // The forming of groups: group-formation.cc.

  /// Whether no server has come or gone for a while.
  bool server_count_stable(const service_state& s, absl::Time now);
  /// Whether a server may be told to join a group now.
  bool free_to_join(const service_state& s, const server_entry& entry) const;
  /// Time that a server would take to join a group of `model`.
  absl::Duration join_time(const service_state& s, const std::string& server,
                           const model_profile& model, absl::Time now) const;
  /// Whether a server's last group was one of `model`, so that it still holds
  /// the weights and joins again at once.
  bool last_ran(const service_state& s, const std::string& server,
                const model_profile& model) const;
  /// Whether a server would have to load a model's weights to join.
  bool needs_load(const service_state& s, const std::string& server,
                  const model_profile& model) const;
  /// Servers that may join and that no plan holds.
  hosts_by_domain free_hosts(const service_state& s) const;
  /// Groups of a model that are wanted for the usable hosts, spares left out.
  double wanted_groups(const service_state& s,
                       const model_profile& model) const;
  /// Groups that stand or form against those that are wanted.
  double fill_ratio(const service_state& s, const model_profile& model) const;
  /// Whether each model has the groups that are wanted.
  bool all_models_filled(const service_state& s) const;
  /// The model that a group is to be formed for next; null if none lacks one.
  const model_profile* next_model(const service_state& s,
                                  const std::set<std::string>& passed_over,
                                  bool requests_seen) const;
  /// The hosts that form a group of `model` at the least cost; nothing if no
  /// domain has enough of them.
  std::optional<group_candidate> best_candidate(const service_state& s,
                                                const model_profile& model,
                                                const hosts_by_domain& free,
                                                absl::Time now) const;
  /// Plans the groups that are wanted, or stages their hosts first.
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
  /// Tells the members of plans to join, and drops plans that lost one.
  void send_joins(const service_state& s, absl::Time now, group_actions& out);

  // Spares that serve: group-spares.cc.

  /// A model's groups that stand, first those whose hosts repairs need most.
  std::vector<std::string> groups_by_repair_value(
      const service_state& s, const model_profile& model) const;
  /// Groups beyond those that are wanted, whose hosts count as spares.
  std::set<std::string> spare_groups(const service_state& s) const;
  /// Ends spare groups whose hosts can form a group of `model` without a load.
  /// Whether such hosts are there, or on their way.
  bool reclaim_spares(service_state& s, const model_profile& model,
                      hosts_by_domain& free, absl::Time now,
                      group_actions& out);
  /// Whether groups that are wanted give way; never where spares do not serve.
  bool yielding_enabled() const {
    return this->options.spares_serve && this->options.smaller_yield;
  }
  /// How a model stands, for the question of who gives way.
  model_group_counts group_counts_of(const service_state& s,
                                     const model_profile& model) const;
  /// Groups that may be ended so that one of `model` can form.
  dissolvable_groups find_dissolvable_groups(const service_state& s,
                                             const model_profile& model) const;
  /// Hosts that could form a group of `model`: free ones, those of groups on
  /// their way out, and those of `to_end`.
  hosts_by_domain reclaimable_hosts(const service_state& s,
                                    const model_profile& model,
                                    const hosts_by_domain& free,
                                    const std::set<std::string>& to_end) const;
  /// Whether a group that stands is not on its way out.
  bool remains(const std::string& group) const;
  /// Has free hosts serve in further groups of a model whose weights they hold.
  void form_spare_groups(service_state& s, absl::Time now, group_actions& out);

  // Hosts that go to the model that callers ask for: group-division.cc.

  /// Hosts of one domain that may form a group of another model, and groups
  /// that would have to give way for more.
  struct domain_pool;
  /// A group that is to form of hosts that other groups give.
  struct move_plan;
  /// The hosts that groups may be formed of, those kept for repairs left out.
  host_capacity available_capacity(const service_state& s) const;
  /// A division of hosts, and when it was last thought over.
  struct service_allocation {
    model_shares shares;
    absl::Time at = absl::InfinitePast();
  };
  /// The division of a service's hosts, begun as stated.
  service_allocation& allocation_of(const std::string& service);
  /// Takes up the division of an earlier holder.
  void restore_allocation(const std::vector<model_share>& known);
  /// Takes the next second of demand into the division of the hosts.
  void update_allocation(const service_state& s, absl::Time now,
                         group_actions& out);
  /// Groups of a model that have been missing for longer than a repair takes.
  int persistent_deficit(const service_state& s, const model_profile& model,
                         absl::Time now);
  /// Groups of a model beyond those that are wanted.
  int surplus_groups(const service_state& s, const model_profile& model) const;
  /// Whether these groups may give way beside those that do already.
  bool may_dissolve_now(const service_state& s,
                        const std::vector<const group_view*>& ended) const;
  /// What each domain has for a group of `model`.
  std::map<std::string, domain_pool> domain_pools_for(
      const service_state& s, const model_profile& model) const;
  /// Hosts of a domain's pool for one group, at the least cost; nothing if they
  /// do not suffice.
  std::optional<move_plan> plan_move(const service_state& s,
                                     const model_profile& model,
                                     const domain_pool& pool,
                                     const count_by_model& left,
                                     absl::Time now) const;
  /// Whether a host is loading a model's weights, or holds them.
  bool has_or_is_loading(const service_state& s, const std::string& id,
                         const model_profile& model, absl::Time now) const;
  /// Has hosts of models with groups beyond those wanted load the weights of
  /// models that lack some, and then ends their groups.
  void reassign_hosts(service_state& s, absl::Time now, group_actions& out);
  void reassign_hosts_to(service_state& s, const model_profile& model, int lack,
                         absl::Time now, group_actions& out);
  /// Takes the next step of the plans for one domain.
  void execute_moves(service_state& s, const model_profile& model,
                     const std::vector<move_plan>& plans, absl::Time now,
                     group_actions& out);

  // Hosts that take weights into their engines: group-warming.cc.

  /// Hosts that warm up, by fabric domain.
  std::map<std::string, size_t> warming_by_domain(const service_state& s) const;
  /// Whether a free host holds weights that its engine has not run.
  bool may_warm(const service_state& s, const std::string& id,
                absl::Time now) const;
  /// Has one host join a group of its own.
  void warm_host(const service_state& s, const std::string& id,
                 const std::vector<std::string>& domain_hosts, absl::Time now,
                 group_actions& out);
  /// Has free hosts take the weights that they hold into their engines.
  void warm_spares(const service_state& s, bool requests_seen, absl::Time now,
                   group_actions& out);
  /// Has a host that is warm leave its group.
  void end_warmup(const service_state& s, const group_view& group,
                  group_actions& out);

  // The staging of weights: group-staging.cc.

  /// Counts what holders before this one may have loaded.
  void count_earlier_loads(const engine_profile& engine, absl::Time now);
  /// Loads from the weight store that may begin now.
  int remaining_loads(const engine_profile& engine, absl::Time now);
  /// Stages the hosts of `f` that lack the weights.
  void stage_for(const service_state& s, const group_candidate& f,
                 absl::Time now, group_actions& out);
  /// Tells one server to stage a model. False if it may not now.
  bool stage(const service_state& s, const std::string& id,
             const model_profile& model, bool requests_seen, absl::Time now,
             group_actions& out);
  /// Counts a host that serves as a spare, and that may be loading a model.
  static void count_serving_spare(const server_entry& entry, bool loading,
                                  const std::string& model_loading,
                                  domain_weights& weights);
  /// Counts a host in a group that is wanted.
  void count_member(const server_entry& entry, const server_track& track,
                    absl::Time now, domain_weights& weights) const;
  /// What the hosts of each domain hold. Adds free hosts with no weights to
  /// `bare`.
  std::map<std::string, domain_weights> weights_by_domain(
      const service_state& s, absl::Time now,
      std::vector<std::string>& bare) const;
  /// Counts the groups that will form once a domain has hosts enough.
  void count_expected_groups(const service_state& s,
                             domain_weights& weights) const;
  /// How much a model needs one more spare in a domain that had `fewer` of
  /// them, in members whose loss it would make good.
  static double spare_need(const model_profile& model, domain_weights& weights,
                           int fewer);
  /// Has one spare of a domain load another model's weights, if that model
  /// needs it far more.
  void restage_spare(const service_state& s, domain_weights& weights,
                     absl::Time now, group_actions& out);
  /// The model that a domain needs a further spare of most; null if the engine
  /// has no models.
  static const model_profile* model_to_stage(const engine_profile& engine,
                                             domain_weights& weights);
  /// Has some hosts that serve the smallest model hold a larger one's weights,
  /// while loads are quick and free: they join again for their own model
  /// without its weights on the host.
  void stage_members(const service_state& s, domain_weights& weights,
                     absl::Time now, group_actions& out);
  /// Has free hosts load the weights that repairs will most likely need.
  void stage_spares(const service_state& s, bool requests_seen, absl::Time now,
                    group_actions& out);

  group_controller_options options;
  /// Fencing number of the lease; 0 while this node does not hold it.
  int64_t fence = 0;
  /// Groups planned under `epochs_fence`. A lease that lapses and is renewed
  /// before anybody else takes it keeps its number, so that the count goes on:
  /// two groups of one name and epoch cannot be told apart.
  int64_t epochs = 0;
  int64_t epochs_fence = 0;
  std::map<std::string, server_track> tracks;
  /// Groups of this term by name, until they are dissolved.
  std::map<std::string, group_plan> plans;
  /// Groups that one host joins to take weights into its engine.
  std::map<std::string, warmup> warmups;
  /// Groups whose head surely serves no more.
  std::set<std::string> stopped_groups;
  /// Groups on their way out, and since when.
  std::map<std::string, absl::Time> dissolving;
  /// Groups of earlier holders that are not whole, and since when.
  std::map<std::string, absl::Time> incomplete;
  /// When loads from the weight store were ordered, within the load window.
  std::deque<absl::Time> loads;
  /// What the holder before this one loaded, until it is counted in `loads`.
  std::optional<earlier_loads> inherited;
  /// What callers ask for, and when that was taken.
  std::optional<demand_view> demand;
  absl::Time demand_at = absl::InfinitePast();
  /// The division of each service's hosts.
  std::map<std::string, service_allocation> allocations;
  /// Groups that give way to another model.
  std::set<std::string> reassigned_groups;
  /// Since when a model has lacked groups, by service and model.
  std::map<std::pair<std::string, std::string>, absl::Time> lacking_since;
  /// Open questions for servers' reports, and orders without a result.
  congestion_window pending_probes;
  congestion_window pending_orders;
  absl::Duration loop_delay = absl::ZeroDuration();
  /// Data halls whose servers get no requests.
  std::set<std::string> closed_halls;
  /// Servers at the last count and since when there are so many, by service.
  struct server_count_record {
    size_t servers = 0;
    absl::Time since = absl::InfinitePast();
  };
  std::map<std::string, server_count_record> server_counts;
  /// When the models were last summarized, by service.
  std::map<std::string, absl::Time> summarized;
};

}  // namespace spokesail
