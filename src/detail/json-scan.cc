#include "detail/json-scan.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace spokesail::detail {
namespace {

constexpr size_t hex_digits = 4;
constexpr uint32_t high_surrogates = 0xD800;
constexpr uint32_t low_surrogates = 0xDC00;
constexpr uint32_t surrogates_end = 0xE000;

bool is_blank(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

/// A position in a JSON text. All operations stop at its end.
class scanner {
 public:
  explicit scanner(std::string_view text) : text(text) {}

  bool at_end() const { return this->position == this->text.size(); }

  void skip_blanks() {
    while (!this->at_end() && is_blank(this->text[this->position]))
      ++this->position;
  }

  /// Skips blanks and then `c`. Returns false, without skipping it, if
  /// something else follows.
  bool accept(char c) {
    this->skip_blanks();
    if (this->at_end() || this->text[this->position] != c) return false;
    ++this->position;
    return true;
  }

  /// Skips blanks and a string. Returns it with its quotes; empty if there is
  /// no complete string.
  std::string_view take_string() {
    this->skip_blanks();
    const size_t begin = this->position;
    if (!this->accept('"')) return {};
    while (!this->at_end()) {
      const char c = this->text[this->position++];
      if (c == '\\' && !this->at_end()) ++this->position;
      if (c == '"') return this->text.substr(begin, this->position - begin);
    }
    return {};
  }

  /// Skips blanks and a value. Returns it; empty if there is no complete value.
  std::string_view take_value() {
    this->skip_blanks();
    if (this->at_end()) return {};
    const char first = this->text[this->position];
    if (first == '"') return this->take_string();
    if (first == '{' || first == '[') return this->take_nested();
    return this->take_scalar();
  }

 private:
  std::string_view take_nested() {
    const size_t begin = this->position;
    size_t depth = 0;
    while (!this->at_end()) {
      const char c = this->text[this->position];
      if (c == '"') {
        if (this->take_string().empty()) return {};
        continue;
      }
      ++this->position;
      if (c == '{' || c == '[') ++depth;
      if (c != '}' && c != ']') continue;
      if (--depth == 0) return this->text.substr(begin, this->position - begin);
    }
    return {};
  }

  std::string_view take_scalar() {
    const size_t begin = this->position;
    while (!this->at_end()) {
      const char c = this->text[this->position];
      const bool ends = is_blank(c) || c == ',' || c == ':' || c == '}' ||
                        c == ']' || c == '"' || c == '{' || c == '[';
      if (ends) break;
      ++this->position;
    }
    return this->text.substr(begin, this->position - begin);
  }

  std::string_view text;
  size_t position = 0;
};

/// Scans a list in brackets. `take_item` takes one item and returns whether
/// there was one.
bool scan_list(scanner& in, char open, char close,
               absl::FunctionRef<bool()> take_item) {
  if (!in.accept(open)) return false;
  if (!in.accept(close)) {
    do {
      if (!take_item()) return false;
    } while (in.accept(','));
    if (!in.accept(close)) return false;
  }
  in.skip_blanks();
  return in.at_end();
}

void append_utf8(std::string& out, uint32_t code) {
  constexpr uint32_t continuation = 0x80;
  constexpr uint32_t mask = 0x3F;
  constexpr int bits = 6;
  const auto put = [&](uint32_t byte) { out += static_cast<char>(byte); };
  const auto put_rest = [&](int count) {
    for (int i = count - 1; i >= 0; --i)
      put(continuation | ((code >> (bits * i)) & mask));
  };
  if (code < 0x80) {
    put(code);
  } else if (code < 0x800) {
    put(0xC0 | (code >> bits));
    put_rest(1);
  } else if (code < 0x10000) {
    put(0xE0 | (code >> (2 * bits)));
    put_rest(2);
  } else {
    put(0xF0 | (code >> (3 * bits)));
    put_rest(3);
  }
}

/// Removes the four digits after \u from `rest`. Nothing if there are none.
std::optional<uint32_t> take_code_unit(std::string_view& rest) {
  uint32_t unit = 0;
  if (rest.size() < hex_digits) return std::nullopt;
  const char* end = rest.data() + hex_digits;
  const auto [stop, error] = std::from_chars(rest.data(), end, unit, 16);
  if (error != std::errc() || stop != end) return std::nullopt;
  rest.remove_prefix(hex_digits);
  return unit;
}

/// Removes the digits after \u, and a second escape if both are a pair of
/// surrogates. Nothing if there are no digits.
std::optional<uint32_t> take_code_point(std::string_view& rest) {
  const auto first = take_code_unit(rest);
  if (!first || *first < high_surrogates || *first >= low_surrogates)
    return first;
  if (rest.substr(0, 2) != "\\u") return first;
  std::string_view after = rest.substr(2);
  const auto second = take_code_unit(after);
  if (!second || *second < low_surrogates || *second >= surrogates_end)
    return first;
  rest = after;
  return 0x10000 + ((*first - high_surrogates) << 10) +
         (*second - low_surrogates);
}

/// Decodes the escape after a backslash and removes it from `rest`.
void take_escape(std::string_view& rest, std::string& out) {
  constexpr std::string_view letters = "bfnrt\"\\/";
  constexpr std::string_view characters = "\b\f\n\r\t\"\\/";
  constexpr uint32_t replacement_character = 0xFFFD;
  const char c = rest.front();
  rest.remove_prefix(1);
  const size_t letter = letters.find(c);
  if (letter != std::string_view::npos) {
    out += characters[letter];
    return;
  }
  const auto code = c == 'u' ? take_code_point(rest) : std::nullopt;
  append_utf8(out, code.value_or(replacement_character));
}

}  // namespace

bool scan_object(
    std::string_view text,
    absl::FunctionRef<void(std::string_view name, std::string_view value)>
        visit) {
  scanner in(text);
  return scan_list(in, '{', '}', [&] {
    std::string_view name = in.take_string();
    if (name.empty() || !in.accept(':')) return false;
    const std::string_view value = in.take_value();
    if (value.empty()) return false;
    name.remove_prefix(1);
    name.remove_suffix(1);
    visit(name, value);
    return true;
  });
}

bool scan_array(std::string_view text,
                absl::FunctionRef<void(std::string_view element)> visit) {
  scanner in(text);
  return scan_list(in, '[', ']', [&] {
    const std::string_view element = in.take_value();
    if (element.empty()) return false;
    visit(element);
    return true;
  });
}

std::string_view find_member(std::string_view text, std::string_view name) {
  std::string_view found;
  const bool complete =
      scan_object(text, [&](std::string_view member, std::string_view value) {
        if (member == name) found = value;
      });
  return complete ? found : std::string_view();
}

size_t nesting_depth(std::string_view text) {
  size_t depth = 0;
  size_t deepest = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') in_string = !in_string;
    if (in_string) {
      if (c == '\\') ++i;
      continue;
    }
    if (c == '{' || c == '[') deepest = std::max(deepest, ++depth);
    if ((c == '}' || c == ']') && depth > 0) --depth;
  }
  return deepest;
}

std::string decode_string(std::string_view text) {
  std::string out;
  if (text.size() < 2 || text.front() != '"' || text.back() != '"') return out;
  std::string_view rest = text.substr(1, text.size() - 2);
  while (!rest.empty()) {
    const char c = rest.front();
    rest.remove_prefix(1);
    if (c == '\\' && !rest.empty()) {
      take_escape(rest, out);
    } else {
      out += c;
    }
  }
  return out;
}

}  // namespace spokesail::detail
