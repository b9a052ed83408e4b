// Has free hosts load the weights that they hold into their engines.
#include "group-state.h"

namespace spokesail {
namespace {

/// Limit of hosts of one domain that are warmed up at the same time once there
/// are requests: such a host is not available to a repair while its model loads
/// from the host, one to two seconds.
constexpr size_t max_warming_hosts = 2;

/// Time allowed for a warm-up beyond that of the load from the host.
constexpr absl::Duration warm_slack = absl::Seconds(2);

}  // namespace

std::map<std::string, size_t> group_controller::warming_by_domain(
    const service_state& s) const {
  std::map<std::string, size_t> out;
  for (const auto& [name, warmup] : this->warmups) {
    if (s.has_server(warmup.server)) out[s.entry(warmup.server).domain]++;
  }
  return out;
}

bool group_controller::may_warm(const service_state& s, const std::string& id,
                                absl::Time now) const {
  const server_entry& entry = s.entry(id);
  const server_track& track = s.track(id);
  const bool idle = entry.membership.phase == member_phase::none &&
                    !track.order_running && now >= track.staging_until;
  return idle && !entry.staged.empty() &&
         track.last_model != entry.staged.front();
}

void group_controller::warm_host(const service_state& s, const std::string& id,
                                 const std::vector<std::string>& domain_hosts,
                                 absl::Time now, group_actions& out) {
  const server_entry& entry = s.entry(id);
  const model_profile* model = find_model(*s.engine, entry.staged.front());
  if (model == nullptr) return;
  const auto size = static_cast<size_t>(model->group_size);
  if (domain_hosts.size() < size) return;
  const int64_t epoch = this->next_epoch();
  group_order join = make_group_order(group_order_kind::join,
                                      group_name(model->name, epoch), epoch);
  join.model = model->name;
  join.members = {id};
  for (const auto& other : domain_hosts) {
    if (join.members.size() == size) break;
    if (other != id) join.members.push_back(other);
  }
  const std::string name = join.group;
  if (!this->send(entry, std::move(join), out)) return;
  this->warmups[name] = {id, now + model->staged_load + warm_slack};
  out.events.push_back({"host_warming", id, model->name});
}

void group_controller::warm_spares(const service_state& s, bool requests_seen,
                                   absl::Time now, group_actions& out) {
  std::erase_if(this->warmups, [&](const auto& item) {
    return item.second.deadline <= now || !s.has_server(item.second.server);
  });
  if (!this->options.warm_spares) return;
  auto warming = this->warming_by_domain(s);
  std::map<std::string, std::vector<std::string>> hosts;
  for (const auto& [id, server] : s.servers) {
    hosts[server.entry.domain].push_back(id);
  }
  for (const auto& [domain, free] : this->free_hosts(s)) {
    for (const auto& id : free) {
      if (requests_seen && warming[domain] >= max_warming_hosts) break;
      if (!this->may_warm(s, id, now)) continue;
      this->warm_host(s, id, hosts[domain], now, out);
      warming[domain]++;
    }
  }
}

void group_controller::end_warmup(const service_state& s,
                                  const group_view& group, group_actions& out) {
  if (group.head_phase != member_phase::ready) return;
  const server_entry& host = s.entry(group.head());
  const group_order leave =
      make_group_order(group_order_kind::leave, group.name, group.epoch);
  if (this->send(host, leave, out))
    this->tracks[host.id].leaving_group = group.name;
}

}  // namespace spokesail
