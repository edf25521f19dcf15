#ifndef IBISMUX_RESERVATION_RESERVATION_REQUEST_H_
#define IBISMUX_RESERVATION_RESERVATION_REQUEST_H_

#include <memory>
#include <optional>
#include <string>

#include "ibismux/base/time.h"

namespace ibismux::reservation {

/// One call that must run at most once.
struct ReservationRequest {
  std::string request_id;
  std::string service;
  std::string caller;
  TimePoint received;
  std::optional<std::chrono::milliseconds> deadline;
  std::string item;  ///< What is reserved; its hash picks the shard.
  /// Idempotency key or ticket; empty: run once, no repeat is recognised.
  std::string key;
  std::shared_ptr<const std::string> body;
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_RESERVATION_REQUEST_H_
