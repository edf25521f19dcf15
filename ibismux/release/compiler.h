#ifndef IBISMUX_RELEASE_COMPILER_H_
#define IBISMUX_RELEASE_COMPILER_H_

#include <memory>

#include "ibismux/release/object_set.h"
#include "ibismux/release/release.h"

namespace ibismux::release {

/// The form of `objects` that requests read. A reference to an object that
/// isn't there is left out; `validate()` finds them. Thread safe.
[[nodiscard]] std::shared_ptr<const Release> compile(const ObjectSet& objects,
                                                     Generation generation);

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_COMPILER_H_
