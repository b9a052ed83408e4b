// Platform objects at a node: merges them, forwards them to peers and applies
// them.
#include <nlohmann/json.hpp>

#include "detail/node-step.h"
#include "spokesail/hash.h"

namespace spokesail::detail {
namespace {

using json = nlohmann::json;

/// A node pulls objects from a peer whose view has differed for this long.
constexpr absl::Duration pull_delay = absl::Milliseconds(300);

/// Interval at which a missing bundle is requested.
constexpr absl::Duration bundle_retry = absl::Seconds(1);

}  // namespace

bool node_step::relevant(const object& o) const {
  const std::string& kind = o.key.kind;
  if (kind == kinds::config || kind == kinds::bundle || kind == kinds::drain) {
    return true;
  }
  const std::string& hall = this->s.options.self.hall;
  if (kind == kinds::placement) return o.key.name == hall;
  if (kind != kinds::host) return false;
  if (o.deleted) return this->s.hosts.count(o.key.name) != 0;
  const json spec = json::parse(o.body, nullptr, false);
  return spec.is_object() && spec.value("hall", "") == hall;
}

void node_step::merge(const std::vector<object>& objects, bool from_platform) {
  std::vector<object> changed;
  for (const auto& o : objects) {
    // Fields of another writer's object may be missing or of another type.
    try {
      if (!this->relevant(o) || !this->s.view.merge(o)) continue;
      this->apply_object(o);
      changed.push_back(o);
    } catch (const json::exception& error) {
      this->log("object_unusable", {{"kind", o.key.kind},
                                    {"name", o.key.name},
                                    {"version", std::to_string(o.version)},
                                    {"why", error.what()}});
    }
  }
  if (changed.empty() || !from_platform) return;
  for (const auto& address : this->hall_peer_addresses()) {
    this->emit(push_effect{address, changed});
  }
}

std::vector<std::string> node_step::hall_peer_addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [name, m] : this->s.members.all()) {
    if (m.info.hall != this->s.options.self.hall) continue;
    if (this->s.members.alive(m, this->now)) {
      addresses.push_back(m.info.peer_address);
    }
  }
  return addresses;
}

void node_step::apply_object(const object& o) {
  const std::string& kind = o.key.kind;
  if (kind == kinds::config || kind == kinds::bundle) this->apply_head();
  if (kind == kinds::host) this->apply_host(o);
  if (kind == kinds::placement) this->apply_placement(o);
  if (kind == kinds::drain) {
    if (o.deleted) {
      this->s.drained.erase(o.key.name);
    } else {
      this->s.drained.insert(o.key.name);
    }
  }
}

void node_step::apply_head() {
  const auto found = this->s.view.find({kinds::config, "head"});
  if (!found) return;
  const json spec = json::parse(found->body, nullptr, false);
  if (!spec.is_object()) return;
  const auto head = spec.get<config_head>();
  if (head.revision <= this->s.revision) return;
  const auto bundle = this->s.view.find({kinds::bundle, head.digest});
  if (!bundle) {
    if (this->s.watching) this->request_bundle();
    return;
  }
  const json body = json::parse(bundle->body, nullptr, false);
  if (!body.is_object() || !body.contains("bundle") ||
      hex_digest(body["bundle"].dump()) != head.digest) {
    this->log("bundle_damaged", {{"digest", head.digest}});
    return;
  }
  this->s.config = body["bundle"].get<configuration>();
  this->s.revision = head.revision;
  this->s.config_digest = head.digest;
  this->s.heartbeat_due = true;
  this->log("config_in_force", {{"revision", std::to_string(head.revision)},
                                {"digest", head.digest},
                                {"operator", head.operator_name}});
}

void node_step::request_bundle() {
  const auto head_object = this->s.view.find({kinds::config, "head"});
  if (!head_object) return;
  if (this->now < this->s.bundle_requested_at + bundle_retry) return;
  const json spec = json::parse(head_object->body, nullptr, false);
  if (!spec.is_object()) return;
  const auto head = spec.get<config_head>();
  if (head.revision <= this->s.revision) return;
  this->s.bundle_requested_at = this->now;
  this->emit(
      platform_effect{call_owner::bundle,
                      {call_kind::read, {kinds::bundle, head.digest}, 0, {}}});
}

void node_step::apply_host(const object& o) {
  const std::string& name = o.key.name;
  if (o.deleted) {
    this->s.hosts.erase(name);
    this->s.lost_since.erase(name);
  } else {
    auto info = json::parse(o.body, nullptr, false).get<host_info>();
    info.name = name;
    this->s.hosts[name] = std::move(info);
  }
  std::vector<std::string> names;
  for (const auto& [host, info] : this->s.hosts) names.push_back(host);
  this->s.presence.retain_hosts(names);
  this->assign_probes();
}

void node_step::apply_placement(const object& o) {
  const json spec = json::parse(o.body, nullptr, false);
  if (o.deleted || !spec.is_object()) {
    this->s.groups = placement{};
  } else {
    this->s.groups = spec.get<placement>();
  }
  this->s.placement_version = o.version;
  this->update_open_groups();
}

void node_step::on(const object_event& e) {
  this->s.last_platform_contact = this->now;
  if (e.updated_object.key.kind == kinds::lease) {
    if (e.updated_object.key.name == this->s.options.self.hall) {
      this->s.hall_controller.hall_lease().observe(e.updated_object, this->now,
                                                   this->s.random.unit());
    }
    return;
  }
  this->merge({e.updated_object}, true);
}

void node_step::on(const list_event& e) {
  this->s.last_platform_contact = this->now;
  this->s.poll_pending = false;
  if (e.kind == kinds::lease) {
    bool found = false;
    for (const auto& o : e.objects) {
      if (o.key.name != this->s.options.self.hall) continue;
      found = true;
      this->on(object_event{o});
    }
    if (!found) this->s.hall_controller.hall_lease().observe_absent(this->now);
    return;
  }
  this->merge(e.objects, true);
  const auto removed = this->s.view.retain(e.kind, e.objects, e.version);
  for (const auto& tombstone : removed) this->apply_object(tombstone);
  if (removed.empty()) return;
  for (const auto& address : this->hall_peer_addresses()) {
    this->emit(push_effect{address, removed});
  }
}

void node_step::on(const peer_objects_event& e) {
  this->merge(e.objects, false);
}

void node_step::on(const pull_event& e) {
  this->emit(pull_reply_effect{e.token, this->s.view.newer_than(e.known)});
}

void node_step::tick_view() {
  const auto selected = this->watchers();
  const bool is_watcher =
      std::find(selected.begin(), selected.end(), this->s.options.self.name) !=
      selected.end();
  const bool watch = is_watcher || this->s.hall_controller.leads(this->now);
  if (watch != this->s.watching) {
    this->s.watching = watch;
    this->emit(watch_effect{watch});
    this->log("watching", {{"enabled", watch ? "true" : "false"}});
  }
  this->request_bundle();
  bool has_other_watcher = false;
  for (const auto& name : selected) {
    has_other_watcher |= name != this->s.options.self.name;
  }
  if (has_other_watcher && !watch) this->s.last_platform_contact = this->now;
  const bool no_contact =
      this->now - this->s.last_platform_contact > this->s.options.poll_after;
  if (no_contact && !watch && !this->s.poll_pending) {
    this->s.poll_pending = true;
    this->s.last_platform_contact = this->now;
    this->emit(poll_effect{});
  }
  for (const auto& [name, entry] : this->s.members.all()) {
    if (entry.info.hall != this->s.options.self.hall) continue;
    member& m = *this->s.members.find(name);
    const bool same = m.view_digest == this->s.view.digest() ||
                      !this->s.members.alive(m, this->now);
    if (same) {
      m.differs_since = absl::InfiniteFuture();
    } else if (m.differs_since == absl::InfiniteFuture()) {
      m.differs_since = this->now;
    } else if (this->now - m.differs_since > pull_delay) {
      m.differs_since = this->now;
      this->emit(pull_effect{m.info.peer_address, this->s.view.stamps()});
    }
  }
}

}  // namespace spokesail::detail
