#ifndef IBISMUX_STORE_PLATFORM_HEALTH_H_
#define IBISMUX_STORE_PLATFORM_HEALTH_H_

#include <cstddef>
#include <string_view>

#include "ibismux/base/time.h"

namespace ibismux::store {

enum class PlatformState : unsigned char {
  kUp,
  kFailing,  ///< Some calls failed, and none has succeeded since.
  kDown,     ///< So many failed that only a probe now and then is sent.
};

[[nodiscard]] constexpr std::string_view to_string(
    PlatformState state) noexcept {
  constexpr std::string_view kNames[] = {"up", "failing", "down"};
  return kNames[static_cast<std::size_t>(state)];
}

/// When the platform is held to be down, and how often it is tried then.
struct HealthSettings {
  std::size_t failures_to_down = 3;
  std::chrono::milliseconds first_backoff{100};
  std::chrono::milliseconds longest_backoff{2000};
  /// A call that was given less time than this and got no answer says nothing
  /// about the platform: its caller was in a hurry.
  std::chrono::milliseconds slow_after{500};
};

/// What the last calls say about the platform, and whether to send one more.
///
/// Without it, in an outage every caller would wait out its own timeout and the
/// platform would meet the whole fleet's calls the moment it comes back. While
/// it is down, calls are refused at once and one probe is let through each
/// back-off time; the first success ends the outage.
///
/// Not thread safe. The times given never go back.
class PlatformHealth {
 public:
  explicit PlatformHealth(HealthSettings settings) noexcept;

  /// Whether a call may be sent now; in an outage, true makes it the probe.
  /// @param jitter In [0, 1): spreads the probes of the fleet.
  [[nodiscard]] bool admit(TimePoint now, double jitter) noexcept;

  /// A call was answered, with whatever status but an outage's.
  void succeeded() noexcept;

  /// A call was not answered, or with an outage's status.
  /// @param jitter In [0, 1), as in `admit()`.
  void failed(TimePoint now, double jitter) noexcept;

  [[nodiscard]] PlatformState state() const noexcept;

  /// How long until the next probe; zero where a call may be sent now.
  [[nodiscard]] Duration retry_after(TimePoint now) const noexcept;

 private:
  void schedule_probe(TimePoint now, double jitter) noexcept;

  HealthSettings settings;
  std::size_t failures = 0;
  std::chrono::milliseconds backoff;
  TimePoint next_probe;
};

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_PLATFORM_HEALTH_H_
