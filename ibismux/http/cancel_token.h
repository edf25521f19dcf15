#ifndef IBISMUX_HTTP_CANCEL_TOKEN_H_
#define IBISMUX_HTTP_CANCEL_TOKEN_H_

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "ibismux/http/cancel_reason.h"

namespace ibismux::http {

/// Tells a request's handler to end, as its client is gone or waits for an
/// answer that must be given now.
///
/// Belongs to one event loop; not thread safe.
class CancelToken {
 public:
  [[nodiscard]] bool cancelled() const noexcept {
    return this->given_reason.has_value();
  }

  /// The first reason given; nothing before.
  [[nodiscard]] std::optional<CancelReason> reason() const noexcept {
    return this->given_reason;
  }

  /// `callback` runs once, on the loop, when the token is cancelled; at once if
  /// it is already. A later call replaces the callback.
  void on_cancel(std::function<void(CancelReason)> callback) {
    if (this->given_reason) {
      callback(*this->given_reason);
      return;
    }
    this->callback = std::move(callback);
  }

  /// Called by the server.
  void cancel(CancelReason reason = CancelReason::kClientGone) {
    if (this->cancelled()) {
      return;
    }
    this->given_reason = reason;
    if (this->callback) {
      std::exchange(this->callback, nullptr)(reason);
    }
  }

 private:
  std::optional<CancelReason> given_reason;
  std::function<void(CancelReason)> callback;
};

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_CANCEL_TOKEN_H_
