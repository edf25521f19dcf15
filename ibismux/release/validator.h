#ifndef IBISMUX_RELEASE_VALIDATOR_H_
#define IBISMUX_RELEASE_VALIDATOR_H_

#include <string>
#include <vector>

#include "ibismux/release/object_set.h"

namespace ibismux::release {

/// One way in which objects don't fit together.
struct Violation {
  /// kind/name, the field and what is wrong, on one line.
  std::string message;
  /// The object that the message is about, then the others that have a part in
  /// it. Reverting any one of them may make it valid.
  std::vector<ObjectKey> involved;
};

/// What is wrong between `objects`, each of which is valid by itself: the order
/// is that of the rules, then of the keys. Thread safe.
[[nodiscard]] std::vector<Violation> validate(const ObjectSet& objects);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_VALIDATOR_H_
