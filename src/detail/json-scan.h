// Finds the parts of a JSON text without decoding it.
#pragma once

#include <absl/functional/function_ref.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace spokesail::detail {

// These functions follow the structure of a text only: its brackets, strings,
// commas and colons. What stands inside strings, and what numbers and literals
// look like, is not checked, so that a part which no JSON library decodes can
// be told from its neighbors. They need constant stack space, however deeply
// the text is nested. Parts are given without the blanks around them.

/// Calls `visit` for each member of an object, with the member's name as it is
/// written between its quotes. Returns false if `text` is not one complete
/// object; members before the fault have been visited then.
bool scan_object(
    std::string_view text,
    absl::FunctionRef<void(std::string_view name, std::string_view value)>
        visit);

/// Calls `visit` for each element of an array. Returns false if `text` is not
/// one complete array; elements before the fault have been visited then.
bool scan_array(std::string_view text,
                absl::FunctionRef<void(std::string_view element)> visit);

/// Returns the value of a member of an object, the last one if the name is
/// repeated; empty if there is none or `text` is not one complete object.
std::string_view find_member(std::string_view text, std::string_view name);

/// The number of arrays and objects around the innermost value; 0 for a string,
/// a number or a literal.
size_t nesting_depth(std::string_view text);

/// Decodes a string in quotes. Bytes that are not UTF-8 are kept, and escapes
/// of lone surrogates are encoded like other characters. Other escapes that
/// JSON does not have become U+FFFD. Empty if `text` is not a string.
std::string decode_string(std::string_view text);

}  // namespace spokesail::detail
