#ifndef IBISMUX_RESERVATION_RESERVATION_ANSWER_H_
#define IBISMUX_RESERVATION_RESERVATION_ANSWER_H_

#include <string>

#include "ibismux/base/time.h"

namespace ibismux::reservation {

/// What is known of a key. `kNotRun` and `kRun` never change again.
enum class KeyState : unsigned char { kNotRun, kRunning, kRun, kUnknown };

/// The outcome of a reservation that ran, or what is known of its key.
struct ReservationAnswer {
  KeyState state = KeyState::kUnknown;
  std::string shard;
  std::string body;     ///< The leaf's answer, where `state` is kRun.
  bool repeat = false;  ///< Recorded earlier; nothing was run now.
  /// How long the key's claim took: time that says nothing about the leafs.
  Duration claim_time{};
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_RESERVATION_ANSWER_H_
