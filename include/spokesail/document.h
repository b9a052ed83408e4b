// Objects of the platform, and conditional writes whose outcome can be
// determined even if an answer is lost.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace spokesail {

/// Identifies one object of the platform's object API.
struct object_key {
  std::string kind;
  std::string name;
  auto operator<=>(const object_key&) const = default;
};

/// Whether a text may be the name of something that is sent on to servers and
/// other nodes: 1 to 255 visible ASCII characters. The store's objects may have
/// any name.
bool is_plain_name(const std::string& name);

/// One version of an object. The body is the JSON text of its spec. The
/// platform assigns versions, which start at 1 and only grow; 0 means "does not
/// exist".
struct object {
  object_key key;
  int64_t version = 0;
  std::string body;
  bool deleted = false;
  bool operator==(const object&) const = default;
};

/// Kinds of objects that spokesail stores in the platform.
namespace kinds {
inline constexpr char config[] = "config";
inline constexpr char bundle[] = "bundle";
inline constexpr char host[] = "host";
inline constexpr char placement[] = "placement";
inline constexpr char lease[] = "lease";
inline constexpr char drain[] = "drain";
inline constexpr char claim[] = "claim";
inline constexpr char audit[] = "audit";
}  // namespace kinds

/// Result of a call to the platform. After `unavailable` a write may or may not
/// have taken effect.
enum class call_status { ok, conflict, not_found, unavailable };

enum class call_kind { read, write };

/// One call to the platform. A write with base version 0 creates the object.
struct platform_call {
  call_kind kind = call_kind::read;
  object_key key;
  int64_t base_version = 0;
  std::string body;
  bool operator==(const platform_call&) const = default;
};

/// The answer to a call; `found` is the object as written or read.
struct platform_answer {
  call_status status = call_status::unavailable;
  object found;
  bool operator==(const platform_answer&) const = default;
};

/// State of a conditional write. `reading` reads the object back to find out
/// whether the write took effect; `lost` means that another writer won.
enum class write_state { sending, reading, applied, lost };

/// A conditional write in progress. Its body contains the write's id, so that
/// reading the object back tells whether a write with a lost answer took
/// effect.
struct document_write {
  object_key key;
  int64_t base_version = 0;
  std::string body;
  std::string write_id;
  write_state state = write_state::sending;
  int attempts = 0;
  /// The object as last read or written; the other writer's when `lost`.
  object found;
  bool operator==(const document_write&) const = default;
};

/// Maximum number of write ids that a document stores.
inline constexpr size_t max_write_ids = 32;

/// Makes a write of `spec` (a JSON object) on top of `base`. Adds `write_id` to
/// the ids that `base` stores.
document_write make_write(const object& base, const std::string& spec,
                          const std::string& write_id);

/// Returns the next call for `write`. Only valid while sending or reading.
platform_call next_call(const document_write& write);

/// Applies the answer to the call that `next_call` returned. If the platform
/// was unavailable, the state is unchanged and the same call must be repeated.
document_write apply_answer(document_write write,
                            const platform_answer& answer);

/// Whether `write` is finished: applied or lost.
bool is_finished(const document_write& write);

/// Returns the ids of the last writes that `body` stores, oldest first.
std::vector<std::string> write_ids(const std::string& body);

}  // namespace spokesail
