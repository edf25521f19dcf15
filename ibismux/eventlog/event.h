#ifndef IBISMUX_EVENTLOG_EVENT_H_
#define IBISMUX_EVENTLOG_EVENT_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "ibismux/base/time.h"

namespace ibismux::eventlog {

class EventLog;

/// What a line is about; each weight has an allowance of its own, so that a
/// flood of ordinary lines can't push out those that explain a failure.
enum class Weight : unsigned char {
  kOrdinary,  ///< A request that went well.
  kFailure,   ///< A request that was refused, failed, was late or incomplete.
  kBelief,    ///< What the process holds to be true has changed.
};

inline constexpr std::size_t kWeights = 3;

/// One line of the log in the making; see `EventLog`. Not thread safe.
class Event {
 public:
  /// @param log Null for a line that isn't written.
  Event(EventLog* log, std::string line) noexcept
      : log(log), line(std::move(line)) {}
  ~Event();
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  /// Whether the line will be written; a caller may spare itself what it costs
  /// to gather the values.
  [[nodiscard]] bool enabled() const noexcept { return this->log != nullptr; }

  /// @name Values. Precondition: `key` needs no escaping.
  /// @{
  Event& with(std::string_view key, std::string_view text);
  Event& with(std::string_view key, const char* text) {
    return this->with(key, std::string_view(text));
  }
  Event& with(std::string_view key, bool flag);
  Event& with(std::string_view key, double number);
  template <std::integral T>
  requires(!std::same_as<T, bool>) Event& with(std::string_view key, T number) {
    return this->number(key, static_cast<std::int64_t>(number));
  }
  /// As milliseconds, with a fraction.
  Event& with(std::string_view key, Duration duration);
  /// @}

 private:
  void begin(std::string_view key);
  Event& number(std::string_view key, std::int64_t number);

  EventLog* log;
  std::string line;
};

}  // namespace ibismux::eventlog

#endif  // IBISMUX_EVENTLOG_EVENT_H_
