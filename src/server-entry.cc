// Names of phases, orders and results.
#include "spokesail/server-entry.h"

namespace spokesail {

const char* phase_name(member_phase phase) {
  switch (phase) {
    case member_phase::none:
      return "none";
    case member_phase::joining:
      return "joining";
    case member_phase::ready:
      return "ready";
    case member_phase::open:
      return "open";
    case member_phase::closing:
      return "closing";
    case member_phase::broken:
      return "broken";
  }
  return "none";
}

const char* order_name(group_order_kind kind) {
  switch (kind) {
    case group_order_kind::join:
      return "join";
    case group_order_kind::open:
      return "open";
    case group_order_kind::close:
      return "close";
    case group_order_kind::leave:
      return "leave";
    case group_order_kind::stage:
      return "stage";
  }
  return "unknown";
}

const char* order_result_name(order_result result) {
  switch (result) {
    case order_result::begun:
      return "begun";
    case order_result::already_done:
      return "already_done";
    case order_result::conflict:
      return "conflict";
    case order_result::outdated_epoch:
      return "outdated_epoch";
    case order_result::other_server:
      return "other_server";
    case order_result::rejected:
      return "rejected";
    case order_result::unreachable:
      return "unreachable";
    case order_result::unknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace spokesail
