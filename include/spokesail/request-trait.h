// Properties of requests that may be the reason why servers crash.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace spokesail {

/// Kinds of request traits.
enum class trait_kind : uint8_t {
  /// The sender and the whole content. Identifies a request over all its
  /// attempts, whose ids differ.
  content,
  /// A part of the prompt that other requests may have as well.
  prompt_part
};

/// A property that a request has in common with its other attempts or with
/// other requests.
struct request_trait {
  /// Where traits of the kind may be compared. Of a content: hash of the
  /// caller's workspace, so that no caller can send content whose trait equals
  /// that of another workspace's request. Of a part: hash of the service, since
  /// the servers of another service may bear it.
  uint64_t scope = 0;
  /// Of a content: hash of method, host, path and body. Of a part: hash of its
  /// id.
  uint64_t value = 0;
  trait_kind kind = trait_kind::content;
  auto operator<=>(const request_trait&) const = default;
};

/// The trait of a whole request. Two contents of one workspace have the same
/// hash with a probability of 2^-64. `workspace` is empty if there is none.
request_trait content_trait(std::string_view workspace, std::string_view method,
                            std::string_view host, std::string_view target,
                            std::string_view body);

/// The trait of requests of a service that have a part in their prompts.
request_trait prompt_part_trait(std::string_view service, std::string_view id);

/// The trait as hex digits, for logs. The content cannot be recovered from it.
std::string to_text(const request_trait& trait);

}  // namespace spokesail
