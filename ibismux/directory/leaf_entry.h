#ifndef IBISMUX_DIRECTORY_LEAF_ENTRY_H_
#define IBISMUX_DIRECTORY_LEAF_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "ibismux/directory/leaf_run.h"

namespace ibismux::directory {

/// What one run of a leaf says of itself.
struct LeafEntry {
  LeafRun run;
  /// Counts what this run has written; later entries have higher numbers.
  std::uint64_t sequence = 0;
  std::string service;
  std::string address;  ///< IP number.
  std::uint16_t port = 0;
  std::string zone;
  std::uint32_t slots = 1;  ///< Requests that it works on at once.
  bool draining = false;
  /// How much longer the leaf is slow after its start.
  std::chrono::milliseconds warmup_left{0};

  [[nodiscard]] bool operator==(const LeafEntry&) const = default;

  /// Whether this one was written before `other`, by the same leaf. Entries of
  /// a leaf that doesn't say when it started have no order.
  [[nodiscard]] bool is_older_than(const LeafEntry& other) const noexcept {
    return other.run.is_after(this->run) ||
           (this->run == other.run && this->run.started.count() > 0 &&
            this->sequence < other.sequence);
  }
};

}  // namespace ibismux::directory

#endif  // IBISMUX_DIRECTORY_LEAF_ENTRY_H_
