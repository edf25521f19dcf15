#ifndef APPS_IBISMUX_LOAD_RECORDER_H_
#define APPS_IBISMUX_LOAD_RECORDER_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "apps/ibismux-load/answer_check.h"
#include "ibismux/base/time.h"

namespace ibismux::load {

/// Latencies in milliseconds, in bins 1 % wide from 0.05 ms to a minute.
class LatencyHistogram {
 public:
  LatencyHistogram();
  void add(Duration latency);
  void merge(const LatencyHistogram& other);
  /// Upper edge, in milliseconds, of the bin that holds `share` of all.
  [[nodiscard]] double quantile(double share) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Counts = decltype(boost::histogram::make_histogram_with(
      std::vector<std::uint32_t>(),
      std::declval<Axis>()));
  Counts counts;
};

/// What became of the requests of one group in one second.
struct Tally {
  std::uint64_t sent = 0;
  std::uint64_t ok = 0;
  std::uint64_t cut = 0;      ///< No answer at all.
  std::uint64_t foreign = 0;  ///< Parts of something else in the answer.
  std::uint64_t shards = 0;
  std::uint64_t contributed = 0;
  std::uint64_t full = 0;  ///< Answers with every shard.
  std::uint64_t leaf_calls = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t restarts = 0;
  std::uint64_t attempts = 0;  ///< Of reservations, with clients' retries.
  std::uint64_t repeats = 0;   ///< Reservations answered from a record.
  std::uint64_t no_retry_after = 0;  ///< Refusals `overloaded` without it.
  std::map<std::string, std::uint64_t> refused;  ///< By kind.
  LatencyHistogram latency;                      ///< Of good answers.
  LatencyHistogram refusal_latency;

  void add(const AnswerFacts& facts, Duration latency);
  void merge(const Tally& other);
};

/// The tallies of one worker, second by second of the intended send time.
class Recorder {
 public:
  [[nodiscard]] Tally& at(const std::string& group, Duration sent);
  void merge(const Recorder& other);

  std::map<std::string, std::vector<Tally>> groups;
  Duration worst_lag{0};  ///< By how much a request left late.
};

}  // namespace ibismux::load

#endif  // APPS_IBISMUX_LOAD_RECORDER_H_
