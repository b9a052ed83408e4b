// Bounds the memory that a node holds for its callers.
#include "spokesail/byte-budget.h"

namespace spokesail {
namespace {

/// Fraction of the budget up to which new requests are accepted.
constexpr double new_request_fraction = 0.6;

}  // namespace

uint64_t byte_budget::begin_answer() {
  this->answers.insert(++this->last_answer);
  return this->last_answer;
}

bool byte_budget::may_grow(uint64_t answer) const {
  const bool oldest =
      !this->answers.empty() && *this->answers.begin() == answer;
  return this->limit == 0 || this->used_bytes < this->limit || oldest;
}

bool byte_budget::may_hold(uint64_t answer, size_t now, size_t wanted) const {
  const bool oldest =
      !this->answers.empty() && *this->answers.begin() == answer;
  const bool fits = this->used_bytes - now + wanted <= this->limit;
  return this->limit == 0 || now <= min_answer_bytes || fits || oldest;
}

bool byte_budget::accepts_requests() const {
  const auto bound = new_request_fraction * static_cast<double>(this->limit);
  return this->limit == 0 || static_cast<double>(this->used_bytes) < bound;
}

void byte_charge::set(size_t bytes) {
  this->budget.add(bytes);
  this->budget.remove(this->counted);
  this->counted = bytes;
}

}  // namespace spokesail
