#ifndef IBISMUX_DIRECTORY_LEAF_RUN_H_
#define IBISMUX_DIRECTORY_LEAF_RUN_H_

#include <chrono>
#include <string>
#include <tuple>

namespace ibismux::directory {

/// Identifies one run of a leaf's process. A leaf may keep its id across a
/// restart, but none of its state: connections, calls and queues are lost, and
/// earlier measurements of it no longer apply.
struct LeafRun {
  std::string id;
  /// Start time of the process since the Unix epoch, by the leaf's own clock; 0
  /// if the leaf doesn't state it. In that case the id alone identifies the
  /// run.
  std::chrono::milliseconds started{0};

  [[nodiscard]] bool operator==(const LeafRun&) const = default;
  /// An order for maps; it doesn't tell which run is later.
  [[nodiscard]] bool operator<(const LeafRun& other) const noexcept {
    return std::tie(this->id, this->started) <
           std::tie(other.id, other.started);
  }

  /// Whether both are runs of the same leaf and this one started later. False
  /// if `other` doesn't state its start time.
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
