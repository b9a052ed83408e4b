// Learns the error of predicted first-event times.
#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <deque>

namespace spokesail {

/// Learns by how much first events come later than predicted. Uses the median
/// of the latest samples, so that a few stalled groups do not affect it.
class prediction_error {
 public:
  /// Maximum number and age of the samples.
  static constexpr size_t max_samples = 31;
  static constexpr absl::Duration max_sample_age = absl::Seconds(10);
  /// With fewer samples the error is unknown.
  static constexpr size_t min_samples = 5;

  /// Records a first event; times in ms.
  void add_sample(double predicted_ms, double actual_ms, absl::Time now);

  /// The expected error of a prediction, in ms; 0 if there are too few recent
  /// samples.
  double expected_ms(absl::Time now) const;

 private:
  struct sample {
    absl::Time at;
    double error_ms = 0;
  };
  std::deque<sample> samples;
};

}  // namespace spokesail
