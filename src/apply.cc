#include "apply.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <nlohmann/json.hpp>
#include <random>

#include "spokesail/hash.h"

namespace spokesail {
namespace {

using json = nlohmann::json;
namespace leaf = boost::leaf;

/// Calls without a response after which an operation fails.
constexpr int max_unanswered_calls = 8;

std::string new_write_id(const std::string& operator_name) {
  std::random_device device;
  return absl::StrCat(operator_name, "-", absl::Hex(device()),
                      absl::Hex(device()));
}

leaf::result<object> read_object(platform_store& store, const object_key& key) {
  for (int i = 0; i < max_unanswered_calls; i++) {
    const auto answer = store.call({call_kind::read, key, 0, {}});
    if (answer.status == call_status::ok) return answer.found;
    if (answer.status == call_status::not_found) return object{key, 0, {}, {}};
    absl::SleepFor(absl::Milliseconds(100 * (i + 1)));
  }
  return leaf::new_error(
      apply_error{apply_error::reason::platform_unavailable, {}});
}

config_head head_of(const object& o) {
  const json spec = json::parse(o.body, nullptr, false);
  return spec.is_object() ? spec.get<config_head>() : config_head{};
}

}  // namespace

leaf::result<accepted_config> read_accepted(platform_store& store) {
  accepted_config out;
  BOOST_LEAF_ASSIGN(out.head_object,
                    read_object(store, {kinds::config, "head"}));
  out.head = head_of(out.head_object);
  if (out.head.revision == 0) return out;
  BOOST_LEAF_AUTO(bundle, read_object(store, {kinds::bundle, out.head.digest}));
  const json body = json::parse(bundle.body, nullptr, false);
  if (body.is_object() && body.contains("bundle")) {
    out.content = body["bundle"].get<configuration>();
  }
  return out;
}

leaf::result<config_head> accept_config(platform_store& store,
                                        const configuration& next, int64_t base,
                                        const std::string& operator_name) {
  BOOST_LEAF_AUTO(head_object, read_object(store, {kinds::config, "head"}));
  const config_head before = head_of(head_object);
  if (base >= 0 && base != before.revision) {
    return leaf::new_error(
        apply_error{apply_error::reason::stale_base, before});
  }
  const json content = next;
  const std::string digest = hex_digest(content.dump());
  object bundle;
  bundle.key = {kinds::bundle, digest};
  const json bundle_spec = {{"bundle", content}};
  // A bundle is named by the digest of its content, so an existing one with
  // this name is identical and the write may be lost to it.
  const auto bundle_write =
      complete_write(store, make_write(bundle, bundle_spec.dump(), digest),
                     max_unanswered_calls);
  if (!is_finished(bundle_write)) {
    return leaf::new_error(
        apply_error{apply_error::reason::platform_unavailable, {}});
  }
  config_head head;
  head.revision = before.revision + 1;
  head.digest = digest;
  head.operator_name = operator_name;
  head.accepted_at = absl::FormatTime(absl::Now(), absl::UTCTimeZone());
  const auto write = complete_write(
      store,
      make_write(head_object, json(head).dump(), new_write_id(operator_name)),
      max_unanswered_calls);
  if (write.state == write_state::applied) return head;
  if (write.state == write_state::lost) {
    return leaf::new_error(
        apply_error{apply_error::reason::conflict, head_of(write.found)});
  }
  return leaf::new_error(
      apply_error{apply_error::reason::platform_unavailable, {}});
}

void write_audit(platform_store& store, const std::string& event,
                 const std::string& operator_name, const std::string& detail) {
  const json spec = {
      {"event", event},
      {"operator", operator_name},
      {"detail", detail},
      {"at", absl::FormatTime(absl::Now(), absl::UTCTimeZone())}};
  object base;
  base.key = {kinds::audit,
              absl::StrCat(absl::ToUnixMicros(absl::Now()), "-operator")};
  complete_write(store,
                 make_write(base, spec.dump(), new_write_id(operator_name)),
                 max_unanswered_calls);
}

}  // namespace spokesail
