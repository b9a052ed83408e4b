// Logging to standard error: one line of key=value pairs for each event.
#pragma once

#include <string>
#include <vector>

#include "spokesail/effect.h"

namespace spokesail {

/// Initializes logging. Each line contains the name `node`.
void start_log(const std::string& node);

/// Logs the event `name` with its fields.
void log_line(const std::string& name, const std::vector<log_field>& fields);

/// Returns `value`, quoted and escaped if it is empty or contains a space, tab,
/// newline, quote, backslash or '='.
std::string quoted(const std::string& value);

}  // namespace spokesail
