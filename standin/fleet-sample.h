// Services and configuration of the small fleet, and server entries as JSON.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "spokesail/routing-config.h"
#include "spokesail/server-entry.h"

namespace spokesail::standin {

inline constexpr char engine_service_name[] = "lm";
inline constexpr char plain_service_name[] = "status";

/// An engine service with a small model, whose load times are short enough for
/// tests.
backend_service small_service();

/// A server's entry as stored.
nlohmann::json entry_json(const server_entry& e);

/// A configuration for workspace `north` with the given API keys. It has a
/// streaming route, a repeatable one and one whose requests run at most once.
nlohmann::json sample_config_json(const std::vector<std::string>& keys);

}  // namespace spokesail::standin
