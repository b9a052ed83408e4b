// Plans the next placement of a data hall from the configuration and the
// present hosts.
#include <algorithm>

#include "spokesail/placement.h"

namespace spokesail {
namespace {

/// One planning pass over a copy of the current placement.
class planner {
 public:
  explicit planner(const plan_input& in) : in(in), next(in.current) {}

  plan_result run() {
    this->next.hall = this->in.hall;
    this->advance_groups();
    this->repair_groups();
    this->form_missing_groups();
    this->drain_unwanted();
    this->drain_surplus();
    return {std::move(this->next), std::move(this->changes)};
  }

 private:
  void record_change(const group& g, std::string change, std::string reason) {
    this->changes.push_back({g.name, std::move(change), std::move(reason)});
  }

  const host_view* find(const std::string& host) const {
    const auto it = this->in.hosts.find(host);
    return it == this->in.hosts.end() ? nullptr : &it->second;
  }

  bool present(const std::string& host) const {
    const host_view* view = this->find(host);
    return view && view->report;
  }

  bool permanently_lost(const std::string& host) const {
    const host_view* view = this->find(host);
    if (!view) return true;
    const auto grace = this->in.config->limits.repair_grace;
    return this->in.now >= view->lost_since + grace;
  }

  bool ready(const group& g) const {
    return std::all_of(g.hosts.begin(), g.hosts.end(), [&](const auto& host) {
      const host_view* view = this->find(host);
      return view && view->report && view->report->group == g.name &&
             view->report->incarnation == g.incarnation &&
             view->report->phase == host_phase::ready;
    });
  }

  bool any_present(const group& g) const {
    return std::any_of(g.hosts.begin(), g.hosts.end(),
                       [&](const auto& host) { return this->present(host); });
  }

  /// Whether a group is serving and complete. Planned changes must keep enough
  /// such groups.
  bool counts_as_serving(const group& g) const {
    return g.phase == group_phase::serving && this->ready(g);
  }

  int serving(const std::string& model) const {
    return static_cast<int>(
        std::count_if(this->next.groups.begin(), this->next.groups.end(),
                      [&](const group& g) {
                        return g.model == model && this->counts_as_serving(g);
                      }));
  }

  bool drained_and_idle(const group& g) const {
    const auto it = this->in.draining_since.find(g.name);
    if (it == this->in.draining_since.end()) return false;
    const absl::Time settled = it->second + this->in.drain_settle;
    if (this->in.now < settled) return false;
    const host_view* head = this->find(g.hosts.front());
    if (!head) return true;
    if (!head->report) return this->permanently_lost(g.hosts.front());
    const bool load_is_recent = head->load_at >= settled;
    return load_is_recent && head->load.running == 0 && head->load.queued == 0;
  }

  bool wanted(const group& g) const {
    const model_config* model = find_model(*this->in.config, g.model);
    if (!model || this->replicas_wanted(*model) == 0) return false;
    if (this->has_drained_host(g) || this->has_leaving_host(g)) return false;
    return model->version == g.version && model->adapters == g.adapters &&
           static_cast<size_t>(model->hosts_per_replica) == g.hosts.size();
  }

  int replicas_wanted(const model_config& model) const {
    const auto it = model.replicas.find(this->in.hall);
    return it == model.replicas.end() ? 0 : it->second;
  }

  /// Lets complete groups serve and releases drained ones.
  void advance_groups() {
    std::vector<group> kept;
    for (auto& g : this->next.groups) {
      if (g.phase == group_phase::draining && this->drained_and_idle(g)) {
        this->record_change(g, "released", "drained");
        continue;
      }
      if (g.phase == group_phase::loading && this->ready(g)) {
        g.phase = group_phase::serving;
        this->record_change(g, "serving", "all members ready");
      }
      kept.push_back(g);
    }
    this->next.groups = std::move(kept);
  }

  /// Drains a group with a leaving host at once, since a leaving server accepts
  /// no new requests, and groups that are merely unwanted only as far as the
  /// minimum of serving groups allows.
  void drain_unwanted() {
    for (auto& g : this->next.groups) {
      if (g.phase == group_phase::draining) continue;
      const bool leaving = this->has_leaving_host(g);
      if (!leaving && (this->wanted(g) || !this->may_drain(g))) continue;
      g.phase = group_phase::draining;
      this->record_change(g, "draining",
                          leaving ? "host is leaving" : "not wanted");
    }
  }

  bool has_leaving_host(const group& g) const {
    return std::any_of(g.hosts.begin(), g.hosts.end(), [&](const auto& host) {
      const host_view* view = this->find(host);
      return view && view->info.leaving;
    });
  }

  bool has_drained_host(const group& g) const {
    return std::any_of(g.hosts.begin(), g.hosts.end(), [&](const auto& host) {
      const host_view* view = this->find(host);
      return view && view->drained;
    });
  }

  /// Whether an unwanted group may be drained now: either enough others serve,
  /// or no other group of its model is changing and the minimum is met without
  /// it.
  bool may_drain(const group& g) const {
    if (!this->counts_as_serving(g)) return true;
    const model_config* model = find_model(*this->in.config, g.model);
    if (!model || this->replicas_wanted(*model) == 0) return true;
    const int left = this->serving(g.model) - 1;
    if (left >= this->replicas_wanted(*model)) return true;
    const bool changing =
        std::any_of(this->next.groups.begin(), this->next.groups.end(),
                    [&](const group& other) {
                      return other.model == g.model && other.name != g.name &&
                             !this->counts_as_serving(other);
                    });
    return !changing && left >= model->minimum_serving;
  }

  bool has_lost_member(const group& g) const {
    return std::any_of(g.hosts.begin(), g.hosts.end(), [&](const auto& host) {
      return this->permanently_lost(host);
    });
  }

  /// Replaces lost members by spares of the same domain. A group that cannot be
  /// completed there is dissolved, so that its hosts can serve.
  void repair_groups() {
    std::vector<size_t> broken;
    for (size_t i = 0; i < this->next.groups.size(); i++) {
      const group& g = this->next.groups[i];
      if (this->has_lost_member(g)) broken.push_back(i);
    }
    std::stable_sort(broken.begin(), broken.end(), [&](size_t a, size_t b) {
      return this->importance(this->next.groups[a]) >
             this->importance(this->next.groups[b]);
    });
    std::set<std::string> dissolved;
    for (const size_t i : broken) {
      group& g = this->next.groups[i];
      if (g.phase == group_phase::draining || !this->replace_lost_members(g)) {
        dissolved.insert(g.name);
        this->record_change(g, "released",
                            "members lost, no spare in its domain");
      }
    }
    std::erase_if(this->next.groups,
                  [&](const group& g) { return dissolved.count(g.name) != 0; });
  }

  int importance(const group& g) const {
    const model_config* model = find_model(*this->in.config, g.model);
    return model ? model->importance : 0;
  }

  bool replace_lost_members(group& g) {
    std::vector<std::string> lost;
    std::string domain;
    for (const auto& host : g.hosts) {
      if (this->permanently_lost(host)) {
        lost.push_back(host);
      } else {
        domain = this->find(host)->info.domain;
      }
    }
    if (lost.size() == g.hosts.size()) return false;
    const auto spares = this->free_in(domain, g.model, g.version);
    if (spares.free_hosts.size() < lost.size()) return false;
    std::string replacements;
    for (size_t i = 0; i < lost.size(); i++) {
      const auto& spare = spares.free_hosts[i];
      *std::find(g.hosts.begin(), g.hosts.end(), lost[i]) = spare;
      replacements += lost[i] + ">" + spare + " ";
    }
    g.incarnation = this->next.next_incarnation++;
    g.phase = group_phase::loading;
    this->record_change(g, "repaired", replacements);
    return true;
  }

  std::set<std::string> used_hosts() const {
    std::set<std::string> used;
    for (const auto& g : this->next.groups) {
      used.insert(g.hosts.begin(), g.hosts.end());
    }
    return used;
  }

  bool usable(const host_view& host) const {
    return host.info.service.empty() && host.report && !host.info.leaving &&
           !host.drained && this->in.now >= host.reassign_after;
  }

  static bool warm(const host_view& host, const std::string& model,
                   const std::string& version) {
    return host.report->model == model && host.report->version == version;
  }

  domain_supply free_in(const std::string& domain, const std::string& model,
                        const std::string& version) const {
    const auto used = this->used_hosts();
    domain_supply supply;
    supply.domain = domain;
    std::vector<std::string> cold;
    for (const auto& [name, host] : this->in.hosts) {
      if (host.info.domain != domain || !host.info.service.empty()) continue;
      supply.total++;
      if (used.count(name) != 0 || !this->usable(host)) continue;
      if (warm(host, model, version)) {
        supply.free_hosts.push_back(name);
      } else {
        cold.push_back(name);
      }
    }
    for (const auto& g : this->next.groups) {
      const host_view* head = this->find(g.hosts.front());
      if (!head || head->info.domain != domain) continue;
      const int size = static_cast<int>(g.hosts.size());
      supply.largest_group = std::max(supply.largest_group, size);
    }
    supply.warm = static_cast<int>(supply.free_hosts.size());
    supply.free_hosts.insert(supply.free_hosts.end(), cold.begin(), cold.end());
    return supply;
  }

  std::vector<std::string> domains() const {
    std::set<std::string> names;
    for (const auto& [name, host] : this->in.hosts) {
      if (host.info.service.empty()) names.insert(host.info.domain);
    }
    return {names.begin(), names.end()};
  }

  std::vector<int> replica_sizes() const {
    std::set<int> sizes;
    for (const auto& model : this->in.config->models) {
      if (this->replicas_wanted(model) > 0) {
        sizes.insert(model.hosts_per_replica);
      }
    }
    return {sizes.begin(), sizes.end()};
  }

  /// Chooses the hosts of a new replica: within one domain, or across several
  /// if the model allows it and no domain has enough. Empty if there are too
  /// few.
  std::vector<std::string> choose_hosts(const model_config& model) const {
    const auto need = static_cast<size_t>(model.hosts_per_replica);
    std::vector<domain_supply> fitting;
    std::vector<std::string> anywhere;
    for (const auto& domain : this->domains()) {
      auto supply = this->free_in(domain, model.name, model.version);
      anywhere.insert(anywhere.end(), supply.free_hosts.begin(),
                      supply.free_hosts.end());
      if (supply.free_hosts.size() >= need) fitting.push_back(supply);
    }
    std::vector<std::string> chosen;
    if (!fitting.empty()) {
      const size_t i = this->in.policy->choose(fitting, model.hosts_per_replica,
                                               this->replica_sizes());
      chosen = fitting[i].free_hosts;
    } else if (model.cross_domain && anywhere.size() >= need) {
      chosen = anywhere;
    } else {
      return {};
    }
    chosen.resize(need);
    return chosen;
  }

  std::vector<const model_config*> models_by_importance() const {
    std::vector<const model_config*> models;
    for (const auto& model : this->in.config->models) models.push_back(&model);
    std::stable_sort(models.begin(), models.end(),
                     [](const model_config* a, const model_config* b) {
                       return a->importance > b->importance;
                     });
    return models;
  }

  int current_replicas(const model_config& model) const {
    return static_cast<int>(std::count_if(
        this->next.groups.begin(), this->next.groups.end(),
        [&](const group& g) {
          return g.model == model.name && g.phase != group_phase::draining &&
                 this->wanted(g);
        }));
  }

  void form_missing_groups() {
    for (const model_config* model : this->models_by_importance()) {
      int missing =
          this->replicas_wanted(*model) - this->current_replicas(*model);
      for (; missing > 0; missing--) {
        auto hosts = this->choose_hosts(*model);
        if (hosts.empty()) break;
        group g;
        g.incarnation = this->next.next_incarnation++;
        g.name = model->name + "-" + this->in.hall + "-" +
                 std::to_string(g.incarnation);
        g.model = model->name;
        g.version = model->version;
        g.adapters = model->adapters;
        g.hosts = std::move(hosts);
        this->record_change(g, "formed", "replica wanted");
        this->next.groups.push_back(std::move(g));
      }
    }
  }

  /// Drains replicas beyond the wanted number, those not serving first.
  void drain_surplus() {
    for (const auto& model : this->in.config->models) {
      int surplus =
          this->current_replicas(model) - this->replicas_wanted(model);
      for (int pass = 0; pass < 2; pass++) {
        for (auto& g : this->next.groups) {
          if (surplus <= 0) break;
          if (g.model != model.name || g.phase == group_phase::draining) {
            continue;
          }
          if (!this->wanted(g)) continue;
          if (pass == 0 && this->counts_as_serving(g)) continue;
          g.phase = group_phase::draining;
          this->record_change(g, "draining", "more replicas than wanted");
          surplus--;
        }
      }
    }
  }

  const plan_input& in;
  placement next;
  std::vector<plan_change> changes;
};

}  // namespace

plan_result plan(const plan_input& in) { return planner(in).run(); }

}  // namespace spokesail
