#ifndef STANDINS_LEAF_HISTORY_H_
#define STANDINS_LEAF_HISTORY_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

namespace fake_leaf {

using Clock = std::chrono::steady_clock;

/// Microseconds of CLOCK_MONOTONIC, which all processes of a host share.
[[nodiscard]] std::int64_t to_micros(Clock::time_point time);

/// Writes lines to a history file, gathered into large writes. Thread safe.
class History {
 public:
  /// @param path Empty: nothing is recorded.
  explicit History(const std::string& path);
  ~History();

  [[nodiscard]] bool enabled() const noexcept { return this->is_enabled; }
  void add(std::string_view line);
  void flush();

 private:
  bool is_enabled;
  std::mutex mutex;
  std::string pending;
  std::ofstream file;
};

}  // namespace fake_leaf

#endif  // STANDINS_LEAF_HISTORY_H_
