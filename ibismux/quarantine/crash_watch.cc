#include "ibismux/quarantine/crash_watch.h"

#include <utility>

#include "ibismux/quarantine/quarantine_table.h"

namespace ibismux::quarantine {

CrashWatch::CrashWatch(QuarantineTable& table,
                       RequestDigest digest,
                       Clock clock)
    : table(table), digest(digest), clock(std::move(clock)) {}

QuarantineState CrashWatch::state() const {
  // Avoids reading the clock in the usual case that the table is empty.
  return this->table.size() == 0
             ? QuarantineState::kClear
             : this->table.state(this->digest, this->clock());
}

std::chrono::milliseconds CrashWatch::remaining_quarantine() const {
  return this->table.held_until(this->digest) - this->clock();
}

bool CrashWatch::may_send() const {
  if (this->answered) {
    return true;
  }
  const QuarantineState state = this->state();
  return (state == QuarantineState::kClear &&
          this->in_flight < this->first_calls) ||
         (state == QuarantineState::kSuspect && this->in_flight == 0);
}

bool CrashWatch::was_answered_lately() const {
  return this->table.was_answered(this->digest);
}

bool CrashWatch::is_quarantined() const {
  return !this->answered && this->state() == QuarantineState::kQuarantined;
}

bool CrashWatch::on_end(CallEnd end, const std::string& leaf_run) {
  --this->in_flight;
  bool changed = false;
  if (end == CallEnd::kAnswered && !std::exchange(this->answered, true)) {
    changed = this->table.on_answer(this->digest);
  } else if (end == CallEnd::kLeafEnded && !this->answered &&
             !std::exchange(this->crash_counted, true)) {
    this->table.on_crash(this->digest, leaf_run, this->clock());
    changed = true;
  }
  if (this->in_flight == 0) {
    this->crash_counted = false;
  }
  return changed;
}

}  // namespace ibismux::quarantine
