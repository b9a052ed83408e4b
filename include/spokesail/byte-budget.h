// Accounts for the memory that a node holds for its callers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

namespace spokesail {

/// Counts the bytes of requests and answers held in memory. Callers and servers
/// may be slow, so this memory grows with their slowness and not with the
/// number of requests.
class byte_budget {
 public:
  /// Holds at most `limit` bytes; 0 for no limit. What it holds counts in
  /// `whole` too, if there is one.
  explicit byte_budget(size_t limit, byte_budget* whole = nullptr)
      : limit(limit), whole(whole) {}

  void add(size_t bytes) {
    this->used_bytes += bytes;
    if (this->whole != nullptr) this->whole->add(bytes);
  }
  void remove(size_t bytes) {
    this->used_bytes -= bytes;
    if (this->whole != nullptr) this->whole->remove(bytes);
  }

  size_t held() const { return this->used_bytes; }
  /// Registers an answer that will grow, and removes it. Returns its number.
  uint64_t begin_answer();
  void end_answer(uint64_t answer) { this->answers.erase(answer); }
  /// Whether an answer may grow. The oldest always may, since answers that wait
  /// for each other would never free memory.
  bool may_grow(uint64_t answer) const;
  /// Whether an answer that holds `now` bytes may hold `wanted`, without
  /// exceeding the limit. The oldest always may, and so may small ones.
  bool may_hold(uint64_t answer, size_t now, size_t wanted) const;
  /// Bytes that any answer may hold, so that small ones are read although large
  /// ones have used up the budget.
  static constexpr size_t min_answer_bytes = 16 << 10;
  /// Whether a new request may be accepted. The rest of the budget is reserved
  /// for the answers to running requests.
  bool accepts_requests() const;

 private:
  size_t limit;
  byte_budget* whole;
  size_t used_bytes = 0;
  uint64_t last_answer = 0;
  /// Numbers of growing answers, the oldest first.
  std::set<uint64_t> answers;
};

/// Counts bytes in a budget for as long as it lives.
class byte_charge {
 public:
  explicit byte_charge(byte_budget& budget) : budget(budget) {}
  ~byte_charge() { this->set(0); }
  byte_charge(const byte_charge&) = delete;
  byte_charge& operator=(const byte_charge&) = delete;

  /// Replaces the number of bytes counted.
  void set(size_t bytes);
  size_t size() const { return this->counted; }

 private:
  byte_budget& budget;
  size_t counted = 0;
};

/// Counts the bytes of an answer that grows while it is read.
class answer_charge {
 public:
  explicit answer_charge(byte_budget& budget)
      : budget(budget), bytes(budget), number(budget.begin_answer()) {}
  ~answer_charge() { this->budget.end_answer(this->number); }
  answer_charge(const answer_charge&) = delete;
  answer_charge& operator=(const answer_charge&) = delete;

  void set(size_t size) { this->bytes.set(size); }
  bool may_grow() const { return this->budget.may_grow(this->number); }
  /// Whether it may hold so many bytes; if not, its reader has to wait.
  bool may_hold(size_t size) const {
    return this->budget.may_hold(this->number, this->bytes.size(), size);
  }
  /// Counts the bytes of an answer that cannot wait for memory. Returns whether
  /// it may hold them; otherwise its reader has to give it up.
  bool try_hold(size_t size) {
    this->set(size);
    return size <= byte_budget::min_answer_bytes || this->may_grow();
  }

 private:
  byte_budget& budget;
  byte_charge bytes;
  uint64_t number;
};

}  // namespace spokesail
