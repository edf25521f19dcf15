#ifndef IBISMUX_ADMISSION_ADMISSION_H_
#define IBISMUX_ADMISSION_ADMISSION_H_

#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "ibismux/admission/permit.h"
#include "ibismux/base/error.h"
#include "ibismux/base/priority.h"
#include "ibismux/base/rcu_cell.h"
#include "ibismux/base/time.h"
#include "ibismux/membership/forward.h"
#include "ibismux/release/forward.h"

namespace ibismux::admission {

/// Decides whether a request is admitted. The concurrency slots are taken
/// first; then every rate rule is checked; then the request is recorded in all
/// of them with the same timestamp.
///
/// Thread safe.
class Admission {
 public:
  /// All references must outlive the object.
  Admission(const RcuCell<release::Release>& releases,
            const RcuCell<membership::MembershipView>& members,
            prometheus::Registry& metrics);
  ~Admission();

  /// Admits a request of `caller` to `service`, or refuses it without waiting.
  /// Errors: kRateLimited, kOverloaded and kNotReady, all kNotRun and with
  /// `retry_after`; kNotFound.
  [[nodiscard]] Result<Permit> admit(const std::string& service,
                                     const std::string& caller,
                                     TimePoint now);

 private:
  friend class Permit;
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_ADMISSION_H_
