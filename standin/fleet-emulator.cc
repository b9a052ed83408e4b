// What the emulated engines do with orders, and what time does to them.
#include "fleet-emulator.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace spokesail::standin {
namespace {

/// A late order is carried out this long after it was given, and up to the
/// span later.
constexpr absl::Duration least_late = absl::Seconds(2);
constexpr absl::Duration late_span = absl::Seconds(10);

/// Time that an ordered close takes, in which running streams end.
constexpr absl::Duration close_time = absl::Seconds(1);

/// An order's answer that the sender waits for in vain is not told; what it
/// sees is this.
constexpr order_result no_answer = order_result::unknown;

}  // namespace

fleet_emulator::fleet_emulator(backend_service what, emulator_timing times,
                               uint64_t seed)
    : service(std::move(what)), timing(times), random{std::mt19937_64(seed)} {}

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
  this->pending.push_back({now + this->timing.lapse, listed, true});
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

void fleet_emulator::set_dark(const std::string& id, bool dark) {
  this->servers.at(id).dark = dark;
}

void fleet_emulator::drain(const std::string& id, absl::Time now) {
  server& s = this->servers.at(id);
  if (!s.alive) return;
  s.entry.draining = true;
  this->publish(s, now);
}

bool fleet_emulator::member_in_place(const server& head,
                                     const std::string& id) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end()) return false;
  const server& s = found->second;
  return s.alive && !s.dark &&
         s.entry.membership.group == head.entry.membership.group &&
         s.entry.membership.epoch == head.entry.membership.epoch &&
         s.members == head.members &&
         s.entry.membership.phase != member_phase::none;
}

void fleet_emulator::watch_head(server& head, absl::Time now) {
  const group_membership& said = head.entry.membership;
  const bool serves = said.rank == 0 && (said.phase == member_phase::open ||
                                         said.phase == member_phase::closing);
  if (!serves) {
    head.stalled_since = absl::InfiniteFuture();
    return;
  }
  const bool all =
      !head.dark && std::all_of(head.members.begin(), head.members.end(),
                                [&](const auto& id) {
                                  return this->member_in_place(head, id);
                                });
  // A head that stands still stays so: nothing heals a group in place.
  if (!all) head.stalled_since = std::min(head.stalled_since, now);
  if (now - head.stalled_since < this->timing.stall) return;
  head.entry.membership.phase = member_phase::broken;
  head.stalled_since = absl::InfiniteFuture();
  this->publish(head, now);
}

void fleet_emulator::check_open(const server& head) {
  const model_profile* model =
      find_model(*this->service.engine, head.last_model);
  if (model == nullptr ||
      head.members.size() != static_cast<size_t>(model->group_size)) {
    this->broken.push_back(
        absl::StrCat("opened without its size: ", head.entry.membership.group));
  }
  // A member that was ready once and is lost since, or left, does no harm: the
  // group stands still.
  for (const auto& id : head.members) {
    const server& member = this->servers.at(id);
    if (member.ready_in.count(membership_key(head)) != 0) continue;
    this->broken.push_back(absl::StrCat("opened before a member was ready: ",
                                        head.entry.membership.group, " ", id));
  }
}

std::string fleet_emulator::membership_key(const server& s) {
  const group_membership& said = s.entry.membership;
  return absl::StrCat(said.group, " ", said.epoch, " ",
                      absl::StrJoin(s.members, ","));
}

void fleet_emulator::begin_load(server& s, const std::string& model,
                                absl::Time now) {
  const model_profile* profile = find_model(*this->service.engine, model);
  s.loading = model;
  s.load_done = now + this->load_factor * profile->cold_load;
  s.entry.staged.clear();
  this->loads.push_back(now);
}

void fleet_emulator::carry_out_late(absl::Time now) {
  std::vector<late_order> due;
  std::erase_if(this->late, [&](const auto& item) {
    if (item.at > now) return false;
    due.push_back(item);
    return true;
  });
  for (const auto& item : due) this->carry_out(item.order, now);
}

void fleet_emulator::end_due(server& s, absl::Time now) {
  if (now >= s.load_done) {
    s.entry.staged = {s.loading};
    s.loading.clear();
    s.load_done = absl::InfiniteFuture();
    this->publish(s, now);
  }
  if (now < s.phase_done) return;
  s.phase_done = absl::InfiniteFuture();
  group_membership& said = s.entry.membership;
  if (said.phase == member_phase::joining) {
    said.phase = member_phase::ready;
    s.ready_in.insert(membership_key(s));
  } else if (said.phase == member_phase::ready) {
    said.phase = member_phase::open;
    this->check_open(s);
  } else if (said.phase == member_phase::closing) {
    said.phase = member_phase::ready;
  }
  this->publish(s, now);
}

void fleet_emulator::show_entries(absl::Time now) {
  std::erase_if(this->pending, [&](const auto& item) {
    if (item.at > now) return false;
    if (item.gone) {
      this->seen.remove(item.server.entry.id, item.server.revision,
                        absl::InfinitePast());
    } else {
      this->seen.update(item.server);
    }
    return true;
  });
}

void fleet_emulator::advance(absl::Time now) {
  this->carry_out_late(now);
  for (auto& [id, s] : this->servers) {
    if (s.alive) this->end_due(s, now);
  }
  for (auto& [id, s] : this->servers) {
    if (s.alive) this->watch_head(s, now);
  }
  this->show_entries(now);
}

void fleet_emulator::check_join(const server& s, const group_order& order) {
  const group_membership& said = s.entry.membership;
  if (said.phase == member_phase::none || said.group == order.group) return;
  const auto head = this->servers.find(s.members.front());
  if (head == this->servers.end() || !head->second.alive) return;
  const group_membership& led = head->second.entry.membership;
  const bool same = led.group == said.group && led.epoch == said.epoch;
  if (!same) return;
  if (led.phase == member_phase::open || led.phase == member_phase::closing) {
    this->broken.push_back(absl::StrCat(s.entry.id, " joined ", order.group,
                                        " while ", said.group, " was ",
                                        phase_name(led.phase)));
  }
}

order_result fleet_emulator::join(server& s, const group_order& order,
                                  absl::Time now) {
  if (order.epoch < s.epoch_seen) return order_result::outdated_epoch;
  const group_membership& said = s.entry.membership;
  const bool same = said.group == order.group && said.epoch == order.epoch;
  if (same && s.members != order.members) return order_result::outdated_epoch;
  if (same && said.phase != member_phase::none) {
    return order_result::already_done;
  }
  this->check_join(s, order);
  const model_profile* model = find_model(*this->service.engine, order.model);
  if (model == nullptr) return order_result::rejected;
  const auto& staged = s.entry.staged;
  const bool has =
      std::find(staged.begin(), staged.end(), order.model) != staged.end();
  absl::Duration time = model->staged_load;
  if (s.last_model == order.model) {
    time = this->timing.rejoin;
  } else if (!has) {
    if (s.loading != order.model) this->begin_load(s, order.model, now);
    time = s.load_done - now + model->staged_load;
  }
  s.epoch_seen = order.epoch;
  s.members = order.members;
  s.last_model = order.model;
  const auto at =
      std::find(order.members.begin(), order.members.end(), s.entry.id);
  s.entry.membership = {order.group, order.epoch,
                        static_cast<int>(at - order.members.begin()),
                        member_phase::joining};
  s.phase_done = now + time;
  return order_result::begun;
}

order_result fleet_emulator::carry_out(const group_order& order,
                                       absl::Time now) {
  const auto found = this->servers.find(order.server);
  if (found == this->servers.end() || !found->second.alive) {
    return order_result::unreachable;
  }
  server& s = found->second;
  if (order.expected_orders != s.orders) return order_result::conflict;
  const order_result result = this->apply(s, order, now);
  // A leave is done at once, and counted all the same.
  const bool left = order.kind == group_order_kind::leave &&
                    result == order_result::already_done;
  if (result == order_result::begun || left) {
    s.orders++;
    this->publish(s, now);
  }
  return result;
}

order_result fleet_emulator::apply(server& s, const group_order& order,
                                   absl::Time now) {
  group_membership& said = s.entry.membership;
  const bool named = said.group == order.group && said.epoch == order.epoch &&
                     said.phase != member_phase::none;
  switch (order.kind) {
    case group_order_kind::join:
      return this->join(s, order, now);
    case group_order_kind::open:
      if (!named || said.rank != 0 || said.phase != member_phase::ready) break;
      s.phase_done = now + this->service.engine->open_time;
      return order_result::begun;
    case group_order_kind::close:
      if (!named || said.phase != member_phase::open) break;
      said.phase = member_phase::closing;
      s.phase_done = now + close_time;
      return order_result::begun;
    case group_order_kind::leave:
      if (!named) break;
      said = {};
      s.phase_done = absl::InfiniteFuture();
      return order_result::already_done;
    case group_order_kind::stage:
      this->begin_load(s, order.model, now);
      return order_result::begun;
  }
  return order_result::conflict;
}

order_result fleet_emulator::give(const group_order& order, absl::Time now) {
  const auto found = this->servers.find(order.server);
  if (found == this->servers.end() || !found->second.alive) {
    return order_result::unreachable;
  }
  if (found->second.dark) return no_answer;
  const double drawn = this->random.unit();
  if (drawn < this->faults.late) {
    this->late.push_back(
        {order, now + least_late + this->random.unit() * late_span});
    return no_answer;
  }
  if (drawn < this->faults.late + this->faults.lost) return no_answer;
  const order_result result = this->carry_out(order, now);
  const double all =
      this->faults.late + this->faults.lost + this->faults.answer_lost;
  return drawn < all ? no_answer : result;
}

std::optional<server_report> fleet_emulator::report(
    const std::string& id) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end() || !found->second.alive ||
      found->second.dark) {
    return std::nullopt;
  }
  server_report out;
  out.incarnation = found->second.entry.incarnation;
  out.orders_started = found->second.orders;
  out.order_running = !found->second.loading.empty();
  out.membership = found->second.entry.membership;
  return out;
}

int fleet_emulator::serving(const std::string& model) const {
  int count = 0;
  for (const auto& [id, s] : this->servers) {
    const group_membership& said = s.entry.membership;
    if (!s.alive || s.dark || said.phase != member_phase::open) continue;
    if (s.last_model != model) continue;
    const bool all =
        std::all_of(s.members.begin(), s.members.end(),
                    [&](const auto& m) { return this->member_in_place(s, m); });
    if (all) ++count;
  }
  return count;
}

bool fleet_emulator::open_head(const std::string& id) const {
  const auto found = this->servers.find(id);
  if (found == this->servers.end() || !found->second.alive) return false;
  const group_membership& said = found->second.entry.membership;
  return said.rank == 0 && said.phase == member_phase::open;
}

bool fleet_emulator::group_in_place(const std::string& id) const {
  const server& head = this->servers.at(id);
  return !head.dark && std::all_of(head.members.begin(), head.members.end(),
                                   [&](const auto& member) {
                                     return this->member_in_place(head, member);
                                   });
}

std::vector<std::string> fleet_emulator::living() const {
  std::vector<std::string> out;
  for (const auto& [id, s] : this->servers) {
    if (s.alive) out.push_back(id);
  }
  return out;
}

}  // namespace spokesail::standin
