// The learned error of predicted first-event times.
#include "spokesail/prediction-error.h"

#include <algorithm>
#include <vector>

namespace spokesail {

void prediction_error::add_sample(double predicted_ms, double actual_ms,
                                  absl::Time now) {
  this->samples.push_back({now, actual_ms - predicted_ms});
  if (this->samples.size() > max_samples) this->samples.pop_front();
}

double prediction_error::expected_ms(absl::Time now) const {
  std::vector<double> errors;
  for (const auto& sample : this->samples) {
    if (now - sample.at <= max_sample_age) errors.push_back(sample.error_ms);
  }
  if (errors.size() < min_samples) return 0;
  const auto middle =
      errors.begin() + static_cast<ptrdiff_t>(errors.size() / 2);
  std::nth_element(errors.begin(), middle, errors.end());
  return *middle;
}

}  // namespace spokesail
