#ifndef IBISMUX_SETTINGS_READER_H_
#define IBISMUX_SETTINGS_READER_H_

#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/jsonc/document.h"
#include "ibismux/settings/settings.h"

namespace ibismux::settings {

/// The settings in `document`, or one line for each thing that is wrong, all of
/// them: `file:line:column: key: what is wrong; what is allowed`. Thread safe.
[[nodiscard]] tl::expected<Settings, std::vector<std::string>> read(
    const jsonc::Document& document);

/// A settings file with every key at its default and a comment over it, which
/// `read()` takes once the required keys are filled in. Thread safe.
[[nodiscard]] std::string print_defaults();

}  // namespace ibismux::settings

#endif  // IBISMUX_SETTINGS_READER_H_
