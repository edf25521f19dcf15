#ifndef IBISMUX_RELEASE_PUBLISHER_METRICS_H_
#define IBISMUX_RELEASE_PUBLISHER_METRICS_H_

#include <array>
#include <cstddef>

namespace prometheus {
class Counter;
class Gauge;
class Registry;
}  // namespace prometheus

namespace ibismux::release {

/// How an attempt to advance the head ended.
enum class PublishOutcome : unsigned char {
  kLanded,
  kConflict,    ///< Another publisher was first.
  kAnswerLost,  ///< Settled by reading the head back.
  kNotWritten,  ///< The platform refused or was away.
};

inline constexpr std::size_t kPublishOutcomes = 4;

/// The publisher's metrics, made once. Thread safe.
class PublisherMetrics {
 public:
  /// @param registry Outlives this.
  explicit PublisherMetrics(prometheus::Registry& registry);

  void attempted(PublishOutcome outcome) noexcept;
  void accepted(std::size_t changes) noexcept;
  /// How many objects have a newest version that is not in force.
  void rejections(std::size_t count) noexcept;
  void collected_garbage() noexcept;

 private:
  std::array<prometheus::Counter*, kPublishOutcomes> attempts{};
  prometheus::Counter* changes;
  prometheus::Counter* garbage;
  prometheus::Gauge* rejected;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_PUBLISHER_METRICS_H_
