#ifndef IBISMUX_DIRECTORY_LEAF_ENTRY_H_
#define IBISMUX_DIRECTORY_LEAF_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "ibismux/directory/leaf_run.h"

namespace ibismux::directory {

/// The registry entry that one run of a leaf has written.
struct LeafEntry {
  LeafRun run;
  /// Sequence number of the entry within its run; later entries have higher
  /// numbers.
  std::uint64_t sequence = 0;
  std::string service;
  std::string address;  ///< IP address.
  std::uint16_t port = 0;
  std::string zone;
  std::uint32_t slots = 1;  ///< Requests that run at the same time.
  bool draining = false;
  /// Remaining time for which the leaf is slow after its start.
  std::chrono::milliseconds warmup_left{0};

  [[nodiscard]] bool operator==(const LeafEntry&) const = default;

  /// Whether the same leaf wrote this entry before `other`. Entries of a leaf
  /// that doesn't state its start time have no order.
  [[nodiscard]] bool is_older_than(const LeafEntry& other) const noexcept {
    return other.run.is_after(this->run) ||
           (this->run == other.run && this->run.started.count() > 0 &&
            this->sequence < other.sequence);
  }
};

}  // namespace ibismux::directory

#endif  // IBISMUX_DIRECTORY_LEAF_ENTRY_H_
