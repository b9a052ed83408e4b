#include "log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace spokesail {

std::string quoted(const std::string& value) {
  if (!value.empty() &&
      value.find_first_of(" \"=\\\n\t") == std::string::npos) {
    return value;
  }
  std::string out = "\"";
  for (const char c : value) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  return out + '"';
}

void start_log(const std::string& node) {
  auto logger = spdlog::stderr_logger_mt("spokesail");
  logger->set_pattern(
      "time=%Y-%m-%dT%H:%M:%S.%e%z level=%l node=" + quoted(node) + " %v");
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

void log_line(const std::string& name, const std::vector<log_field>& fields) {
  std::string line = "event=" + quoted(name);
  for (const auto& field : fields) {
    line += ' ' + field.key + '=' + quoted(field.value);
  }
  spdlog::info(line);
}

}  // namespace spokesail
