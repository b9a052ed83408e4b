// Objects of the platform and the conditional write that settles lost answers.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace spokesail {

/// Names one object of the platform's object API.
struct object_key {
  std::string kind;
  std::string name;
  auto operator<=>(const object_key&) const = default;
};

/// One version of an object. The body is the JSON text of its spec. Versions
/// come from the platform, start at 1 and only grow; 0 means "does not exist".
struct object {
  object_key key;
  int64_t version = 0;
  std::string body;
  bool deleted = false;
  bool operator==(const object&) const = default;
};

/// Kinds of objects that spokesail keeps in the platform.
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

/// How a call on the platform ended. After `unavailable` a write may or may
/// not have taken effect.
enum class call_status { ok, conflict, not_found, unavailable };

/// What a call on the platform asks for.
enum class call_kind { read, write };

/// One call on the platform. A write with base version 0 creates the object.
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

/// Where a conditional write stands.
enum class write_state { sending, reading, applied, lost };

/// A conditional write on its way. Its body names the write's id, so that an
/// answer that got lost is settled by reading the object back.
struct document_write {
  object_key key;
  int64_t base_version = 0;
  std::string body;
  std::string write_id;
  write_state state = write_state::sending;
  int attempts = 0;
  /// The object as last read or written; the winner's when `lost`.
  object found;
  bool operator==(const document_write&) const = default;
};

/// How many write ids a document remembers.
inline constexpr size_t max_write_ids = 32;

/// Makes a write of `spec` (a JSON object) on top of `base`. The ids that
/// `base` remembers are kept, `write_id` is added to them.
document_write make_write(const object& base, const std::string& spec,
                          const std::string& write_id);

/// The call that moves `write` forward. Only valid while sending or reading.
platform_call next_call(const document_write& write);

/// Takes the answer to the call that `next_call` gave. An unavailable platform
/// leaves the state as it was: the same call is to be made again.
document_write apply_answer(document_write write,
                            const platform_answer& answer);

/// Whether `write` has ended.
bool is_finished(const document_write& write);

/// The ids of the last writes that `body` remembers, oldest first.
std::vector<std::string> write_ids(const std::string& body);

}  // namespace spokesail
