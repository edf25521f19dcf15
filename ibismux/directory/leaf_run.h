#ifndef IBISMUX_DIRECTORY_LEAF_RUN_H_
#define IBISMUX_DIRECTORY_LEAF_RUN_H_

#include <chrono>
#include <string>
#include <tuple>

namespace ibismux::directory {

/// Names one run of a leaf's process. A leaf that starts again may keep its id;
/// it then holds nothing of what it had: no connection, no call, no queue, and
/// nothing that was measured of it holds any more.
struct LeafRun {
  std::string id;
  /// When the process started, since the Unix epoch by the leaf's own clock; 0
  /// where the leaf doesn't say. Then the id alone names the run.
  std::chrono::milliseconds started{0};

  [[nodiscard]] bool operator==(const LeafRun&) const = default;
  /// An order for maps; it says nothing of which run is later.
  [[nodiscard]] bool operator<(const LeafRun& other) const noexcept {
    return std::tie(this->id, this->started) <
           std::tie(other.id, other.started);
  }

  /// Whether both are runs of one leaf, and this one is the later one.
  [[nodiscard]] bool is_after(const LeafRun& other) const noexcept {
    return this->id == other.id && other.started.count() > 0 &&
           this->started > other.started;
  }
};

/// `ID@STARTED`, for logs and records. Thread safe.
[[nodiscard]] inline std::string to_string(const LeafRun& run) {
  return run.id + '@' + std::to_string(run.started.count());
}

}  // namespace ibismux::directory

#endif  // IBISMUX_DIRECTORY_LEAF_RUN_H_
