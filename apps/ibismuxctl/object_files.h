#ifndef IBISMUX_APPS_IBISMUXCTL_OBJECT_FILES_H_
#define IBISMUX_APPS_IBISMUXCTL_OBJECT_FILES_H_

#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/release/object_codec.h"

namespace ibismux::ctl {

/// The objects in `paths`, each a file or a folder whose files end in .json, in
/// an order in which none needs a later one.
/// Errors: kInvalidRequest, `file:line:column: what is wrong`; kNotFound.
[[nodiscard]] Result<std::vector<release::ObjectRecord>> load_objects(
    const std::vector<std::string>& paths);

}  // namespace ibismux::ctl

#endif  // IBISMUX_APPS_IBISMUXCTL_OBJECT_FILES_H_
