#ifndef STANDINS_PLATFORM_STATS_H_
#define STANDINS_PLATFORM_STATS_H_

#include <algorithm>
#include <array>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <string>

namespace fake_platform {

using Clock = std::chrono::steady_clock;

enum class Kind : unsigned char { kRead, kWrite, kWatch };

/// Counts calls, and caps them by the second. Not thread safe.
///
/// A watch counts as a read when it comes, and again in each second that it
/// waits through: the stricter way to take "a waiting watch counts as one".
class Stats {
 public:
  /// Caps of one second; 0 is no cap.
  Stats(std::uint64_t reads_per_second, std::uint64_t writes_per_second) {
    this->reads.most = reads_per_second;
    this->writes.most = writes_per_second;
  }

  /// Counts one call towards its second's cap.
  /// @return False where the cap is reached: answer 429.
  [[nodiscard]] bool admit(Kind kind, Clock::time_point now) {
    const bool write = kind == Kind::kWrite;
    Window& window = write ? this->writes : this->reads;
    const auto second =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
    if (window.second != second) {
      window.second = second;
      window.count = write ? 0 : this->waiting;
    }
    if (window.most > 0 && window.count >= window.most) {
      return false;
    }
    window.peak = std::max(window.peak, ++window.count);
    return true;
  }

  /// Counts an answer by its status; 0 is a connection that was cut.
  void answered(Kind kind, int status) {
    constexpr const char* kNames[] = {"read", "write", "watch"};
    boost::json::value& row =
        this->calls[kNames[static_cast<std::size_t>(kind)]];
    boost::json::object& counts =
        row.is_object() ? row.get_object() : row.emplace_object();
    boost::json::value& count = counts[std::to_string(status)];
    count = count.is_null() ? 1 : count.get_int64() + 1;
  }

  void watch_begins() { ++this->waiting; }
  void watch_ends() { --this->waiting; }

  [[nodiscard]] boost::json::object to_json() const {
    return {{"calls", this->calls},
            {"peak_per_second",
             {{"read", this->reads.peak}, {"write", this->writes.peak}}},
            {"waiting_watches", this->waiting}};
  }

 private:
  struct Window {
    std::chrono::seconds second{-1};
    std::uint64_t most = 0;
    std::uint64_t count = 0;
    std::uint64_t peak = 0;
  };

  std::uint64_t waiting = 0;
  Window reads;
  Window writes;
  boost::json::object calls;  ///< By kind, then by status.
};

}  // namespace fake_platform

#endif  // STANDINS_PLATFORM_STATS_H_
