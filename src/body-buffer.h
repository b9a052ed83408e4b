// Holds the body of a response.
#pragma once

#include <cstddef>
#include <deque>
#include <string>

namespace spokesail {

/// A body in parts, so that it grows without being copied.
class body_buffer {
 public:
  /// Size of a part, in bytes.
  static constexpr size_t part_size = 64 << 10;

  /// The part to which up to `size` bytes, at most `part_size`, may be
  /// appended.
  std::string& space(size_t size) {
    const bool full =
        this->content.empty() || this->content.back().size() + size > part_size;
    if (!full) return this->content.back();
    // Most bodies are small: only later parts have their whole size at once.
    const bool later = !this->content.empty();
    this->content.emplace_back();
    if (later) this->content.back().reserve(part_size);
    return this->content.back();
  }

  const std::deque<std::string>& parts() const { return this->content; }

  size_t size() const {
    size_t out = 0;
    for (const auto& part : this->content) out += part.size();
    return out;
  }
  /// Memory that the parts take.
  size_t capacity() const {
    size_t out = 0;
    for (const auto& part : this->content) out += part.capacity();
    return out;
  }

 private:
  std::deque<std::string> content;
};

}  // namespace spokesail
