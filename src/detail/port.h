// Port numbers in addresses.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

namespace spokesail::detail {

/// Parses a port: decimal digits only, up to 65535. Nothing if it is another
/// text, such as one with a sign or a blank.
inline std::optional<uint16_t> parse_port(std::string_view text) {
  constexpr size_t max_digits = 5;
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  const bool decimal = !text.empty() && text.size() <= max_digits &&
                       std::all_of(text.begin(), text.end(), is_digit);
  if (!decimal) return std::nullopt;
  uint32_t port = 0;
  for (const char c : text) port = 10 * port + static_cast<uint32_t>(c - '0');
  if (port > std::numeric_limits<uint16_t>::max()) return std::nullopt;
  return static_cast<uint16_t>(port);
}

}  // namespace spokesail::detail
