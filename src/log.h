// Logs: one line of key=value pairs for each event, to standard error.
#pragma once

#include <string>
#include <vector>

#include "spokesail/effect.h"

namespace spokesail {

/// Starts logging; `node` is on each line.
void start_log(const std::string& node);

/// Writes one line.
void log_line(const std::string& name, const std::vector<log_field>& fields);

/// `value`, in quotes if it has a space, a quote, '=' or is empty.
std::string quoted(const std::string& value);

}  // namespace spokesail
