// A node's status for operators: a JSON document and gauges.
#include <nlohmann/json.hpp>

#include "detail/node-step.h"

namespace spokesail::detail {
namespace {

using json = nlohmann::json;

const char* host_phase_name(host_phase phase) {
  switch (phase) {
    case host_phase::idle:
      return "idle";
    case host_phase::loading:
      return "loading";
    case host_phase::ready:
      return "ready";
  }
  return "unknown";
}

}  // namespace

void node_step::on(const status_event& e) {
  json out;
  out["node"] = this->s.options.self.name;
  out["hall"] = this->s.options.self.hall;
  out["ready"] = this->ready();
  out["revision"] = this->s.revision;
  out["digest"] = this->s.config_digest;
  out["leads"] = this->s.hall_controller.leads(this->now);
  const lease_record& lease = this->s.hall_controller.hall_lease().last_seen();
  out["lease"] = {{"holder", lease.holder}, {"fence", lease.fence}};
  out["placement_version"] = this->s.placement_version;
  out["queued"] = this->s.requests.queued();
  out["requests"] = this->s.requests.size();
  out["stranded_accelerators"] = this->stranded_accelerators();
  out["members"] = json::array();
  for (const auto& [name, m] : this->s.members.all()) {
    out["members"].push_back({{"name", name},
                              {"hall", m.info.hall},
                              {"http_address", m.info.http_address},
                              {"alive", this->s.members.alive(m, this->now)},
                              {"ready", m.ready},
                              {"stopping", m.stopping},
                              {"revision", m.revision}});
  }
  out["groups"] = json::array();
  for (const auto& g : this->s.groups.groups) {
    json one = {{"name", g.name},
                {"model", g.model},
                {"version", g.version},
                {"incarnation", g.incarnation},
                {"phase", phase_name(g.phase)},
                {"open", group_open(this->s, g, this->now)},
                {"in_flight", this->s.requests.in_flight(g.name)}};
    one["hosts"] = json::array();
    for (const auto& host : g.hosts) {
      const auto report = this->s.presence.present(
          host, this->now, this->s.options.presence_window);
      const bool is_member = report && report->group == g.name &&
                             report->incarnation == g.incarnation;
      std::string state = "absent";
      if (report)
        state = is_member ? host_phase_name(report->phase) : "elsewhere";
      one["hosts"].push_back({{"name", host}, {"state", state}});
    }
    out["groups"].push_back(std::move(one));
  }
  this->emit(status_reply_effect{e.token, out.dump()});
}

int node_step::stranded_accelerators() const {
  std::set<std::string> serving;
  for (const auto& g : this->s.groups.groups) {
    if (!group_open(this->s, g, this->now)) continue;
    serving.insert(g.hosts.begin(), g.hosts.end());
  }
  int stranded = 0;
  for (const auto& [name, info] : this->s.hosts) {
    if (info.service.empty() && serving.count(name) == 0) {
      stranded += info.accelerators;
    }
  }
  return stranded;
}

void node_step::tick_gauges() {
  gauges_effect g;
  g.ready = this->ready();
  g.revision = this->s.revision;
  for (const auto& [name, open] : this->s.was_open) g.open_groups += open;
  g.stranded_accelerators = this->stranded_accelerators();
  g.members = static_cast<int>(this->s.members.alive_in_hall(this->now).size());
  g.queued = static_cast<int>(this->s.requests.queued());
  g.leads = this->s.hall_controller.leads(this->now);
  if (g == this->s.gauges) return;
  this->s.gauges = g;
  this->emit(g);
}

}  // namespace spokesail::detail
