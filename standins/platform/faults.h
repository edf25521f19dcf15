#ifndef STANDINS_PLATFORM_FAULTS_H_
#define STANDINS_PLATFORM_FAULTS_H_

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace fake_platform {

/// What goes wrong now; PUT /fake/faults sets the members that its JSON names.
struct Faults {
  bool outage = false;        ///< Every call answers 503.
  bool store_outage = false;  ///< Every call but the host list does.
  bool hang = false;          ///< Every call waits until this is switched off.
  bool hang_writes = false;   ///< The same for writes alone.
  bool fail_reads = false;    ///< Reads and watches answer 503.
  double lose_answers = 0;    ///< Share of writes that are done and then cut.
  double lose_requests = 0;   ///< Share of writes that are cut undone.
  bool silent_watch = false;  ///< Watches never hear of a change.
  bool old_events = false;    ///< Watches repeat what came before `since`.
  std::chrono::milliseconds latency{0};  ///< Half before, half after the work.
  std::chrono::milliseconds latency_spread{0};  ///< Uniform, on top.
  std::chrono::milliseconds host_lag{0};        ///< Of the host list.

  /// Takes over the members that `change` names: outage, store_outage, hang,
  /// hang_writes, fail_reads, lose_answers, lose_requests, silent_watch,
  /// old_events, latency_ms, latency_spread_ms, host_lag_ms.
  /// @return What is wrong with `change`; empty where nothing is. Nothing is
  /// taken over then.
  std::string apply(const boost::json::object& change);

  [[nodiscard]] boost::json::object to_json() const;
};

/// The seeded randomness of the faults.
class Dice {
 public:
  explicit Dice(std::uint64_t seed) : engine(seed) {}
  void seed(std::uint64_t seed) { this->engine.seed(seed); }

  /// True in `share` of the calls.
  [[nodiscard]] bool hit(double share) {
    return std::uniform_real_distribution<double>(0, 1)(this->engine) < share;
  }
  [[nodiscard]] std::chrono::milliseconds up_to(
      std::chrono::milliseconds most) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(
            0, most.count())(this->engine));
  }

 private:
  std::mt19937_64 engine;
};

}  // namespace fake_platform

#endif  // STANDINS_PLATFORM_FAULTS_H_
