#ifndef IBISMUX_ADMISSION_PERMIT_H_
#define IBISMUX_ADMISSION_PERMIT_H_

#include <functional>
#include <utility>

#include "ibismux/admission/request_end.h"
#include "ibismux/base/time.h"

namespace ibismux::admission {

/// Holds the slots of an admitted request while it runs; releases them on
/// destruction, which counts as cancelled unless `finish` was called.
/// Move-only.
class Permit {
 public:
  /// Called once, with how the request ended and when.
  using Release = std::function<void(const RequestEnd&, TimePoint)>;

  explicit Permit(Release release) : release(std::move(release)) {}
  Permit(Permit&& other) noexcept
      : release(std::exchange(other.release, nullptr)) {}
  Permit& operator=(Permit&&) = delete;
  ~Permit() {
    if (this->release) {
      this->release({ErrorKind::kCancelled, {}}, Clock::now());
    }
  }

  /// Releases the slots and reports how the request ended, by which the
  /// adaptive limit is adjusted. Precondition: not called before.
  void finish(const RequestEnd& end, TimePoint now) {
    std::exchange(this->release, nullptr)(end, now);
  }

 private:
  Release release;
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_PERMIT_H_
