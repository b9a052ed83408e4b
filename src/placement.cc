#include "spokesail/placement.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace spokesail {

using json = nlohmann::json;

/// Maximum number of accelerators of a host; above that of any.
static constexpr double max_accelerators = 1e6;

NLOHMANN_JSON_SERIALIZE_ENUM(group_phase, {{group_phase::loading, "loading"},
                                           {group_phase::serving, "serving"},
                                           {group_phase::draining, "draining"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(group, name, incarnation, model,
                                                version, adapters, hosts, phase)

void to_json(json& j, const host_info& h) {
  j = {{"address", h.address},
       {"hall", h.hall},
       {"domain", h.domain},
       {"accelerators", h.accelerators},
       {"service", h.service},
       {"checks_fencing", h.checks_fencing},
       {"state", h.leaving ? "leaving" : "live"}};
}

void from_json(const json& j, host_info& h) {
  h.address = j.value("address", "");
  h.hall = j.value("hall", "");
  h.domain = j.value("domain", "");
  h.accelerators = static_cast<int>(
      std::clamp(j.value("accelerators", 0.0), 0.0, max_accelerators));
  h.service = j.value("service", "");
  h.checks_fencing = j.value("checks_fencing", false);
  h.leaving = j.value("state", "live") == "leaving";
}

void to_json(json& j, const placement& p) {
  j = {{"hall", p.hall},
       {"fence", p.fence},
       {"next_incarnation", p.next_incarnation},
       {"groups", p.groups}};
}

void from_json(const json& j, placement& p) {
  p.hall = j.value("hall", "");
  p.fence = j.value("fence", int64_t{0});
  p.next_incarnation = j.value("next_incarnation", int64_t{1});
  p.groups = j.value("groups", std::vector<group>{});
}

const char* phase_name(group_phase phase) {
  switch (phase) {
    case group_phase::loading:
      return "loading";
    case group_phase::serving:
      return "serving";
    case group_phase::draining:
      return "draining";
  }
  return "unknown";
}

std::vector<std::string> shared_hosts(const placement& p) {
  std::set<std::string> seen;
  std::vector<std::string> shared;
  for (const auto& g : p.groups) {
    for (const auto& host : g.hosts) {
      if (!seen.insert(host).second) shared.push_back(host);
    }
  }
  return shared;
}

}  // namespace spokesail
