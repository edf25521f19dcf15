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

/// Decides whether a request is admitted. A slot is taken first, then
/// every rate rule is checked, then all are recorded with one time.
///
/// Thread safe.
class Admission {
 public:
  /// All references outlive the object.
  Admission(const RcuCell<release::Release>& releases,
            const RcuCell<membership::MembershipView>& members,
            prometheus::Registry& metrics);
  ~Admission();

  /// Lets a request of `caller` to `service` in, or refuses at once:
  /// kRateLimited or kOverloaded, both kNotRun and with `retry_after`, or
  /// kNotFound, kNotReady.
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
