// How far first events come after what the engine's figures predict.
#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <deque>

namespace spokesail {

/// Learns what first events take beyond their prediction. The median of the
/// last ones counts, so that a few groups that stand still do not move it.
class prediction_error {
 public:
  /// First events that are remembered, and for how long.
  static constexpr size_t max_samples = 31;
  static constexpr absl::Duration memory = absl::Seconds(10);
  /// Below so many it is not known.
  static constexpr size_t min_samples = 5;

  /// Takes note of a first event, its times in ms.
  void add_sample(double predicted_ms, double taken_ms, absl::Time now);

  /// What a first event takes beyond its prediction, in ms; 0 if too few have
  /// been seen of late.
  double expected_ms(absl::Time now) const;

 private:
  struct sample {
    absl::Time at;
    double error_ms = 0;
  };
  std::deque<sample> samples;
};

}  // namespace spokesail
