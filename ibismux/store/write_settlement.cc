#include "ibismux/store/write_settlement.h"

#include <utility>

namespace ibismux::store {

WriteSettlement::Step WriteSettlement::after_write(
    const Result<Version>& written) {
  if (written) {
    return this->finish(written);
  }
  this->last_error = written.error();
  if (written.error().execution == Execution::kUnknown) {
    this->doubtful = true;
  }
  if (!this->doubtful) {
    return this->finish(written);
  }
  // A conflict, too: it may be with this write's own first attempt.
  return Step::kReadBack;
}

WriteSettlement::Step WriteSettlement::after_read(const Result<Version>& found,
                                                  Trace trace) {
  if (!found) {
    this->last_error = found.error();
    return Step::kWriteAgain;
  }
  if (trace == Trace::kPresent) {
    return this->finish(*found);
  }
  if (*found == this->expected) {
    return Step::kWriteAgain;
  }
  // The version has moved on, so that no attempt can take effect from here.
  if (trace == Trace::kAbsent) {
    return this->finish(tl::unexpected(
        Error{ErrorKind::kConflict, "version is " + std::to_string(*found),
              Execution::kNotRun}));
  }
  return this->finish(
      fail(ErrorKind::kOutcomeUnknown, "the object can't tell any more"));
}

Error WriteSettlement::unsettled() const {
  return make_error(
      ErrorKind::kOutcomeUnknown,
      "time is up; last: " + (this->last_error ? this->last_error->message
                                               : std::string("nothing")));
}

WriteSettlement::Step WriteSettlement::finish(Result<Version> result) {
  this->settled = std::move(result);
  return Step::kDone;
}

}  // namespace ibismux::store
