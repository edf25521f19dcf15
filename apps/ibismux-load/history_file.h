#ifndef APPS_IBISMUX_LOAD_HISTORY_FILE_H_
#define APPS_IBISMUX_LOAD_HISTORY_FILE_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

#include "ibismux/base/time.h"

namespace ibismux::load {

/// Microseconds of the host's monotonic clock.
[[nodiscard]] std::int64_t to_micros(TimePoint time);

/// Records in the form of docs/HISTORY.md. Thread safe.
class HistoryFile {
 public:
  /// @param path Empty: nothing is recorded.
  explicit HistoryFile(const std::string& path);
  ~HistoryFile();

  [[nodiscard]] bool enabled() const noexcept { return this->is_enabled; }
  void add(const boost::json::object& record);

 private:
  void write();

  bool is_enabled;
  std::mutex mutex;
  std::string pending;
  std::ofstream file;
};

}  // namespace ibismux::load

#endif  // APPS_IBISMUX_LOAD_HISTORY_FILE_H_
