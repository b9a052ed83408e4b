#include "fleet-sample.h"

namespace spokesail::standin {
namespace {

using json = nlohmann::json;

/// The engine profile of `small_service` in the format of the configuration.
json engine_json() {
  return {{"slots", 8},
          {"kv_capacity", 100000},
          {"stride", 5},
          {"step_ms", 3.0},
          {"per_seq_ms", 0.2},
          {"context_per_k", 0.0},
          {"read_per_s", 46000.0},
          {"chunk", 2048},
          {"report_lag_ms", 50.0},
          {"loads_per_s", 4.0},
          {"loads_at_once", 6},
          {"keeps", 1},
          {"form_ms", 30.0},
          {"usual", {{"prompt", 100}, {"answer", 60}}},
          {"models", json::array({{{"name", "large"},
                                   {"size", 2},
                                   {"share", 1.0},
                                   {"pace", 1.0},
                                   {"load_s", 0.12},
                                   {"warm_s", 0.06}}})}};
}

json routes_json() {
  json route = {{"host", "callers.example"},
                {"timeout_ms", 4000},
                {"goal_ms", 500},
                {"priority", 1},
                {"attempts", 2},
                {"public", false}};
  json stream = route;
  stream.update({{"name", "draft"},
                 {"prefix", "/draft/"},
                 {"kind", "streaming"},
                 {"service", engine_service_name},
                 {"resumable", true},
                 {"gap_aim_ms", 300},
                 {"sticky", true}});
  json once = route;
  once.update({{"name", "file"},
               {"prefix", "/file/"},
               {"kind", "unsafe"},
               {"service", plain_service_name},
               {"attempts", 1}});
  json safe = route;
  safe.update({{"name", "look"},
               {"prefix", "/look/"},
               {"kind", "safe"},
               {"service", plain_service_name}});
  return json::array({stream, once, safe});
}

json services_json() {
  return json::array({{{"name", engine_service_name},
                       {"health_path", "/health"},
                       {"max_conns", 100},
                       {"engine", engine_json()}},
                      {{"name", plain_service_name},
                       {"health_path", "/health"},
                       {"max_conns", 100}}});
}

}  // namespace

backend_service small_service() {
  engine_profile engine;
  engine.slots = 8;
  engine.decode_steps_per_pass = 5;
  engine.step_ms = 3;
  engine.prefill_tokens_per_ms = 46;
  engine.prefill_chunk = 2048;
  engine.loads_per_s = 4;
  engine.loads_at_once = 6;
  engine.open_time = absl::Milliseconds(30);
  engine.models = {
      {"large", 2, 1.0, 1, absl::Milliseconds(120), absl::Milliseconds(60)}};
  return {engine_service_name, 100, 0, engine};
}

json entry_json(const server_entry& e) {
  json out = {
      {"service", e.service}, {"addr", e.address},
      {"zone", e.hall},       {"version", "v1"},
      {"slots", 8},           {"state", e.draining ? "draining" : "ready"},
      {"cold_left_ms", 0},    {"seq", 1}};
  if (e.domain.empty()) return out;
  out["domain"] = e.domain;
  out["staged"] = e.staged;
  out["models"] = json::array();
  if (e.membership.phase != member_phase::none) {
    out["group"] = {{"name", e.membership.group},
                    {"epoch", e.membership.epoch},
                    {"rank", e.membership.rank},
                    {"state", phase_name(e.membership.phase)}};
  }
  return out;
}

json sample_config_json(const std::vector<std::string>& keys) {
  // Each configuration gets a higher version than the one before.
  static int64_t version = 0;
  return {{"version", ++version},
          {"routes", routes_json()},
          {"services", services_json()},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 65536},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants",
           json::array(
               {{{"name", "north"}, {"api_keys", keys}, {"priority", 1}}})}};
}

}  // namespace spokesail::standin
