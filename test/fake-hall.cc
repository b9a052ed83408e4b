#include "fake-hall.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

namespace spokesail::test {
namespace {

using json = nlohmann::json;

constexpr char hall_name[] = "hall";
constexpr absl::Duration tick_period = absl::Milliseconds(50);
constexpr absl::Duration call_timeout = absl::Seconds(1);
constexpr absl::Duration check_period = absl::Milliseconds(50);

/// How much longer than the presence window a member of an open group may be
/// missing: one probe, one heartbeat and their latency.
constexpr absl::Duration detection_slack = absl::Milliseconds(300);

std::string node_name(size_t i) { return absl::StrCat("n", i); }

}  // namespace

configuration one_model(int hosts_per_replica, int replicas,
                        int minimum_serving) {
  configuration config;
  model_config model;
  model.name = "m";
  model.hosts_per_replica = hosts_per_replica;
  model.replicas = {{hall_name, replicas}};
  model.minimum_serving = minimum_serving;
  config.models.push_back(model);
  config.workspaces.push_back({"w", 1, 0, 9});
  return config;
}

fake_hall::fake_hall(const fake_options& shape)
    : now(absl::UnixEpoch() + absl::Hours(1)), options(shape) {
  this->random.engine.seed(shape.seed);
  for (int d = 0; d < shape.domains; d++) {
    for (int i = 0; i < shape.hosts_per_domain; i++) {
      fake_host host;
      host.info.name = absl::StrCat("d", d, "h", i);
      host.info.address = absl::StrCat("10.0.", d, ".", i, ":80");
      host.info.hall = hall_name;
      host.info.domain = absl::StrCat("d", d);
      host.info.accelerators = shape.accelerators;
      host.info.checks_fencing = !shape.some_ignore_fencing || d % 2 == 0;
      host.report.boot = "0";
      this->put({kinds::host, host.info.name}, json(host.info).dump());
      this->hosts[host.info.name] = host;
    }
  }
  this->nodes.resize(static_cast<size_t>(shape.nodes));
  for (size_t i = 0; i < this->nodes.size(); i++) this->start_node(i);
}

void fake_hall::start_node(size_t i) {
  fake_node& node = this->nodes[i];
  node_options o = this->options.node;
  o.self = {node_name(i), hall_name, absl::StrCat("peer", i),
            absl::StrCat("http", i)};
  o.boot = this->random.engine();
  o.seed = o.boot;
  node.state = make_node(o, this->now);
  node.alive = true;
  node.exited = false;
  node.watching = false;
  node.deferred.clear();
  node.generation++;
  for (size_t j = 0; j < this->nodes.size(); j++) {
    node.state.members.add_address(hall_name, absl::StrCat("peer", j));
  }
  const uint64_t generation = node.generation;
  this->after(this->latency(),
              [this, i, generation] { this->tick(i, generation); });
}

void fake_hall::kill_node(size_t i) {
  this->nodes[i].alive = false;
  this->nodes[i].watching = false;
  this->nodes[i].generation++;
}

void fake_hall::pause_node(size_t i, absl::Duration duration) {
  this->nodes[i].paused_until = this->now + duration;
  this->after(duration, [this, i] {
    fake_node& node = this->nodes[i];
    if (this->now < node.paused_until) return;
    std::vector<event_body> deferred;
    deferred.swap(node.deferred);
    for (const auto& body : deferred) this->handle(i, body);
  });
}

void fake_hall::kill_host(const std::string& name) {
  this->hosts[name].alive = false;
}

void fake_hall::revive_host(const std::string& name) {
  fake_host& host = this->hosts[name];
  host.alive = true;
  host.report = host_report{};
  host.report.boot = absl::StrCat(++host.boots);
  host.running = 0;
}

void fake_hall::pause_host(const std::string& name, absl::Duration duration) {
  this->hosts[name].paused_until = this->now + duration;
}

void fake_hall::set_leaving(const std::string& name) {
  this->hosts[name].info.leaving = true;
  this->put({kinds::host, name}, json(this->hosts[name].info).dump());
}

void fake_hall::accept(const configuration& config) {
  const json content = config;
  config_head head;
  const auto it = this->objects.find({kinds::config, "head"});
  if (it != this->objects.end()) {
    head = json::parse(it->second.body).get<config_head>();
  }
  head.revision++;
  head.digest = hex_digest(content.dump());
  this->put({kinds::bundle, head.digest}, json{{"bundle", content}}.dump());
  this->put({kinds::config, "head"}, json(head).dump());
}

void fake_hall::put(const object_key& key, const std::string& body) {
  this->objects[key] = {key, ++this->version, body, false};
  this->notify(this->objects[key]);
}

void fake_hall::erase(const object_key& key) {
  this->objects.erase(key);
  this->notify({key, ++this->version, {}, true});
}

void fake_hall::notify(const object& o) {
  for (size_t i = 0; i < this->nodes.size(); i++) {
    fake_node& node = this->nodes[i];
    if (!node.watching) continue;
    if (node.isolated_from_platform || this->platform_down) {
      node.needs_relist = true;
      continue;
    }
    if (o.key.kind == kinds::bundle || o.key.kind == kinds::audit) continue;
    this->after(this->latency(),
                [this, i, o] { this->deliver(i, object_event{o}); });
  }
}

absl::Duration fake_hall::latency() {
  return absl::Microseconds(200 + this->random.below(800));
}

void fake_hall::after(absl::Duration delay, std::function<void()> run) {
  this->jobs.push({this->now + delay, ++this->job_count, std::move(run)});
}

void fake_hall::run_for(absl::Duration duration) {
  this->run_until([] { return false; }, duration);
}

bool fake_hall::run_until(const std::function<bool()>& done,
                          absl::Duration timeout) {
  const absl::Time end = this->now + timeout;
  absl::Time next_check = this->now;
  while (this->now < end) {
    if (done()) return true;
    const absl::Time until = std::min(end, next_check + check_period);
    while (!this->jobs.empty() && this->jobs.top().at <= until) {
      job next = this->jobs.top();
      this->jobs.pop();
      this->now = std::max(this->now, next.at);
      next.run();
    }
    this->measure(until - next_check);
    this->now = until;
    next_check = until;
    this->update_hosts();
    this->check();
  }
  return done();
}

void fake_hall::deliver(size_t i, event_body body) {
  fake_node& node = this->nodes[i];
  if (!node.alive) return;
  if (this->now < node.paused_until) {
    node.deferred.push_back(std::move(body));
    return;
  }
  this->handle(i, body);
}

void fake_hall::handle(size_t i, const event_body& body) {
  fake_node& node = this->nodes[i];
  if (!node.alive) return;
  this->events++;
  auto result = reduce(std::move(node.state), {this->now, body});
  node.state = std::move(result.state);
  for (const auto& e : result.effects) this->execute(i, e);
}

void fake_hall::tick(size_t i, uint64_t generation) {
  if (this->nodes[i].generation != generation) return;
  const fake_node& node = this->nodes[i];
  if (this->now >= node.paused_until) {
    if (node.watching && node.needs_relist) this->send_lists(i, true);
    this->handle(i, tick_event{});
  }
  this->after(tick_period,
              [this, i, generation] { this->tick(i, generation); });
}

size_t fake_hall::node_at(const std::string& peer_address) const {
  return static_cast<size_t>(std::stoul(peer_address.substr(4)));
}

bool fake_hall::reachable(size_t a, size_t b) const {
  return !this->nodes[a].isolated_from_peers &&
         !this->nodes[b].isolated_from_peers && this->nodes[b].alive;
}

void fake_hall::send_lists(size_t i, bool with_lease) {
  fake_node& node = this->nodes[i];
  if (node.isolated_from_platform || this->platform_down) {
    node.needs_relist = true;
    return;
  }
  node.needs_relist = false;
  for (const char* kind : {kinds::config, kinds::host, kinds::placement,
                           kinds::drain, kinds::lease}) {
    if (!with_lease && kind == std::string(kinds::lease)) continue;
    list_event list{kind, {}, this->version};
    this->platform_calls++;
    for (const auto& [key, o] : this->objects) {
      if (key.kind == kind) list.objects.push_back(o);
    }
    this->after(this->latency(), [this, i, list] { this->deliver(i, list); });
  }
}

void fake_hall::execute(size_t i, const effect& e) {
  fake_node& node = this->nodes[i];
  if (const auto* watch = std::get_if<watch_effect>(&e)) {
    node.watching = watch->enabled;
    if (watch->enabled) this->send_lists(i, true);
  } else if (std::holds_alternative<poll_effect>(e)) {
    this->send_lists(i, false);
    this->after(this->latency(), [this, i] {
      this->deliver(i, platform_event{call_owner::poll, {}});
    });
  } else if (const auto* call = std::get_if<platform_effect>(&e)) {
    this->do_call(i, *call);
  } else if (const auto* probe = std::get_if<probe_effect>(&e)) {
    this->do_probe(i, *probe);
  } else if (const auto* o = std::get_if<order_effect>(&e)) {
    this->do_order(i, o->content);
  } else if (const auto* b = std::get_if<heartbeat_effect>(&e)) {
    const size_t to = this->node_at(b->address);
    this->heartbeats++;
    if (!this->reachable(i, to)) return;
    const uint64_t token = (this->job_count << 8) + i;
    const heartbeat content = b->content;
    this->heartbeat_sent[token] = this->now;
    this->after(this->latency(), [this, to, token, content] {
      this->deliver(to, heartbeat_event{token, content});
    });
  } else if (const auto* ack = std::get_if<heartbeat_ack_effect>(&e)) {
    const size_t to = ack->token & 0xff;
    if (!this->reachable(i, to)) return;
    const heartbeat_ack content = ack->content;
    const absl::Time sent = this->heartbeat_sent[ack->token];
    this->heartbeat_sent.erase(ack->token);
    this->after(this->latency(), [this, to, content, sent] {
      this->deliver(to, heartbeat_ack_event{content, sent});
    });
  } else if (const auto* push = std::get_if<push_effect>(&e)) {
    const size_t to = this->node_at(push->address);
    if (!this->reachable(i, to)) return;
    const auto objects_sent = push->objects;
    this->after(this->latency(), [this, to, objects_sent] {
      this->deliver(to, peer_objects_event{objects_sent});
    });
  } else if (const auto* pull = std::get_if<pull_effect>(&e)) {
    const size_t to = this->node_at(pull->address);
    if (!this->reachable(i, to)) return;
    const auto known = pull->known;
    this->after(this->latency(), [this, i, to, known] {
      this->deliver(to, pull_event{i, known});
    });
  } else if (const auto* reply = std::get_if<pull_reply_effect>(&e)) {
    const auto objects_sent = reply->objects;
    const size_t to = reply->token;
    this->after(this->latency(), [this, to, objects_sent] {
      this->deliver(to, peer_objects_event{objects_sent});
    });
  } else if (const auto* start = std::get_if<start_attempt_effect>(&e)) {
    this->do_attempt(i, start->content);
  } else if (const auto* cancel = std::get_if<cancel_attempt_effect>(&e)) {
    this->cancelled.insert(cancel->attempt);
  } else if (const auto* finish = std::get_if<finish_request_effect>(&e)) {
    this->requests[finish->request].outcomes.push_back(finish->result);
  } else if (std::holds_alternative<exit_effect>(e)) {
    node.exited = true;
    this->kill_node(i);
  }
}

platform_answer fake_hall::apply_call(const platform_call& call) {
  const auto it = this->objects.find(call.key);
  const bool exists = it != this->objects.end();
  if (call.kind == call_kind::read) {
    if (!exists) return {call_status::not_found, {}};
    return {call_status::ok, it->second};
  }
  const int64_t current = exists ? it->second.version : 0;
  if (call.base_version != current) return {call_status::conflict, {}};
  this->put(call.key, call.body);
  return {call_status::ok, this->objects[call.key]};
}

void fake_hall::do_call(size_t i, const platform_effect& e) {
  this->platform_calls++;
  const bool platform_unreachable =
      this->platform_down || this->nodes[i].isolated_from_platform;
  const auto answer_later = [this, i, e](absl::Duration delay,
                                         const platform_answer& answer) {
    this->after(delay, [this, i, e, answer] {
      this->deliver(i, platform_event{e.owner, answer});
    });
  };
  if (platform_unreachable) {
    answer_later(call_timeout, {});
    return;
  }
  this->after(this->latency(), [this, e, answer_later] {
    const platform_answer answer = this->apply_call(e.call);
    const bool drop_answer =
        e.call.kind == call_kind::write && this->lose_answers > 0;
    if (drop_answer) this->lose_answers--;
    answer_later(drop_answer ? call_timeout : this->latency(),
                 drop_answer ? platform_answer{} : answer);
  });
}

fake_host* fake_hall::host_at(const std::string& address) {
  for (auto& [name, host] : this->hosts) {
    if (host.info.address == address) return &host;
  }
  return nullptr;
}

void fake_hall::do_probe(size_t i, const probe_effect& e) {
  const absl::Time sent = this->now;
  this->after(this->latency(), [this, i, e, sent] {
    const fake_host& host = this->hosts[e.host];
    probe_event result;
    result.host = e.host;
    result.address = e.address;
    result.sent = sent;
    absl::Duration delay = this->latency();
    if (host.alive && this->now < host.paused_until) {
      delay = this->options.node.probe_deadline;
    } else if (host.alive) {
      result.reachable = true;
      result.report = host.report;
      result.load = {host.running, 0};
    }
    this->after(delay, [this, i, result] { this->deliver(i, result); });
  });
}

void fake_hall::do_order(size_t i, const order& o) {
  // The daemon makes the same check just before it sends an order.
  if (this->now >= o.not_after) return;
  this->after(this->order_delay, [this, i, o] {
    fake_host& host = this->hosts[o.host];
    order_status status = order_status::unreachable;
    if (host.alive && this->now >= host.paused_until) {
      const bool stale = o.fence < host.report.fence;
      status = order_status::accepted;
      if (stale && host.info.checks_fencing) {
        host.stale_orders_refused++;
        status = order_status::refused;
      } else {
        if (stale) host.stale_orders_accepted++;
        this->apply_order(o);
      }
    }
    this->after(this->latency(), [this, i, o, status] {
      this->deliver(i, order_event{o.host, status});
    });
  });
}

void fake_hall::apply_order(const order& o) {
  fake_host& host = this->hosts[o.host];
  host_report& report = host.report;
  report.fence = std::max(report.fence, o.fence);
  if (o.kind == order_kind::release) {
    if (host.running > 0) return;
    report.group.clear();
    report.incarnation = 0;
    report.phase = host_phase::idle;
    return;
  }
  if (o.kind == order_kind::preload && !report.group.empty()) return;
  const bool warm = report.model == o.model && report.version == o.version;
  const bool loading = report.phase == host_phase::loading;
  report.group = o.group;
  report.incarnation = o.incarnation;
  report.model = o.model;
  report.version = o.version;
  report.adapters = o.adapters;
  report.phase = host_phase::loading;
  const absl::Time regrouped_at = this->now + this->options.regroup_time;
  if (!warm) {
    host.ready_at = this->now + this->options.load_time;
  } else {
    // Weights that are still loading are not loaded again.
    host.ready_at =
        loading ? std::max(host.ready_at, regrouped_at) : regrouped_at;
  }
}

void fake_hall::update_hosts() {
  for (auto& [name, host] : this->hosts) {
    host_report& report = host.report;
    if (report.phase == host_phase::loading && this->now >= host.ready_at) {
      report.phase =
          report.group.empty() ? host_phase::idle : host_phase::ready;
    }
    const bool is_ready = host.alive && report.phase == host_phase::ready &&
                          this->now >= host.paused_until;
    if (is_ready)
      host.last_ready[{report.group, report.incarnation}] = this->now;
  }
}

uint64_t fake_hall::request(size_t node, const std::string& model,
                            bool repeatable, absl::Duration deadline) {
  request_info info;
  info.id = ++this->request_count;
  info.target = model;
  info.workspace = "w";
  info.repeatable = repeatable;
  info.deadline = this->now + deadline;
  this->requests[info.id].repeatable = repeatable;
  this->deliver(node, request_event{info});
  return info.id;
}

void fake_hall::do_attempt(size_t i, const attempt_start& start) {
  this->after(this->latency(), [this, i, start] {
    fake_host* host = this->host_at(start.target.address);
    attempt_event ended{start.request, start.attempt, attempt_end::not_started,
                        false};
    if (!host || !host->alive) {
      ended.unreachable = true;
      this->after(this->latency(),
                  [this, i, ended] { this->deliver(i, ended); });
      return;
    }
    const host_report& report = host->report;
    if (report.group != start.target.name ||
        report.incarnation != start.target.incarnation ||
        report.phase != host_phase::ready) {
      this->after(this->latency(),
                  [this, i, ended] { this->deliver(i, ended); });
      return;
    }
    this->requests[start.request].runs++;
    host->running++;
    const auto boots = static_cast<uint64_t>(host->boots);
    this->after(this->options.run_time, [this, i, start, boots] {
      this->end_attempt(i, start, boots);
    });
  });
}

void fake_hall::end_attempt(size_t i, const attempt_start& start,
                            uint64_t boots) {
  fake_host* host = this->host_at(start.target.address);
  const bool same = static_cast<uint64_t>(host->boots) == boots;
  if (same && host->running > 0) host->running--;
  // A paused host responds when it resumes.
  if (this->now < host->paused_until && host->alive) {
    if (same) host->running++;
    this->after(host->paused_until - this->now, [this, i, start, boots] {
      this->end_attempt(i, start, boots);
    });
    return;
  }
  bool completed = host->alive && same;
  for (const auto& [name, other] : this->hosts) {
    const bool member = other.report.group == start.target.name;
    if (member && !other.alive) completed = false;
  }
  if (host->report.incarnation != start.target.incarnation) completed = false;
  this->deliver(
      i, attempt_event{start.request, start.attempt,
                       completed ? attempt_end::whole : attempt_end::broken,
                       false});
}

int fake_hall::leader() const {
  for (size_t i = 0; i < this->nodes.size(); i++) {
    const fake_node& node = this->nodes[i];
    const bool running = node.alive && this->now >= node.paused_until;
    if (running && node.state.hall_controller.leads(this->now)) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

int fake_hall::open_groups(size_t i, const std::string& model) const {
  const node_state& state = this->nodes[i].state;
  int open = 0;
  for (const auto& g : state.groups.groups) {
    if (g.model == model && group_open(state, g, this->now)) open++;
  }
  return open;
}

placement fake_hall::current_placement() const {
  const auto it = this->objects.find({kinds::placement, hall_name});
  if (it == this->objects.end()) return {};
  return json::parse(it->second.body).get<placement>();
}

void fake_hall::check() {
  const placement doc = this->current_placement();
  for (const auto& host : shared_hosts(doc)) {
    this->violations.insert("placement shares host " + host);
  }
  int64_t& fence = this->highest_fence[hall_name];
  if (doc.fence < fence) this->violations.insert("fence decreased");
  fence = std::max(fence, doc.fence);
  int holders = 0;
  for (const auto& node : this->nodes) {
    // A paused node that still considers itself the lease holder does nothing
    // until it resumes.
    const bool running = node.alive && this->now >= node.paused_until;
    holders += running && node.state.hall_controller.leads(this->now);
    if (!running) continue;
    std::set<std::string> used;
    for (const auto& g : node.state.groups.groups) {
      if (!group_open(node.state, g, this->now)) continue;
      for (const auto& name : g.hosts) {
        if (!used.insert(name).second) {
          this->violations.insert("two open groups share host " + name);
        }
        const fake_host& host = this->hosts.at(name);
        const auto last_ready = host.last_ready.find({g.name, g.incarnation});
        const absl::Duration allowed =
            node.state.options.presence_window + detection_slack;
        if (last_ready == host.last_ready.end() ||
            this->now - last_ready->second > allowed) {
          this->violations.insert("group " + g.name +
                                  " is open without member " + name);
        }
      }
    }
  }
  if (holders > 1) this->violations.insert("two nodes hold the lease");
  for (const auto& [id, r] : this->requests) {
    if (r.outcomes.size() > 1) {
      this->violations.insert(absl::StrCat("request ", id, " ended twice"));
    }
    if (!r.repeatable && r.runs > 1) {
      this->violations.insert(absl::StrCat("request ", id, " ran twice"));
    }
    if (r.outcomes.size() == 1 && r.outcomes[0].kind == outcome_kind::refused &&
        r.runs > 0) {
      this->violations.insert(
          absl::StrCat("request ", id, " was refused but ran"));
    }
  }
}

void fake_hall::measure(absl::Duration step) {
  for (size_t i = 0; i < this->nodes.size(); i++) {
    const fake_node& node = this->nodes[i];
    if (!node.alive || this->now < node.paused_until) continue;
    if (!node.state.config) return;
    const double seconds = absl::ToDoubleSeconds(step);
    int wanted = 0;
    int open = 0;
    for (const auto& model : node.state.config->models) {
      const auto it = model.replicas.find(hall_name);
      wanted += it == model.replicas.end() ? 0 : it->second;
      open += this->open_groups(i, model.name);
    }
    this->downtime += std::max(0, wanted - open) * seconds;
    std::set<std::string> serving;
    for (const auto& g : node.state.groups.groups) {
      if (group_open(node.state, g, this->now)) {
        serving.insert(g.hosts.begin(), g.hosts.end());
      }
    }
    for (const auto& [name, host] : this->hosts) {
      if (host.alive && serving.count(name) == 0) {
        this->stranded += host.info.accelerators * seconds;
      }
    }
    return;
  }
}

}  // namespace spokesail::test
