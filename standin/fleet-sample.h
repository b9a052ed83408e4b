// The small fleet's services and configuration, and its entries as JSON.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "spokesail/routing-config.h"
#include "spokesail/server-entry.h"

namespace spokesail::standin {

inline constexpr char engine_service_name[] = "lm";
inline constexpr char plain_service_name[] = "status";

/// Figures of a small engine that loads within a test's time.
backend_service small_service();

/// A server's entry as the store holds it.
nlohmann::json entry_json(const server_entry& e);

/// A configuration with a stream route, a repeatable and a plain one that may
/// run once, for workspace `north` with the keys given.
nlohmann::json sample_config_json(const std::vector<std::string>& keys);

}  // namespace spokesail::standin
