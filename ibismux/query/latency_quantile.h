#ifndef IBISMUX_QUERY_LATENCY_QUANTILE_H_
#define IBISMUX_QUERY_LATENCY_QUANTILE_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "ibismux/base/time.h"

namespace ibismux::query {

/// Estimates quantiles of recent latencies. The weight of all samples is halved
/// after every `kSamplesPerHalving` new ones.
///
/// Not thread safe.
class LatencyQuantile {
 public:
  /// Number of samples below which no quantile is given.
  static constexpr std::uint32_t kMinSamples = 30;
  static constexpr std::uint32_t kSamplesPerHalving = 8192;

  LatencyQuantile();
  ~LatencyQuantile();

  void record(Duration latency);

  /// @param quantile 0 to 1.
  /// @return Absent until there are enough samples.
  [[nodiscard]] std::optional<Duration> at(double quantile) const;

 private:
  struct Histogram;
  std::unique_ptr<Histogram> histogram;
  std::uint32_t samples = 0;
  std::uint32_t samples_since_halving = 0;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_LATENCY_QUANTILE_H_
