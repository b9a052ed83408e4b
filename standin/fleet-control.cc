// Implementation of the control calls.
#include "fleet-control.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace spokesail::standin {

using json = nlohmann::json;

namespace {

/// Selects the servers and the period that `body` gives; no server by default.
void read_selection(const json& body, server_selection& out) {
  out.servers = body.value("servers", std::set<std::string>());
  out.service = body.value("service", "");
  out.share = body.value("share", 0.0);
  out.from = absl::Now() + absl::Milliseconds(body.value("from_ms", 0));
  out.until = body.contains("for_ms")
                  ? out.from + absl::Milliseconds(body.at("for_ms").get<int>())
                  : absl::InfiniteFuture();
}

bool selects_servers(const server_selection& selection) {
  return !selection.servers.empty() || selection.share > 0;
}

}  // namespace

json fleet_control::handle(const std::string& call, const json& body) {
  if (call == "/address") return {{"store", this->fleet.store_address()}};
  if (call == "/record") return this->record();
  if (call == "/keys") {
    this->keys = body;
    this->configure();
    return json::object();
  }
  if (call == "/configure") {
    this->changes.update(body);
    this->configure();
    return json::object();
  }
  if (call == "/faults") return this->set_faults(body);
  if (call == "/dark") {
    this->fleet.engines().set_isolated(body.at("server"), body.at("dark"));
    return json::object();
  }
  if (call == "/silent") {
    this->set_silence(body);
    return json::object();
  }
  if (call == "/slow") {
    this->set_slowness(body);
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
          {"received", this->fleet.record.received},
          {"abandoned", this->fleet.record.abandoned},
          {"workspaces", this->fleet.record.workspaces},
          {"breaches", this->fleet.engines().breaches()},
          {"servers", this->fleet.engines().live_servers()},
          {"serving", this->fleet.serving("large")}};
}

void fleet_control::set_silence(const json& body) {
  silence_settings& silence = this->fleet.faults.silence;
  read_selection(body, silence);
  silence.active = selects_servers(silence);
  silence.gap = absl::Milliseconds(body.value("gap_ms", 0));
}

void fleet_control::set_slowness(const json& body) {
  slowness_settings& slowness = this->fleet.faults.slowness;
  read_selection(body, slowness);
  slowness.active = selects_servers(slowness);
  slowness.max_delay = absl::Milliseconds(body.value("max_delay_ms", 0));
}

void fleet_control::configure() {
  json spec = this->fleet.sample_config(this->keys);
  json& limits = spec["limits"];
  limits["idle_timeout_ms"] =
      this->changes.value("idle_timeout_ms", limits["idle_timeout_ms"]);
  for (json& route : spec["routes"]) {
    route["timeout_ms"] =
        this->changes.value("timeout_ms", route["timeout_ms"]);
  }
  for (int i = 0; i < this->changes.value("added_routes", 0); ++i) {
    json route = spec["routes"].back();
    route["name"] = absl::StrCat("added-", i);
    route["prefix"] = absl::StrCat("/added-", i, "/");
    spec["routes"].push_back(route);
  }
  this->fleet.configure(spec);
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
