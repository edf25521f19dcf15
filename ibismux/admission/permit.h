#ifndef IBISMUX_ADMISSION_PERMIT_H_
#define IBISMUX_ADMISSION_PERMIT_H_

#include <functional>
#include <utility>

#include "ibismux/admission/request_end.h"
#include "ibismux/base/time.h"

namespace ibismux::admission {

/// A slot held while a request runs; given back on destruction. Move-only.
class Permit {
 public:
  /// How a request ended, and when.
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

  /// Gives the slot back and tells the limiter how the request went, from which
  /// it learns how much the service can carry. Precondition: not called yet.
  void finish(const RequestEnd& end, TimePoint now) {
    std::exchange(this->release, nullptr)(end, now);
  }

 private:
  Release release;
};

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_PERMIT_H_
