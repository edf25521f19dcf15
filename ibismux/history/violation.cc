#include "ibismux/history/violation.h"

#include <array>

namespace ibismux::history {

std::string_view name_of(ViolationKind kind) noexcept {
  constexpr std::array<std::string_view, kViolationKinds> kNames = {
      "mixed_snapshot",   "false_coverage",      "foreign_part",
      "false_not_run",    "double_execution",    "work_after_leaving",
      "cut_request",      "reverted_generation", "late_in_force",
      "unreadable_record"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::string to_string(const Violation& violation) {
  return std::string(name_of(violation.kind)) + " " + violation.request + ": " +
         violation.evidence;
}

}  // namespace ibismux::history
