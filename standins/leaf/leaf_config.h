#ifndef STANDINS_LEAF_LEAF_CONFIG_H_
#define STANDINS_LEAF_LEAF_CONFIG_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

namespace fake_leaf {

/// Sizes and faults of one leaf. Times are in milliseconds, shares 0 to 1.
struct LeafConfig {
  double slots = 2;         ///< Calls that run at once.
  double queue = 64;        ///< Calls that wait; one more is refused with 429.
  double connections = 25;  ///< One more is closed at once.
  double connect_ms = 0;    ///< Before the first request of a connection.
  double delay_ms = 0;      ///< Network delay, each way.

  double service_ms = 5;  ///< Mean.
  double sigma = 0.5;     ///< Of the lognormal distribution.
  double straggle_share = 0;
  double straggle_factor = 20;
  double cold_ms = 0;  ///< How long a cold start lasts.
  double cold_factor = 10;

  double shed_share = 0;  ///< Refused with 429 although there is room.
  double late_share = 0;  ///< Answered `late_ms` after the deadline.
  double late_ms = 20;
  double duplicate_share = 0;   ///< Answered twice.
  double wrong_echo_share = 0;  ///< Answered with another call's id.
  double truncate_share = 0;    ///< Half an answer, then closed.
  double die_share = 0;         ///< Executed, then closed with no answer.

  double health_lag_ms = 0;
  double health_load = -1;  ///< Reported instead of the real one, if >= 0.
  double hits = 3;

  std::string distribution = "fixed";  ///< fixed, exponential or lognormal.
  /// ready; draining (503 and X-Leaving); leaving (X-Leaving alone); warming
  /// (503); down (closes every connection).
  std::string state = "ready";
  std::string health_state;  ///< Reported instead of the real one, if given.

  bool ignore_cancel = false;
  bool ignore_deadline = false;

  /// Those held; empty means all.
  std::vector<std::string> snapshots;

  /// Takes over the members that `change` names.
  /// @return What is wrong, where something is; then nothing is changed.
  [[nodiscard]] std::optional<std::string> merge(
      const boost::json::object& change);

 private:
  [[nodiscard]] std::optional<std::string> set(std::string_view key,
                                               const boost::json::value& value);
};

}  // namespace fake_leaf

#endif  // STANDINS_LEAF_LEAF_CONFIG_H_
