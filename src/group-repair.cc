// Dissolves groups that have lost a member, and frees the others.
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "group-state.h"

namespace spokesail {
namespace {

/// How long an incomplete group of a previous holder may still form. Its
/// members may have orders in flight.
constexpr absl::Duration inherited_group_grace = absl::Milliseconds(2500);

/// Whether a head in this phase serves or may still start to serve.
bool phase_may_serve(member_phase phase) {
  return phase == member_phase::open || phase == member_phase::closing ||
         phase == member_phase::ready || phase == member_phase::joining;
}

/// Whether a head in this phase may have running requests.
bool has_running_requests(member_phase phase) {
  return phase == member_phase::open || phase == member_phase::closing;
}

}  // namespace

void group_controller::reconcile_group(service_state& s,
                                       const group_view& group, absl::Time now,
                                       group_actions& out) {
  if (this->stopped_groups.count(group.name) != 0) return;
  if (this->dissolving.count(group.name) != 0) {
    this->dissolve(s, group, "", now, out);
    return;
  }
  const auto reason = this->reason_to_dissolve(s, group, now);
  if (reason) {
    this->dissolve(s, group, *reason, now, out);
    return;
  }
  // A group in a closed hall is not counted and not opened.
  if (this->in_closed_hall(s, group)) return;
  s.group_count[group.model]++;
  if (group.all_ready && group.head_phase == member_phase::ready) {
    const group_order open =
        make_group_order(group_order_kind::open, group.name, group.epoch);
    this->send(s.entry(group.head()), open, out);
  }
}

std::optional<std::string> group_controller::reason_to_dissolve(
    const service_state& s, const group_view& group, absl::Time now) {
  const model_profile* model = find_model(*s.engine, group.model);
  if (model == nullptr) return "model is not configured";
  if (group.head_phase == member_phase::broken) return "head is broken";
  if (auto lost = this->reason_member_lost(s, group, now)) return lost;
  if (group.all_ready) {
    this->incomplete.erase(group.name);
    return std::nullopt;
  }
  if (has_running_requests(group.head_phase))
    return "open although members are missing";
  const auto plan = this->plans.find(group.name);
  if (plan != this->plans.end()) {
    if (now < plan->second.deadline) return std::nullopt;
    return "not formed before its deadline";
  }
  const auto since = this->incomplete.emplace(group.name, now).first->second;
  if (now - since < inherited_group_grace) return std::nullopt;
  return "left incomplete by a previous holder";
}

std::optional<std::string> group_controller::reason_member_lost(
    const service_state& s, const group_view& group, absl::Time now) const {
  const auto plan = this->plans.find(group.name);
  const std::vector<std::string>& members =
      plan == this->plans.end() ? group.members : plan->second.members;
  for (const auto& id : members) {
    if (id.empty()) continue;
    if (!s.has_server(id)) return absl::StrCat(id, " is no longer listed");
    const server_entry& entry = s.entry(id);
    if (entry.draining && this->may_keep_serving(s, group, id, now)) continue;
    if (entry.draining) return absl::StrCat(id, " is leaving");
    const bool lost = has_running_requests(group.head_phase)
                          ? this->is_lost(s.track(id), now)
                          : s.track(id).unresponsive;
    if (lost) return absl::StrCat(id, " does not answer");
  }
  return std::nullopt;
}

bool group_controller::may_keep_serving(const service_state& s,
                                        const group_view& group,
                                        const std::string& leaving,
                                        absl::Time now) const {
  if (group.head_phase != member_phase::open || leaving == group.head()) {
    return false;
  }
  const server_track& track = s.track(leaving);
  return !track.unresponsive &&
         now - track.leaving_since < this->options.leaving_member_grace;
}

void group_controller::dissolve(const service_state& s, const group_view& group,
                                const std::string& reason, absl::Time now,
                                group_actions& out) {
  const auto [since, first] = this->dissolving.emplace(group.name, now);
  if (first) {
    out.events.push_back({"group_dissolved", group.name, reason});
    this->plans.erase(group.name);
  }
  const std::string& head = group.head();
  const bool head_known = !head.empty() && s.has_server(head);
  if (head_known && group.head_phase == member_phase::broken) {
    this->stopped_groups.insert(group.name);
    return;
  }
  const bool head_answers = head_known && !s.track(head).unresponsive;
  if (this->streams_may_end(s, group, since->second, now)) {
    if (head_answers) this->close_group(s, group, out);
  } else if (head_answers) {
    this->release_head(s, group, out);
  } else {
    this->release_members(s, group, out);
  }
}

bool group_controller::streams_may_end(const service_state& s,
                                       const group_view& group,
                                       absl::Time since, absl::Time now) const {
  if (!has_running_requests(group.head_phase)) return false;
  bool hosts_needed = this->reassigned_groups.count(group.name) == 0;
  for (const auto& id : group.members) {
    if (id.empty() || !s.has_server(id)) return false;
    if (this->is_lost(s.track(id), now)) return false;
    if (s.entry(id).draining) hosts_needed = false;
  }
  return now - since < (hosts_needed ? this->options.drain_timeout
                                     : this->options.long_drain_timeout);
}

void group_controller::close_group(const service_state& s,
                                   const group_view& group,
                                   group_actions& out) {
  if (group.head_phase == member_phase::closing) return;
  const group_order close =
      make_group_order(group_order_kind::close, group.name, group.epoch);
  this->send(s.entry(group.head()), close, out);
}

void group_controller::release_head(const service_state& s,
                                    const group_view& group,
                                    group_actions& out) {
  const server_entry& head = s.entry(group.head());
  if (!phase_may_serve(head.membership.phase)) {
    this->stopped_groups.insert(group.name);
    return;
  }
  const group_order leave =
      make_group_order(group_order_kind::leave, group.name, group.epoch);
  if (this->send(head, leave, out)) {
    this->tracks[head.id].leaving_group = group.name;
  }
}

void group_controller::release_members(const service_state& s,
                                       const group_view& group,
                                       group_actions& out) {
  const group_order leave =
      make_group_order(group_order_kind::leave, group.name, group.epoch);
  for (size_t rank = 1; rank < group.members.size(); ++rank) {
    const std::string& id = group.members[rank];
    if (id.empty() || !s.has_server(id) || s.track(id).unresponsive) continue;
    this->send(s.entry(id), leave, out);
  }
}

void group_controller::clear_stale_memberships(const service_state& s,
                                               group_actions& out) {
  const auto planned = this->planned_models();
  for (const auto& [id, server] : s.servers) {
    const group_membership& membership = server.entry.membership;
    if (membership.phase == member_phase::none || planned.count(id) != 0)
      continue;
    if (!this->free_to_join(s, server.entry)) continue;
    const group_order leave = make_group_order(
        group_order_kind::leave, membership.group, membership.epoch);
    this->send(server.entry, leave, out);
  }
}

}  // namespace spokesail
