#ifndef IBISMUX_HTTP_CANCEL_TOKEN_H_
#define IBISMUX_HTTP_CANCEL_TOKEN_H_

#include <functional>
#include <memory>
#include <utility>

namespace ibismux::http {

/// Tells a request's handler that its client is gone.
///
/// Belongs to one event loop; not thread safe.
class CancelToken {
 public:
  [[nodiscard]] bool cancelled() const noexcept { return this->is_cancelled; }

  /// `callback` runs once, on the loop, when the client goes; at once if it has
  /// gone already. A later call replaces the callback.
  void on_cancel(std::function<void()> callback) {
    if (this->is_cancelled) {
      callback();
      return;
    }
    this->callback = std::move(callback);
  }

  /// Called by the server.
  void cancel() {
    if (this->is_cancelled) {
      return;
    }
    this->is_cancelled = true;
    if (this->callback) {
      std::exchange(this->callback, nullptr)();
    }
  }

 private:
  bool is_cancelled = false;
  std::function<void()> callback;
};

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_CANCEL_TOKEN_H_
