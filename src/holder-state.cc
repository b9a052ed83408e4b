#include "holder-state.h"

#include <algorithm>

namespace spokesail {

holder_part without_servers(const holder_state& state) {
  holder_part out{state, 0, 0};
  out.state.unresponsive.clear();
  return out;
}

std::vector<holder_part> split_holder_state(const holder_state& state) {
  const std::vector<std::string>& servers = state.unresponsive;
  const size_t count = std::max<size_t>(
      1, (servers.size() + max_servers_per_part - 1) / max_servers_per_part);
  std::vector<holder_part> out;
  for (size_t part = 0; part < count; ++part) {
    const size_t from = part * max_servers_per_part;
    const size_t to = std::min(servers.size(), from + max_servers_per_part);
    holder_part next = without_servers(state);
    next.state.unresponsive.assign(servers.begin() + static_cast<long>(from),
                                   servers.begin() + static_cast<long>(to));
    next.part = static_cast<int>(part);
    next.parts = static_cast<int>(count);
    out.push_back(std::move(next));
  }
  return out;
}

holder_part inline_holder_state(const holder_state& state) {
  if (state.unresponsive.size() > max_servers_per_part)
    return without_servers(state);
  return {state, 0, 1};
}

std::optional<holder_state> holder_assembler::add(const holder_part& received) {
  const holder_position position = received.state.position();
  if (this->complete && position < this->complete->position())
    return std::nullopt;
  if (received.parts == 0) {
    const bool known = this->complete && this->complete->position() == position;
    return known ? this->complete : std::nullopt;
  }
  if (received.part < 0 || received.part >= received.parts) return std::nullopt;
  if (position < this->assembling) return std::nullopt;
  if (position != this->assembling) this->parts.clear();
  this->assembling = position;
  this->parts[received.part] = received.state.unresponsive;
  if (this->parts.size() != static_cast<size_t>(received.parts))
    return std::nullopt;
  holder_state out = received.state;
  out.unresponsive.clear();
  for (const auto& [part, servers] : this->parts) {
    out.unresponsive.insert(out.unresponsive.end(), servers.begin(),
                            servers.end());
  }
  this->parts.clear();
  this->complete = out;
  return out;
}

}  // namespace spokesail
