// The platform's object API, as an interface; another platform is one file.
#pragma once

#include <absl/time/time.h>

#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "spokesail/document.h"

namespace spokesail {

/// The error of listing or watching: the platform is away, or the watch is
/// too far behind and has to start from a new list.
enum class platform_error { unavailable, expired };

/// All objects of a kind as of one version.
struct object_list {
  std::vector<object> objects;
  int64_t version = 0;
};

/// Counts calls, by kind of call ("get", "put", "create", "list", "watch",
/// "delete").
using call_counter = std::function<void(const std::string& verb)>;

/// A store of versioned objects with conditional updates and watches. All
/// calls block, up to the deadline that the store was made with, and may be
/// made from any thread.
class platform_store {
 public:
  virtual ~platform_store() = default;

  /// Reads or conditionally writes one object.
  virtual platform_answer call(const platform_call& call) = 0;

  /// Deletes one object. `not_found` if there is none.
  virtual call_status remove(const object_key& key) = 0;

  /// All objects of a kind. Fails with a `platform_error`.
  virtual boost::leaf::result<object_list> list(const std::string& kind) = 0;

  /// Follows a kind from `version` on until `taken` returns false or the
  /// watch ends, which is an `unavailable` or `expired` error. `taken` is
  /// called with null now and then, so that it can end the watch.
  virtual boost::leaf::result<void> watch(
      const std::string& kind, int64_t version,
      const std::function<bool(const object*)>& taken) = 0;
};

/// A store that speaks HTTP and JSON in the manner of Kubernetes.
std::unique_ptr<platform_store> make_http_platform(const std::string& address,
                                                   absl::Duration deadline,
                                                   call_counter count);

/// Makes a conditional write and settles it: calls and reads back until it is
/// applied or lost, or until `give_up` calls went unanswered.
document_write settle_write(platform_store& store, document_write write,
                            int give_up);

}  // namespace spokesail
