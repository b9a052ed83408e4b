// The order of a data hall's relays.
#include "spokesail/relay-choice.h"

#include <algorithm>

#include "spokesail/hash.h"

namespace spokesail {

relay_choice choose_relay(const relay_view& view) {
  std::vector<std::string> names = view.hall_peers;
  names.push_back(view.self);
  const auto order = rendezvous("relay", names, most_relays);
  relay_choice out;
  out.candidate =
      std::find(order.begin(), order.end(), view.self) != order.end();
  out.upstream = view.self;
  if (view.holder == view.self) return out;
  const bool holder_usable =
      !view.holder.empty() && view.passed_over.count(view.holder) == 0;
  if (holder_usable && view.holder_near) {
    out.upstream = view.holder;
    return out;
  }
  for (const auto& name : order) {
    if (name == view.self) break;
    if (view.passed_over.count(name) != 0) continue;
    out.upstream = name;
    return out;
  }
  if (holder_usable) out.upstream = view.holder;
  return out;
}

}  // namespace spokesail
