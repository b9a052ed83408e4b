// What makes two attempts the same request: who sends it, and what it asks.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace spokesail {

/// Stands for a request over all its attempts, whatever their ids.
struct request_identity {
  /// Hash of the caller's workspace; that of the empty name if it has none. It
  /// stands apart from the content, so that no caller can send a content whose
  /// identity is that of another workspace's request.
  uint64_t workspace = 0;
  /// Hash of method, host, path and body.
  uint64_t content = 0;
  auto operator<=>(const request_identity&) const = default;
};

/// The identity of a request. Two contents of one workspace may share a hash
/// with a chance of 2^-64.
request_identity identify_request(std::string_view workspace,
                                  std::string_view method,
                                  std::string_view host,
                                  std::string_view target,
                                  std::string_view body);

/// An identity as hex digits, for logs. Nothing of the content can be read
/// back from it.
std::string to_text(const request_identity& identity);

}  // namespace spokesail
