// The platform's object store as an event loop sees it, as an interface.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "spokesail/document.h"

namespace spokesail {

/// How a read of the store ended. `expired` says that the store no longer
/// knows the changes since the revision that was asked for.
enum class store_status { ok, expired, unavailable };

/// A status' name, for logs.
const char* store_status_name(store_status status);

/// All objects of a kind as of one revision.
struct object_listing {
  store_status status = store_status::unavailable;
  std::vector<object> objects;
  int64_t revision = 0;
  /// Why there is no listing, for the log.
  std::string error;
  bool operator==(const object_listing&) const = default;
};

/// Changes of a kind, in order; none if the wait ran out.
struct object_changes {
  store_status status = store_status::unavailable;
  std::vector<object> objects;
  /// From where to go on.
  int64_t revision = 0;
  std::string error;
  bool operator==(const object_changes&) const = default;
};

/// A store of versioned objects with conditional writes and watches. Calls
/// end within a bounded time. A call that ends as unavailable may, if it was a
/// write, have taken effect, or take effect later.
class object_store {
 public:
  virtual ~object_store() = default;

  /// Reads or conditionally writes one object.
  virtual boost::asio::awaitable<platform_answer> call(platform_call call) = 0;

  /// All objects of a kind. A stale listing is cheaper and may be some seconds
  /// old.
  virtual boost::asio::awaitable<object_listing> list(std::string kind,
                                                      bool stale) = 0;

  /// Waits up to `wait` for changes of a kind after `revision`.
  virtual boost::asio::awaitable<object_changes> watch(std::string kind,
                                                       int64_t revision,
                                                       absl::Duration wait) = 0;
};

}  // namespace spokesail
