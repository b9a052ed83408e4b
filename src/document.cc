#include "spokesail/document.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace spokesail {
namespace {

using json = nlohmann::json;

constexpr char writes_field[] = "writes";

/// Longest name, and longest id of a write, in bytes.
constexpr size_t max_name_bytes = 255;

bool contains_write_id(const object& found, const std::string& write_id) {
  const auto ids = write_ids(found.body);
  return std::find(ids.begin(), ids.end(), write_id) != ids.end();
}

}  // namespace

bool is_plain_name(const std::string& name) {
  const auto visible = [](char c) { return c > ' ' && c <= '~'; };
  return !name.empty() && name.size() <= max_name_bytes &&
         std::all_of(name.begin(), name.end(), visible);
}

std::vector<std::string> write_ids(const std::string& body) {
  const json spec = json::parse(body, nullptr, false);
  if (!spec.is_object() || !spec.contains(writes_field)) return {};
  const json& ids = spec[writes_field];
  if (!ids.is_array()) return {};
  std::vector<std::string> out;
  for (const auto& id : ids) {
    // Ids are copied from one version to the next, another writer's too.
    const bool usable =
        id.is_string() && is_plain_name(id.get_ref<const std::string&>());
    if (usable) out.push_back(id.get<std::string>());
  }
  return out;
}

document_write make_write(const object& base, const std::string& spec,
                          const std::string& write_id) {
  auto ids = write_ids(base.body);
  ids.push_back(write_id);
  if (ids.size() > max_write_ids) {
    ids.erase(ids.begin(), ids.end() - max_write_ids);
  }
  json body = json::parse(spec);
  body[writes_field] = ids;
  document_write write;
  write.key = base.key;
  write.base_version = base.deleted ? 0 : base.version;
  write.body = body.dump();
  write.write_id = write_id;
  return write;
}

platform_call next_call(const document_write& write) {
  if (write.state == write_state::reading) {
    return {call_kind::read, write.key, 0, {}};
  }
  return {call_kind::write, write.key, write.base_version, write.body};
}

document_write apply_answer(document_write write,
                            const platform_answer& answer) {
  write.attempts++;
  if (answer.status == call_status::unavailable) return write;
  if (write.state == write_state::sending) {
    // A conflict is caused by another writer or, after a resend, by this
    // writer's earlier attempt. Reading the object back shows which.
    const bool ok = answer.status == call_status::ok;
    write.state = ok ? write_state::applied : write_state::reading;
    if (ok) write.found = answer.found;
    return write;
  }
  const bool is_own_write = answer.status == call_status::ok &&
                            contains_write_id(answer.found, write.write_id);
  write.state = is_own_write ? write_state::applied : write_state::lost;
  write.found = answer.found;
  return write;
}

bool is_finished(const document_write& write) {
  return write.state == write_state::applied ||
         write.state == write_state::lost;
}

}  // namespace spokesail
