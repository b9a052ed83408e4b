// Bytes that a node holds for its callers, against what it may hold.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

namespace spokesail {

/// Counts requests and answers that are held in memory. Callers and servers
/// may be slow, so that what is held grows with them, not with the requests.
class byte_budget {
 public:
  /// Holds at most `limit` bytes; 0 for no limit.
  explicit byte_budget(size_t limit) : limit(limit) {}

  void add(size_t bytes) { this->byte_charge += bytes; }
  void remove(size_t bytes) { this->byte_charge -= bytes; }

  size_t held() const { return this->byte_charge; }
  /// Begins an answer that will grow, and ends it. Returns its number.
  uint64_t begin_answer();
  void end_answer(uint64_t answer) { this->answers.erase(answer); }
  /// Whether an answer may grow. The oldest may at any size, since answers that
  /// waited for each other would free no room.
  bool may_grow(uint64_t answer) const;
  /// Whether a further request may be taken. The rest is for the answers to
  /// those that are under way.
  bool accepts_requests() const;

 private:
  size_t limit;
  size_t byte_charge = 0;
  uint64_t last_answer = 0;
  /// Answers that grow, the oldest first.
  std::set<uint64_t> answers;
};

/// Bytes that count in a budget for as long as this lives.
class byte_charge {
 public:
  explicit byte_charge(byte_budget& budget) : budget(budget) {}
  ~byte_charge() { this->set(0); }
  byte_charge(const byte_charge&) = delete;
  byte_charge& operator=(const byte_charge&) = delete;

  /// Counts so many bytes in place of those before.
  void set(size_t bytes);

 private:
  byte_budget& budget;
  size_t counted = 0;
};

/// Bytes of an answer that grows while it is read.
class answer_charge {
 public:
  explicit answer_charge(byte_budget& budget)
      : budget(budget), bytes(budget), number(budget.begin_answer()) {}
  ~answer_charge() { this->budget.end_answer(this->number); }
  answer_charge(const answer_charge&) = delete;
  answer_charge& operator=(const answer_charge&) = delete;

  void set(size_t size) { this->bytes.set(size); }
  bool may_grow() const { return this->budget.may_grow(this->number); }

 private:
  byte_budget& budget;
  byte_charge bytes;
  uint64_t number;
};

}  // namespace spokesail
