// Interface to the platform's object API. To support another platform,
// implement it in one more file.
#pragma once

#include <absl/time/time.h>

#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "spokesail/document.h"

namespace spokesail {

/// Errors of listing and watching: the platform is unreachable, or the watch
/// is too far behind and must restart from a new list.
enum class platform_error { unavailable, expired };

/// All objects of a kind as of one version.
struct object_list {
  std::vector<object> objects;
  int64_t version = 0;
};

/// Counts a call by its verb ("get", "put", "create", "list", "watch" or
/// "delete").
using call_counter = std::function<void(const std::string& verb)>;

/// A store of versioned objects with conditional updates and watches. All
/// calls block, up to the deadline that the store was created with, and are
/// thread-safe.
class platform_store {
 public:
  virtual ~platform_store() = default;

  /// Reads or conditionally writes one object.
  virtual platform_answer call(const platform_call& call) = 0;

  /// Deletes one object. Returns `not_found` if it does not exist.
  virtual call_status remove(const object_key& key) = 0;

  /// Lists all objects of a kind. Fails with a `platform_error`.
  virtual boost::leaf::result<object_list> list(const std::string& kind) = 0;

  /// Watches a kind from `version` on until `on_change` returns false or the
  /// watch ends, which is an `unavailable` or `expired` error. `on_change` is
  /// called with null from time to time, so that it can end the watch.
  virtual boost::leaf::result<void> watch(
      const std::string& kind, int64_t version,
      const std::function<bool(const object*)>& on_change) = 0;
};

/// Creates a store client for an HTTP and JSON API like that of Kubernetes.
std::unique_ptr<platform_store> make_http_platform(const std::string& address,
                                                   absl::Duration deadline,
                                                   call_counter count);

/// Makes a conditional write and retries until it is known to be applied or
/// lost, or until `max_unanswered` calls got no response. A write whose
/// response was lost is resolved by reading the object back.
document_write complete_write(platform_store& store, document_write write,
                              int max_unanswered);

}  // namespace spokesail
