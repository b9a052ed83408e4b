// What makes two attempts the same request: the sender and the content.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace spokesail {

/// Identifies a request over all its attempts, whose ids differ.
struct request_identity {
  /// Hash of the caller's workspace; that of the empty name if it has none.
  /// Kept apart from the content, so that no caller can send content whose
  /// identity equals that of another workspace's request.
  uint64_t workspace = 0;
  /// Hash of method, host, path and body.
  uint64_t content = 0;
  auto operator<=>(const request_identity&) const = default;
};

/// Computes the identity of a request. Two contents of one workspace have the
/// same hash with a probability of 2^-64.
request_identity identify_request(std::string_view workspace,
                                  std::string_view method,
                                  std::string_view host,
                                  std::string_view target,
                                  std::string_view body);

/// The identity as hex digits, for logs. The content cannot be recovered from
/// it.
std::string to_text(const request_identity& identity);

}  // namespace spokesail
