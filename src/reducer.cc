#include "spokesail/reducer.h"

#include <absl/strings/str_cat.h>

#include "detail/node-step.h"

namespace spokesail {
namespace detail {

void node_step::on(const tick_event&) {
  this->tick_members();
  this->tick_view();
  this->tick_controller();
  this->tick_requests();
  this->tick_gauges();
}

void node_step::log(std::string name, std::vector<log_field> fields,
                    bool audited) {
  this->emit(log_effect{std::move(name), std::move(fields), audited});
}

std::string node_step::new_write_id() {
  return absl::StrCat(this->s.options.self.name, "-",
                      absl::Hex(this->s.options.boot), "-",
                      ++this->s.write_count);
}

}  // namespace detail

node_state make_node(const node_options& options, absl::Time now) {
  node_state state;
  state.options = options;
  state.random.engine.seed(options.seed);
  state.members = membership(options.self, options.member_window);
  const std::string holder =
      absl::StrCat(options.self.name, "-", absl::Hex(options.boot));
  state.hall_controller =
      controller(options.self.hall, holder, options.controller);
  state.requests = request_table(options.self.name, options.boot);
  state.started = now;
  state.last_platform_contact = now;
  state.last_event = now;
  return state;
}

reduction reduce(node_state state, const event& e) {
  // Events may be queued out of order; time must not run backwards.
  const absl::Time now = std::max(e.at, state.last_event);
  state.last_event = now;
  detail::node_step step(state, now);
  std::visit([&step](const auto& body) { step.on(body); }, e.body);
  auto effects = step.take();
  return {std::move(state), std::move(effects)};
}

bool group_open(const node_state& state, const group& g, absl::Time now) {
  if (g.phase != group_phase::serving) return false;
  for (const auto& host : g.hosts) {
    const auto report =
        state.presence.present(host, now, state.options.presence_window);
    if (!report || report->group != g.name) return false;
    if (report->incarnation != g.incarnation) return false;
    if (report->phase != host_phase::ready) return false;
  }
  return true;
}

}  // namespace spokesail
