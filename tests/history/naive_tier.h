#ifndef TESTS_HISTORY_NAIVE_TIER_H_
#define TESTS_HISTORY_NAIVE_TIER_H_

#include <cstdint>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

namespace ibismux::history {

/// What a naive tier does wrong.
enum class Blunder {
  kNone,
  kResendsLostReservations,  ///< A lost answer is taken for "did not run".
  kForgetsKeys,              ///< A retry under the same key runs again.
  kSaysNotRunOnTimeout,      ///< "Not run" of what the leaf runs.
  kSaysNotRunOfRetry,        ///< "Not run" of a key that ran before.
  kRunsAfterNotRun,          ///< Refuses at the deadline, sends all the same.
  kMixesSnapshots,
  kCountsLateShards,  ///< Coverage names a shard that did not answer.
  kMiscountsTotal,
  kCrossesAnswers,       ///< A hit of another request.
  kCrossesReservations,  ///< A result of another key.
  kKeepsLeavingLeafs,
  kCutsRequests,
  kRevertsConfiguration,
  kSlowConfiguration
};

/// A query tier in a few lines, on made-up time, that records the history of a
/// day's work. Without a blunder it does everything right; with one, it makes
/// that mistake now and then, as a first version of such a tier would.
class NaiveTier {
 public:
  NaiveTier(std::uint64_t seed, Blunder blunder)
      : random(seed), blunder(blunder) {}

  /// The lines of the history.
  [[nodiscard]] std::vector<std::string> record(std::size_t requests);

 private:
  struct Outcome {
    bool ran = false;
    bool lost = false;
    std::string result;
  };

  bool sometimes(Blunder wanted) {
    return this->blunder == wanted && this->random(4) == 0;
  }
  std::int64_t pass(std::int64_t most) {
    return this->now += 1 + static_cast<std::int64_t>(this->random(most));
  }

  void query();
  void reservation(bool keyed);
  void configuration(std::size_t change);
  Outcome reserve_at_leaf(const std::string& key, const std::string& body);
  std::string run(const std::string& kind,
                  const std::string& shard,
                  const std::string& snapshot,
                  const std::string& key,
                  const std::string& body);
  std::string leaf_for(const std::string& shard);
  void answer_reservation(const std::string& key,
                          const std::string& body,
                          std::int64_t sent,
                          const std::string& rest);

  pcg64 random;
  const Blunder blunder;
  std::int64_t now = 1'000'000;
  std::uint64_t sequence = 0;
  std::int64_t left_at = 0;  ///< When leaf-0 began to leave; 0: not yet.
  std::map<std::string, std::string> outcomes;
  std::vector<std::string> lines;
};

}  // namespace ibismux::history

#endif  // TESTS_HISTORY_NAIVE_TIER_H_
