// Stores the reports of peers and halls and sums them up.
#include "spokesail/demand-table.h"

#include <algorithm>
#include <utility>

namespace spokesail {
namespace {

using sums = std::map<std::pair<std::string, std::string>, model_demand>;

void add(const std::vector<model_demand>& from, sums& to) {
  for (const auto& demand : from) {
    model_demand& sum = to[{demand.service, demand.model}];
    sum.service = demand.service;
    sum.model = demand.model;
    sum.requests += demand.requests;
    sum.prompt_tokens += demand.prompt_tokens;
    sum.answer_tokens += demand.answer_tokens;
    sum.refused += demand.refused;
  }
}

std::vector<model_demand> as_list(const sums& from) {
  std::vector<model_demand> out;
  out.reserve(from.size());
  for (const auto& [key, demand] : from) out.push_back(demand);
  return out;
}

}  // namespace

void demand_table::store(const std::string& hall, const std::string& node,
                         const std::vector<model_demand>& demand,
                         absl::Time now) {
  std::erase_if(this->halls, [&](const auto& item) {
    return now - item.second.at >= hall_ttl;
  });
  hall_reports& reports = this->halls[hall];
  std::erase_if(reports.nodes, [&](const auto& item) {
    return now - item.second.at >= report_ttl;
  });
  reports.at = now;
  reports.nodes[node] = {demand, now};
}

void demand_table::update_node(const std::string& node, const std::string& hall,
                               const std::vector<model_demand>& demand,
                               absl::Time now) {
  if (demand.empty()) return;
  this->store(hall, node, demand, now);
  this->halls[hall].nodes.erase("");
}

void demand_table::update_hall(const std::string& hall,
                               const std::vector<model_demand>& demand,
                               absl::Time now) {
  if (demand.empty()) return;
  this->halls[hall].nodes.clear();
  this->store(hall, "", demand, now);
}

std::vector<model_demand> demand_table::hall_sum(
    const std::string& hall, const std::vector<model_demand>& own,
    absl::Time now) const {
  sums out;
  add(own, out);
  const auto found = this->halls.find(hall);
  if (found == this->halls.end()) return as_list(out);
  for (const auto& [node, report] : found->second.nodes) {
    if (now - report.at < report_ttl) add(report.demand, out);
  }
  return as_list(out);
}

demand_view demand_table::total(const std::vector<model_demand>& own,
                                absl::Time now) const {
  sums all;
  add(own, all);
  demand_view out;
  for (const auto& [hall, reports] : this->halls) {
    const absl::Duration age = now - reports.at;
    if (age >= hall_ttl) continue;
    if (age >= report_ttl) out.missing_halls++;
    for (const auto& [node, report] : reports.nodes) {
      if (now - report.at >= report_ttl) continue;
      out.age = std::max(out.age, now - report.at);
      add(report.demand, all);
    }
  }
  out.models = as_list(all);
  return out;
}

}  // namespace spokesail
