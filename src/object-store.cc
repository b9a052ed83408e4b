// Names of the store's status values.
#include "spokesail/object-store.h"

namespace spokesail {

const char* store_status_name(store_status status) {
  switch (status) {
    case store_status::ok:
      return "ok";
    case store_status::expired:
      return "expired";
    case store_status::unavailable:
      return "unavailable";
  }
  return "unavailable";
}

}  // namespace spokesail
