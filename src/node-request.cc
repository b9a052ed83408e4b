// Requests at a node: their open targets, and the effects of their events.
#include <algorithm>

#include "detail/node-step.h"

namespace spokesail::detail {
namespace {

/// Attempts that run at a group are abandoned after one of its members has been
/// lost for this long.
constexpr absl::Duration member_loss_grace = absl::Seconds(1);

/// Estimated time until a target opens, sent to refused callers.
constexpr absl::Duration default_retry_after = absl::Seconds(10);

int share_of(int capacity, size_t nodes) {
  const int n = std::max(static_cast<int>(nodes), 1);
  return std::max((capacity + n - 1) / n, 1);
}

}  // namespace

const configuration* node_step::config() const {
  return this->s.config ? &*this->s.config : nullptr;
}

std::vector<open_target> node_step::open_places(
    target_kind kind, const std::string& target) const {
  std::vector<open_target> targets;
  if (!this->s.config) return targets;
  const size_t nodes = this->s.members.alive_in_hall(this->now).size();
  const auto add = [&](attempt_target t, const std::string& host,
                       int capacity) {
    open_target result;
    result.target = std::move(t);
    result.capacity = capacity;
    result.share = share_of(capacity, nodes);
    const auto observed = this->s.presence.latest(host);
    if (observed)
      result.reported = observed->load.running + observed->load.queued;
    targets.push_back(std::move(result));
  };
  if (kind == target_kind::model) {
    const model_config* model = find_model(*this->s.config, target);
    if (!model) return targets;
    for (const auto& g : this->s.groups.groups) {
      if (g.model != target || !group_open(this->s, g, this->now)) continue;
      const std::string& head = g.hosts.front();
      const auto host = this->s.hosts.find(head);
      if (host == this->s.hosts.end()) continue;
      const bool leaving =
          std::any_of(g.hosts.begin(), g.hosts.end(), [&](const auto& name) {
            const auto it = this->s.hosts.find(name);
            return it == this->s.hosts.end() || it->second.leaving;
          });
      if (leaving) continue;
      add({g.name, host->second.address, g.incarnation, false}, head,
          model->max_concurrent);
    }
    return targets;
  }
  const service_config* service = find_service(*this->s.config, target);
  if (!service) return targets;
  for (const auto& [name, info] : this->s.hosts) {
    if (info.service != target || info.leaving) continue;
    if (this->s.drained.count(name) != 0) continue;
    if (!this->s.presence.present(name, this->now,
                                  this->s.options.presence_window)) {
      continue;
    }
    add({name, info.address, 0, false}, name, service->max_concurrent);
  }
  return targets;
}

bool node_step::can_complete(target_kind kind,
                             const attempt_target& target) const {
  // A plain service has no group members to check; a lost server shows as a
  // broken connection.
  if (kind == target_kind::service) return true;
  for (const auto& g : this->s.groups.groups) {
    if (g.name != target.name) continue;
    if (g.incarnation != target.incarnation) return false;
    return std::all_of(g.hosts.begin(), g.hosts.end(), [&](const auto& host) {
      const auto lost = this->s.lost_since.find(host);
      return lost == this->s.lost_since.end() ||
             this->now - lost->second < member_loss_grace;
    });
  }
  return false;
}

std::vector<attempt_target> node_step::other_halls(
    target_kind, const std::string& target) const {
  std::vector<attempt_target> found;
  for (const member* m : this->s.members.alive_elsewhere(this->now)) {
    const auto& open = m->open_models;
    if (!m->ready) continue;
    if (std::find(open.begin(), open.end(), target) == open.end()) continue;
    found.push_back({m->info.name, m->info.http_address, 0, true});
  }
  return found;
}

absl::Duration node_step::estimated_reopen(const std::string&) const {
  return default_retry_after;
}

void node_step::emit_requests(request_actions& actions) {
  for (auto& attempt : actions.cancels) {
    this->emit(cancel_attempt_effect{std::move(attempt)});
  }
  for (auto& start : actions.starts) {
    this->emit(start_attempt_effect{std::move(start)});
  }
  for (auto& finish : actions.finishes) {
    this->emit(finish_request_effect{finish.request, std::move(finish.result)});
  }
}

void node_step::on(const request_event& e) {
  request_actions actions;
  this->s.requests.arrive(e.info, *this, this->s.random, this->now, actions);
  this->emit_requests(actions);
}

void node_step::record_unreachable(const attempt_event& e) {
  const auto target = this->s.requests.where(e.request, e.attempt);
  if (!target || target->remote_hall) return;
  for (const auto& [name, info] : this->s.hosts) {
    if (info.address == target->address) {
      this->s.presence.note_failure(name, this->now);
    }
  }
  this->update_open_groups();
}

void node_step::on(const attempt_event& e) {
  if (e.unreachable) this->record_unreachable(e);
  request_actions actions;
  this->s.requests.attempt_ended(e.request, e.attempt, e.end, *this,
                                 this->s.random, this->now, actions);
  this->emit_requests(actions);
}

void node_step::on(const caller_disconnected_event& e) {
  request_actions actions;
  this->s.requests.caller_gone(e.request, actions);
  this->emit_requests(actions);
}

void node_step::on(const stop_event&) {
  if (this->s.stopping) return;
  this->s.stopping = true;
  this->s.stop_at = this->now + this->s.options.stop_delay;
  this->s.heartbeat_due = true;
  this->log("stopping", {});
}

void node_step::tick_requests() {
  request_actions actions;
  this->s.requests.step(*this, this->s.random, this->now, actions);
  this->emit_requests(actions);
  if (!this->s.stopping || this->now < this->s.stop_at) return;
  this->s.requests.stop();
  if (this->s.requests.size() == 0) this->emit(exit_effect{});
}

bool node_step::ready() const {
  if (!this->s.config || this->s.stopping) return false;
  const absl::Duration age = this->now - this->s.started;
  if (age < 2 * this->s.options.heartbeat_period) return false;
  for (const auto& [name, m] : this->s.members.all()) {
    if (m.info.hall != this->s.options.self.hall) continue;
    const bool behind = m.revision > this->s.revision;
    // Only a node that started recently waits for its peers' revision.
    if (behind && age < this->s.options.member_window) return false;
  }
  return true;
}

}  // namespace spokesail::detail
