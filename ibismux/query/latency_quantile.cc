#include "ibismux/query/latency_quantile.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <vector>

namespace ibismux::query {

namespace {

namespace histograms = boost::histogram;
using LogAxis =
    histograms::axis::regular<double, histograms::axis::transform::log>;

/// Logarithmic bins, each about 6% wide, from 0.05 ms to one minute.
constexpr double kLowestMs = 0.05;
constexpr double kHighestMs = 60'000;
constexpr unsigned kBins = 240;

}  // namespace

struct LatencyQuantile::Histogram {
  decltype(histograms::make_histogram_with(
      std::vector<double>(),
      LogAxis(kBins, kLowestMs, kHighestMs))) bins =
      histograms::make_histogram_with(std::vector<double>(),
                                      LogAxis(kBins, kLowestMs, kHighestMs));
};

LatencyQuantile::LatencyQuantile() : histogram(std::make_unique<Histogram>()) {}
LatencyQuantile::~LatencyQuantile() = default;

void LatencyQuantile::record(Duration latency) {
  const double ms = std::chrono::duration<double, std::milli>(latency).count();
  this->histogram->bins(std::clamp(ms, kLowestMs, kHighestMs * 0.99));
  this->samples = std::min(this->samples + 1, kMinSamples);
  if (++this->samples_since_halving == kSamplesPerHalving) {
    this->samples_since_halving = 0;
    this->histogram->bins *= 0.5;
  }
}

std::optional<Duration> LatencyQuantile::at(double quantile) const {
  if (this->samples < kMinSamples) {
    return std::nullopt;
  }
  double total = 0;
  for (const double weight : this->histogram->bins) {
    total += weight;
  }
  double below = 0;
  const auto& axis = this->histogram->bins.axis();
  for (int i = 0; i < axis.size(); ++i) {
    below += this->histogram->bins.at(i);
    if (below >= quantile * total) {
      return std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(axis.value(i + 1)));
    }
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(kHighestMs));
}

}  // namespace ibismux::query
