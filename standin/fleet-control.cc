// Implementation of the control calls.
#include "fleet-control.h"

#include <absl/time/clock.h>

namespace spokesail::standin {

using json = nlohmann::json;

json fleet_control::handle(const std::string& call, const json& body) {
  if (call == "/address") return {{"store", this->fleet.store_address()}};
  if (call == "/record") return this->record();
  if (call == "/keys") {
    this->fleet.configure(this->fleet.sample_config(body));
    return json::object();
  }
  if (call == "/faults") return this->set_faults(body);
  if (call == "/dark") {
    this->fleet.engines().set_isolated(body.at("server"), body.at("dark"));
    return json::object();
  }
  if (call == "/silent") {
    silence_settings& silence = this->fleet.faults.silence;
    silence.servers = body.at("servers").get<std::set<std::string>>();
    silence.active = !silence.servers.empty();
    return json::object();
  }
  if (call == "/drain") {
    this->fleet.engines().drain(body.at("server"), absl::Now());
    return json::object();
  }
  return nullptr;
}

json fleet_control::record() const {
  return {{"runs", this->fleet.record.runs},
          {"workspaces", this->fleet.record.workspaces},
          {"breaches", this->fleet.engines().breaches()},
          {"servers", this->fleet.engines().live_servers()},
          {"serving", this->fleet.serving("large")}};
}

json fleet_control::set_faults(const json& body) {
  fleet_faults& f = this->fleet.faults;
  f.store_silent = body.value("store_silent", f.store_silent);
  f.lose_plain_answers = body.value("lose_plain_answers", f.lose_plain_answers);
  f.shed_plain = body.value("shed_plain", f.shed_plain);
  f.cross_plain_answers =
      body.value("cross_plain_answers", f.cross_plain_answers);
  f.limit.per_s = body.value("limit_per_s", f.limit.per_s);
  f.limit.service = body.value("limit_service", f.limit.service);
  f.limit.share = body.value("limit_share", f.limit.share);
  f.limit.strict = body.value("limit_strict", f.limit.strict);
  f.rejection.active = body.value("reject", f.rejection.active);
  f.rejection.retry_after =
      body.value("reject_retry_after", f.rejection.retry_after);
  f.rejection.service = body.value("reject_service", f.rejection.service);
  f.rejection.share = body.value("reject_share", f.rejection.share);
  f.departure.active = body.value("leaving", f.departure.active);
  f.departure.share = body.value("leaving_share", f.departure.share);
  f.break_after_events = body.value("break_after_events", f.break_after_events);
  if (body.contains("break_after")) {
    f.shape.active = true;
    f.shape.shape.framing = answer_framing::until_close;
    f.shape.shape.break_after = body.at("break_after").get<size_t>();
    f.shape.shape.kind =
        body.value("reset", false) ? break_kind::reset : break_kind::close;
    f.shape.breaks = body.value("breaks", 1);
  }
  order_faults& orders = this->fleet.engines().faults;
  orders.late = body.value("late_orders", orders.late);
  orders.answer_lost = body.value("lost_order_answers", orders.answer_lost);
  return json::object();
}

}  // namespace spokesail::standin
