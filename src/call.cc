#include "call.h"

#include <nlohmann/json.hpp>

namespace spokesail {
namespace {

using json = nlohmann::json;

/// Largest plain answer that is held, in bytes.
constexpr size_t max_plain_bytes = 16 << 20;

/// Number of unsent stream bytes beyond which the attempt waits for the caller.
constexpr size_t max_outgoing_bytes = 256 << 10;

/// A caller that reads nothing for this long is abandoned.
constexpr absl::Duration slow_caller_timeout = absl::Seconds(20);

constexpr char end_of_stream[] = "[DONE]";

/// The first choice of an event; null if the event has none, or if a member of
/// it has another type than it should.
json read_choice(const std::string& event) {
  const json j = json::parse(event, nullptr, false);
  if (!j.is_object() || !j.contains("choices")) return nullptr;
  const json& choices = j["choices"];
  if (!choices.is_array() || choices.empty() || !choices[0].is_object())
    return nullptr;
  const json& choice = choices[0];
  if (choice.contains("token_index") &&
      !choice["token_index"].is_number_integer()) {
    return nullptr;
  }
  if (!choice.contains("delta")) return choice;
  const json& delta = choice["delta"];
  const bool has_text = delta.is_object() && (!delta.contains("content") ||
                                              delta["content"].is_string());
  return has_text ? choice : json(nullptr);
}

}  // namespace

void call::resume_from(const partial_response& received) {
  absl::MutexLock lock(&this->mutex);
  this->partial = received;
}

void call::begin(const std::string& attempt) {
  absl::MutexLock lock(&this->mutex);
  this->current_attempt = attempt;
  this->end_mark_received = false;
  this->plain_content.clear();
}

bool call::head(const std::string& attempt, const exchange_head& head) {
  absl::MutexLock lock(&this->mutex);
  if (attempt != this->current_attempt || this->final_outcome) return false;
  const bool stream = head.content_type.rfind("text/event-stream", 0) == 0;
  // An answer that began as a stream cannot continue as a plain one.
  if (this->partial.tokens > 0 && !stream) return false;
  this->received_head = head;
  this->event_stream = stream;
  return true;
}

bool call::append_plain(const std::string& attempt, const char* data,
                        size_t size) {
  absl::MutexLock lock(&this->mutex);
  if (attempt != this->current_attempt || this->final_outcome) return false;
  if (this->plain_content.size() + size > max_plain_bytes) return false;
  this->plain_content.append(data, size);
  return true;
}

bool call::append_event(const std::string& attempt, const std::string& data) {
  absl::MutexLock lock(&this->mutex);
  const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) {
    return this->outgoing.size() < max_outgoing_bytes ||
           this->final_outcome.has_value();
  };
  if (!this->mutex.AwaitWithTimeout(absl::Condition(&ready),
                                    slow_caller_timeout)) {
    return false;
  }
  if (attempt != this->current_attempt || this->final_outcome) return false;
  if (data == end_of_stream) {
    this->end_mark_received = true;
    return true;
  }
  if (this->end_mark_received) return false;
  const json choice = read_choice(data);
  if (choice.is_null()) return false;
  const int64_t index = choice.value("token_index", this->partial.tokens);
  if (index < this->partial.tokens) return true;
  if (index > this->partial.tokens) return false;
  const std::string text =
      choice.contains("delta") ? choice["delta"].value("content", "") : "";
  if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
    this->stop_reason = choice["finish_reason"].get<std::string>();
  } else {
    this->partial.tokens++;
    this->partial.text += text;
  }
  this->any_received = true;
  if (this->streamed) this->outgoing += sse_event(data);
  return true;
}

bool call::complete(const std::string& attempt) const {
  absl::MutexLock lock(&this->mutex);
  return attempt == this->current_attempt &&
         (!this->event_stream || this->end_mark_received);
}

void call::finish(const outcome& result) {
  absl::MutexLock lock(&this->mutex);
  this->final_outcome = result;
  this->current_attempt.clear();
}

partial_response call::received_so_far() const {
  absl::MutexLock lock(&this->mutex);
  return this->partial;
}

bool call::pending() const {
  return !this->outgoing.empty() || this->final_outcome.has_value();
}

std::optional<outcome> call::wait_for_output() {
  absl::MutexLock lock(&this->mutex);
  this->mutex.Await(absl::Condition(this, &call::pending));
  return this->outgoing.empty() ? this->final_outcome : std::nullopt;
}

std::string call::take(absl::Duration limit, bool& ended) {
  absl::MutexLock lock(&this->mutex);
  this->mutex.AwaitWithTimeout(absl::Condition(this, &call::pending), limit);
  std::string out;
  out.swap(this->outgoing);
  ended = this->final_outcome.has_value();
  return out;
}

std::optional<outcome> call::result() const {
  absl::MutexLock lock(&this->mutex);
  return this->final_outcome;
}

exchange_head call::answer_head() const {
  absl::MutexLock lock(&this->mutex);
  return this->received_head;
}

std::string call::plain_body() const {
  absl::MutexLock lock(&this->mutex);
  return this->plain_content;
}

std::string call::finish_reason() const {
  absl::MutexLock lock(&this->mutex);
  return this->stop_reason;
}

bool call::begun() const {
  absl::MutexLock lock(&this->mutex);
  return this->any_received;
}

}  // namespace spokesail
