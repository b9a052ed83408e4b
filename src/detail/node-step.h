// One step of the node's reducer, implemented in several files by concern.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "spokesail/reducer.h"

namespace spokesail::detail {

/// Applies one event to a node's state and collects the effects.
class node_step final : public routing_view {
 public:
  node_step(node_state& state, absl::Time now) : s(state), now(now) {}

  std::vector<effect> take() { return std::move(this->effects); }

  // Objects and configuration: node-view.cc
  void on(const object_event& e);
  void on(const list_event& e);
  void on(const peer_objects_event& e);
  void on(const pull_event& e);
  void tick_view();

  // Members, probes and presence: node-beat.cc
  void on(const probe_event& e);
  void on(const heartbeat_event& e);
  void on(const heartbeat_ack_event& e);
  void tick_members();
  void send_heartbeats();

  // The hall controller: node-control.cc
  void on(const platform_event& e);
  void on(const order_event& e);
  void tick_controller();

  // Requests: node-request.cc
  void on(const request_event& e);
  void on(const attempt_event& e);
  void on(const caller_disconnected_event& e);
  void on(const stop_event& e);
  void tick_requests();

  // Operator status and gauges: node-status.cc
  void on(const status_event& e);
  void tick_gauges();

  void on(const tick_event& e);

  // routing_view
  std::vector<open_target> open_places(
      target_kind kind, const std::string& target) const override;
  bool can_complete(target_kind kind,
                    const attempt_target& target) const override;
  std::vector<attempt_target> other_halls(
      target_kind kind, const std::string& target) const override;
  const configuration* config() const override;
  absl::Duration estimated_reopen(const std::string& target) const override;

 private:
  void emit(effect e) { this->effects.push_back(std::move(e)); }
  void log(std::string name, std::vector<log_field> fields,
           bool audited = false);
  std::vector<std::string> hall_peer_addresses() const;
  std::string new_write_id();

  bool relevant(const object& o) const;
  void merge(const std::vector<object>& objects, bool from_platform);
  void apply_object(const object& o);
  void apply_head();
  void apply_host(const object& o);
  void apply_placement(const object& o);
  void request_bundle();

  std::vector<std::string> watchers() const;
  void apply_host_observations(const heartbeat& b, member& m);
  void assign_probes();
  void send_probes();
  void update_lost_hosts();
  void update_open_groups();
  heartbeat make_heartbeat();
  std::vector<std::string> open_targets() const;
  absl::Time probed_at() const;
  void record_unreachable(const attempt_event& e);
  void emit_requests(request_actions& actions);
  controller_view make_controller_view() const;
  bool ready() const;
  int stranded_accelerators() const;

  node_state& s;
  absl::Time now;
  std::vector<effect> effects;
};

}  // namespace spokesail::detail
