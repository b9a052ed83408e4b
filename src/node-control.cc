// Runs the hall controller inside a node: builds its view and emits its calls
// and orders.
#include <algorithm>

#include "detail/node-step.h"

namespace spokesail::detail {

controller_view node_step::make_controller_view() const {
  controller_view view;
  view.config = this->config();
  view.hall = this->s.options.self.hall;
  for (const auto& [name, info] : this->s.hosts) {
    host_view host;
    host.info = info;
    host.report = this->s.presence.present(name, this->now,
                                           this->s.options.presence_window);
    if (const auto observed = this->s.presence.latest(name)) {
      host.load = observed->load;
      host.load_at = observed->at;
    }
    const auto lost = this->s.lost_since.find(name);
    if (lost != this->s.lost_since.end()) host.lost_since = lost->second;
    host.drained = this->s.drained.count(name) != 0;
    view.hosts.emplace(name, std::move(host));
  }
  return view;
}

void node_step::tick_controller() {
  controller& c = this->s.hall_controller;
  if (!this->s.watching && !c.leads(this->now)) return;
  const bool lead_before = this->s.gauges.leads;
  const auto id = this->new_write_id();
  auto actions = c.step(this->make_controller_view(), this->now, id);
  if (c.leads(this->now) != lead_before) {
    this->log(lead_before ? "lease_lost" : "lease_held",
              {{"hall", this->s.options.self.hall},
               {"fence", std::to_string(c.hall_lease().fence())}});
  }
  if (actions.lease_call) {
    this->emit(platform_effect{call_owner::lease, *actions.lease_call});
  }
  if (actions.placement_call) {
    this->emit(platform_effect{call_owner::placement, *actions.placement_call});
  }
  for (auto& o : actions.orders) {
    this->log("order_sent", {{"host", o.host},
                             {"kind", order_name(o.kind)},
                             {"group", o.group},
                             {"incarnation", std::to_string(o.incarnation)},
                             {"fence", std::to_string(o.fence)}});
    this->emit(order_effect{std::move(o)});
  }
  for (const auto& change : actions.changes) {
    this->log(
        "placement_changed",
        {{"group", change.group}, {"what", change.what}, {"why", change.why}},
        true);
  }
}

void node_step::on(const platform_event& e) {
  controller& c = this->s.hall_controller;
  if (e.answer.status != call_status::unavailable) {
    this->s.last_platform_contact = this->now;
  }
  switch (e.owner) {
    case call_owner::lease:
      c.hall_lease().on_answer(e.answer, this->now, this->s.random.unit());
      break;
    case call_owner::placement:
      if (const auto written = c.on_placement_answer(e.answer)) {
        this->merge({*written}, true);
      }
      break;
    case call_owner::bundle:
      if (e.answer.status == call_status::ok) {
        this->merge({e.answer.found}, true);
      }
      break;
    case call_owner::poll:
      this->s.poll_pending = false;
      break;
  }
}

void node_step::on(const order_event& e) {
  this->s.hall_controller.on_order_result(e.host, e.status, this->now);
}

}  // namespace spokesail::detail
