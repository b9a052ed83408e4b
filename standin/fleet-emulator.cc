// State changes of the emulated engines by orders and by time.
#include "fleet-emulator.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace spokesail::standin {
namespace {

/// A late order is executed after the minimum delay and a random part of the
/// range.
constexpr absl::Duration min_late_delay = absl::Seconds(2);
constexpr absl::Duration late_delay_range = absl::Seconds(10);

/// The result that the sender of an order gets if no answer arrives.
constexpr order_result no_answer = order_result::unknown;

}  // namespace

fleet_emulator::fleet_emulator(backend_service emulated_service,
                               emulator_timing delays, uint64_t seed)
    : service(std::move(emulated_service)),
      timing(delays),
      random{std::mt19937_64(seed)} {}

std::string fleet_emulator::add(const std::string& domain, absl::Time now,
                                const std::string& address,
                                const std::string& hall) {
  server s;
  s.entry.id = absl::StrCat("s", ++this->next_id);
  s.entry.service = this->service.name;
  s.entry.address = address;
  s.entry.hall = hall;
  s.entry.domain = domain;
  const std::string id = s.entry.id;
  s.entry.incarnation = absl::ToUnixMillis(now);
  this->servers[id] = s;
  this->publish(this->servers[id], now);
  return id;
}

void fleet_emulator::publish(const server& s, absl::Time now) {
  listed_server listed{s.entry, ++this->revision, absl::InfinitePast()};
  this->pending.push_back({now + this->timing.entry_lag, listed, false});
}

void fleet_emulator::kill(const std::string& id, absl::Time now) {
  server& s = this->servers.at(id);
  if (!s.alive) return;
  s.alive = false;
  listed_server listed{s.entry, ++this->revision, absl::InfinitePast()};
  this->pending.push_back({now + this->timing.entry_ttl, listed, true});
}

void fleet_emulator::restart(const std::string& id, absl::Time now) {
  server& s = this->servers.at(id);
  server next;
  next.entry = s.entry;
  next.entry.membership = {};
  next.entry.draining = false;
  next.entry.incarnation = absl::ToUnixMillis(now);
  s = next;
  this->publish(s, now);
}

void fleet_emulator::set_isolated(const std::string& id, bool isolated) {
  this->servers.at(id).isolated = isolated;
}

void fleet_emulator::set_silent(const std::string& id, bool silent) {
  server& s = this->servers.at(id);
  s.silent = silent;
  if (silent) return;
  for (const auto& order : s.unread)
    this->late.push_back({order, absl::InfinitePast()});
  s.unread.clear();
}

void fleet_emulator::stop_listening(const std::string& id) {
  this->servers.at(id).listens = false;
}

bool fleet_emulator::is_silent(const std::string& id) const {
  const auto found = this->servers.find(id);
  return found != this->servers.end() && found->second.alive &&
         found->second.silent;
}

void fleet_emulator::drain(const std::string& id, absl::Time now) {
  server& s = this->servers.at(id);
  if (!s.alive) return;
  s.entry.draining = true;
  this->publish(s, now);
}

bool fleet_emulator::is_active_member(const server& head,
                                      const std::string& id) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) return false;
  const server& s = found->second;
  return s.alive && !s.isolated &&
         s.entry.membership.group == head.entry.membership.group &&
         s.entry.membership.epoch == head.entry.membership.epoch &&
         s.members == head.members &&
         s.entry.membership.phase != member_phase::none;
}

void fleet_emulator::check_head(server& head, absl::Time now) {
  const group_membership& membership = head.entry.membership;
  const bool serves =
      membership.rank == 0 && (membership.phase == member_phase::open ||
                               membership.phase == member_phase::closing);
  if (!serves) {
    head.stalled_since = absl::InfiniteFuture();
    return;
  }
  const bool complete =
      !head.isolated && std::all_of(head.members.begin(), head.members.end(),
                                    [&](const auto& id) {
                                      return this->is_active_member(head, id);
                                    });
  // Once stalled, a head stays stalled even if the member comes back: a group
  // does not recover in place.
  if (!complete) head.stalled_since = std::min(head.stalled_since, now);
  if (now - head.stalled_since < this->timing.stall_timeout) return;
  head.entry.membership.phase = member_phase::broken;
  head.stalled_since = absl::InfiniteFuture();
  this->publish(head, now);
}

void fleet_emulator::check_open(const server& head) {
  const model_profile* model =
      find_model(*this->service.engine, head.last_model);
  if (model == nullptr ||
      head.members.size() != static_cast<size_t>(model->group_size)) {
    this->breach_list.push_back(
        absl::StrCat("opened with the wrong number of members: ",
                     head.entry.membership.group));
  }
  // A member that was ready and has been lost or has left since breaks no rule:
  // the group stalls and serves no requests.
  for (const auto& id : head.members) {
    const server& member = this->servers.at(id);
    if (member.ready_memberships.count(membership_key(head)) != 0) continue;
    this->breach_list.push_back(absl::StrCat(
        "opened before a member was ready: ", head.entry.membership.group, " ",
        id));
  }
}

std::string fleet_emulator::membership_key(const server& s) {
  const group_membership& membership = s.entry.membership;
  return absl::StrCat(membership.group, " ", membership.epoch, " ",
                      absl::StrJoin(s.members, ","));
}

void fleet_emulator::begin_load(server& s, const std::string& model,
                                absl::Time now) {
  const model_profile* profile = find_model(*this->service.engine, model);
  s.loading_model = model;
  s.load_end = now + this->load_factor * profile->cold_load;
  s.entry.staged.clear();
  this->loads.push_back(now);
}

void fleet_emulator::execute_late_orders(absl::Time now) {
  std::vector<late_order> due;
  std::erase_if(this->late, [&](const auto& item) {
    if (item.at > now) return false;
    due.push_back(item);
    return true;
  });
  for (const auto& item : due) this->execute(item.order, now);
}

void fleet_emulator::finish_due(server& s, absl::Time now) {
  if (now >= s.load_end) {
    s.entry.staged = {s.loading_model};
    s.loading_model.clear();
    s.load_end = absl::InfiniteFuture();
    this->publish(s, now);
  }
  if (now < s.phase_end) return;
  s.phase_end = absl::InfiniteFuture();
  group_membership& membership = s.entry.membership;
  if (membership.phase == member_phase::joining) {
    membership.phase = member_phase::ready;
    s.ready_memberships.insert(membership_key(s));
  } else if (membership.phase == member_phase::ready) {
    membership.phase = member_phase::open;
    this->check_open(s);
  } else if (membership.phase == member_phase::closing) {
    membership.phase = member_phase::ready;
  }
  this->publish(s, now);
}

void fleet_emulator::apply_due_changes(absl::Time now) {
  std::erase_if(this->pending, [&](const auto& item) {
    if (item.at > now) return false;
    if (item.removed) {
      this->visible.remove(item.server.entry.id, item.server.revision,
                           absl::InfinitePast());
    } else {
      this->visible.update(item.server);
    }
    return true;
  });
}

void fleet_emulator::advance(absl::Time now) {
  this->execute_late_orders(now);
  for (auto& [id, s] : this->servers) {
    if (s.alive) this->finish_due(s, now);
  }
  for (auto& [id, s] : this->servers) {
    if (s.alive) this->check_head(s, now);
  }
  this->apply_due_changes(now);
}

void fleet_emulator::check_join(const server& s, const group_order& order) {
  const group_membership& membership = s.entry.membership;
  if (membership.phase == member_phase::none || membership.group == order.group)
    return;
  const auto head = this->servers.find(s.members.front());
  if (head == this->servers.end() || !head->second.alive) return;
  const group_membership& head_membership = head->second.entry.membership;
  const bool same_group = head_membership.group == membership.group &&
                          head_membership.epoch == membership.epoch;
  if (!same_group) return;
  if (head_membership.phase == member_phase::open ||
      head_membership.phase == member_phase::closing) {
    this->breach_list.push_back(absl::StrCat(
        s.entry.id, " joined ", order.group, " while ", membership.group,
        " was ", phase_name(head_membership.phase)));
  }
}

void fleet_emulator::check_leave(const server& s) {
  const auto head = this->servers.find(s.members.front());
  if (head == this->servers.end() || !head->second.alive) return;
  const group_membership& membership = head->second.entry.membership;
  const bool runs = membership.phase == member_phase::open ||
                    membership.phase == member_phase::closing;
  if (!runs || membership.group != s.entry.membership.group) return;
  if (!this->group_complete(head->first)) return;
  this->cut.push_back(membership.group);
}

order_result fleet_emulator::join(server& s, const group_order& order,
                                  absl::Time now) {
  if (order.epoch < s.max_epoch) return order_result::outdated_epoch;
  const group_membership& membership = s.entry.membership;
  const bool same_group =
      membership.group == order.group && membership.epoch == order.epoch;
  if (same_group && s.members != order.members)
    return order_result::outdated_epoch;
  if (same_group && membership.phase != member_phase::none) {
    return order_result::already_done;
  }
  this->check_join(s, order);
  const model_profile* model = find_model(*this->service.engine, order.model);
  if (model == nullptr) return order_result::rejected;
  const auto& staged = s.entry.staged;
  const bool is_staged =
      std::find(staged.begin(), staged.end(), order.model) != staged.end();
  absl::Duration join_time = model->staged_load;
  if (s.last_model == order.model) {
    join_time = this->timing.rejoin_time;
  } else if (!is_staged) {
    if (s.loading_model != order.model) this->begin_load(s, order.model, now);
    join_time = s.load_end - now + model->staged_load;
  }
  s.max_epoch = order.epoch;
  s.members = order.members;
  s.last_model = order.model;
  const auto at =
      std::find(order.members.begin(), order.members.end(), s.entry.id);
  s.entry.membership = {order.group, order.epoch,
                        static_cast<int>(at - order.members.begin()),
                        member_phase::joining};
  s.phase_end = now + join_time;
  return order_result::begun;
}

order_result fleet_emulator::execute(const group_order& order, absl::Time now) {
  const auto found = this->servers.find(order.server);
  if (found == this->servers.end() || !found->second.alive) {
    return order_result::unreachable;
  }
  server& s = found->second;
  if (order.expected_orders != s.orders) return order_result::conflict;
  const order_result result = this->apply(s, order, now);
  // A leave is completed at once, but counts as a started order too.
  const bool has_left = order.kind == group_order_kind::leave &&
                        result == order_result::already_done;
  if (result == order_result::begun || has_left) {
    s.orders++;
    this->publish(s, now);
  }
  return result;
}

order_result fleet_emulator::apply(server& s, const group_order& order,
                                   absl::Time now) {
  group_membership& membership = s.entry.membership;
  const bool is_member = membership.group == order.group &&
                         membership.epoch == order.epoch &&
                         membership.phase != member_phase::none;
  switch (order.kind) {
    case group_order_kind::join:
      return this->join(s, order, now);
    case group_order_kind::open:
      if (!is_member || membership.rank != 0 ||
          membership.phase != member_phase::ready)
        break;
      s.phase_end = now + this->service.engine->open_time;
      return order_result::begun;
    case group_order_kind::close:
      if (!is_member || membership.phase != member_phase::open) break;
      membership.phase = member_phase::closing;
      s.phase_end = now + this->closing_time;
      return order_result::begun;
    case group_order_kind::leave:
      if (!is_member) break;
      this->check_leave(s);
      membership = {};
      s.phase_end = absl::InfiniteFuture();
      return order_result::already_done;
    case group_order_kind::stage:
      this->begin_load(s, order.model, now);
      return order_result::begun;
  }
  return order_result::conflict;
}

order_result fleet_emulator::send_order(const group_order& order,
                                        absl::Time now) {
  const auto found = this->servers.find(order.server);
  if (found == this->servers.end() || !found->second.alive ||
      !found->second.listens) {
    return order_result::unreachable;
  }
  if (found->second.isolated) return no_answer;
  if (found->second.silent) {
    found->second.unread.push_back(order);
    return no_answer;
  }
  const double draw = this->random.unit();
  if (draw < this->faults.late) {
    this->late.push_back(
        {order, now + min_late_delay + this->random.unit() * late_delay_range});
    return no_answer;
  }
  if (draw < this->faults.late + this->faults.lost) return no_answer;
  const order_result result = this->execute(order, now);
  const double unanswered_share =
      this->faults.late + this->faults.lost + this->faults.answer_lost;
  return draw < unanswered_share ? no_answer : result;
}

std::optional<server_report> fleet_emulator::report(
    const std::string& id) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end() || !found->second.alive ||
      !found->second.listens || found->second.isolated) {
    return std::nullopt;
  }
  server_report out;
  out.incarnation = found->second.entry.incarnation;
  out.orders_started = found->second.orders;
  out.order_running = !found->second.loading_model.empty();
  out.membership = found->second.entry.membership;
  return out;
}

int fleet_emulator::serving(const std::string& model) const {
  int count = 0;
  for (const auto& [id, s] : this->servers) {
    const group_membership& membership = s.entry.membership;
    if (!s.alive || s.isolated || membership.phase != member_phase::open)
      continue;
    if (s.last_model != model) continue;
    const bool complete = std::all_of(
        s.members.begin(), s.members.end(),
        [&](const auto& m) { return this->is_active_member(s, m); });
    if (complete) ++count;
  }
  return count;
}

bool fleet_emulator::is_open_head(const std::string& id) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end() || !found->second.alive) return false;
  const group_membership& membership = found->second.entry.membership;
  return membership.rank == 0 && membership.phase == member_phase::open;
}

bool fleet_emulator::group_complete(const std::string& id) const {
  const server& head = this->servers.at(id);
  return !head.isolated &&
         std::all_of(head.members.begin(), head.members.end(),
                     [&](const auto& member) {
                       return this->is_active_member(head, member);
                     });
}

std::vector<std::string> fleet_emulator::live_servers() const {
  std::vector<std::string> out;
  for (const auto& [id, s] : this->servers) {
    if (s.alive) out.push_back(id);
  }
  return out;
}

}  // namespace spokesail::standin
