#ifndef IBISMUX_RESERVATION_RESERVATION_ANSWER_H_
#define IBISMUX_RESERVATION_RESERVATION_ANSWER_H_

#include <string>

#include "ibismux/base/leaf_wait.h"

namespace ibismux::reservation {

/// What is known of a key. `kNotRun` and `kRun` never change again.
enum class KeyState : unsigned char { kNotRun, kRunning, kRun, kUnknown };

/// The outcome of a reservation that ran, or what is known of its key.
struct ReservationAnswer {
  KeyState state = KeyState::kUnknown;
  std::string shard;
  std::string body;     ///< The leaf's answer, where `state` is kRun.
  bool repeat = false;  ///< Recorded earlier; nothing was run now.
  /// Of the call that ran it; of none for a repeat. The time that the key's
  /// claim took is not in it, since that says nothing about the leafs.
  LeafWait leaf_wait;
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_RESERVATION_ANSWER_H_
