// Measures the speed of groups and plain servers by the requests sent to them,
// and applies the resulting slowness to the choice of an endpoint.
#include "request-handler.h"

namespace spokesail {

endpoint_id request_handler::endpoint_id_of(
    const endpoint_target& endpoint) const {
  if (endpoint.group.empty()) {
    return {this->service->name, endpoint.server, endpoint.incarnation};
  }
  return {this->service->name + "/" + this->model->name, endpoint.group,
          endpoint.epoch};
}

void request_handler::record_latency(const exchange& ex) {
  if (!this->node.settings.policy.learn_speeds) return;
  if (ex.expected_ms <= 0) return;
  const absl::Time now = this->node.now();
  const double elapsed_ms = absl::ToDoubleMilliseconds(now - ex.sent_at);
  this->node.speeds.add_sample(this->endpoint_id_of(ex.endpoint),
                               elapsed_ms / ex.expected_ms, now);
}

void request_handler::record_response(const exchange& ex) {
  if (this->service->engine) return;
  if (ex.head().result_int() >= first_server_error) {
    this->record_failure(ex);
  } else {
    this->record_latency(ex);
  }
}

void request_handler::record_failure(const exchange& ex) {
  if (!this->node.settings.policy.learn_speeds) return;
  if (ex.caller_not_reading || ex.withheld || ex.path_failed()) return;
  if (ex.aborted == abort_cause::suspected) return;
  const absl::Time now = this->node.now();
  if (this->service->engine) {
    const bool waited =
        !ex.events_started && ex.sent_at <= now && ex.expected_ms > 0;
    if (!waited) return;
    const double elapsed_ms = absl::ToDoubleMilliseconds(now - ex.sent_at);
    this->node.speeds.add_unanswered(this->endpoint_id_of(ex.endpoint),
                                     elapsed_ms / ex.expected_ms, now);
    return;
  }
  if (ex.aborted == abort_cause::caller_gone) return;
  // A caller's deadline may be shorter than a normal response time.
  const bool deadline_before_goal = ex.aborted == abort_cause::time_up &&
                                    now - ex.sent_at < this->route->goal;
  if (deadline_before_goal) return;
  this->node.speeds.record_failure(this->endpoint_id_of(ex.endpoint), now);
}

void request_handler::apply_slowness(
    const std::vector<const group_view*>& groups,
    std::vector<group_option>& options) const {
  if (!this->node.settings.policy.learn_speeds) return;
  const absl::Time now = this->node.now();
  // Groups of this data hall and of the others are bounded separately.
  for (const bool local : {true, false}) {
    std::vector<size_t> indices;
    std::vector<double> slowness;
    for (size_t i = 0; i < groups.size(); ++i) {
      const server_entry* head = this->node.directory.find(groups[i]->head());
      if (this->is_local(*head) != local) continue;
      this->node.speeds.set_epoch({"", groups[i]->name, groups[i]->epoch}, now);
      indices.push_back(i);
      slowness.push_back(this->node.speeds.slowness(groups[i]->name, now));
    }
    slowness = bound_slowness(std::move(slowness));
    for (size_t i = 0; i < indices.size(); ++i) {
      options[indices[i]].slowness = slowness[i];
    }
  }
}

std::vector<double> request_handler::server_slowness(
    const std::vector<const server_entry*>& servers) const {
  const absl::Time now = this->node.now();
  std::vector<double> out;
  for (const server_entry* entry : servers) {
    this->node.speeds.set_epoch({"", entry->id, entry->incarnation}, now);
    out.push_back(this->node.speeds.slowness(entry->id, now));
  }
  return bound_slowness(std::move(out));
}

}  // namespace spokesail
