#ifndef IBISMUX_QUERY_LATENCY_QUANTILE_H_
#define IBISMUX_QUERY_LATENCY_QUANTILE_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "ibismux/base/time.h"

namespace ibismux::query {

/// A quantile of the recent latencies. Older ones lose half of their
/// weight each time that `kSamplesPerHalving` new ones have come.
///
/// Not thread safe.
class LatencyQuantile {
 public:
  /// Until so many samples are in there is no quantile.
  static constexpr std::uint32_t kFewestSamples = 30;
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
  std::uint32_t since_halving = 0;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_LATENCY_QUANTILE_H_
