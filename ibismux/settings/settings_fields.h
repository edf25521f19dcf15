#ifndef IBISMUX_SETTINGS_SETTINGS_FIELDS_H_
#define IBISMUX_SETTINGS_SETTINGS_FIELDS_H_

#include <span>

#include "ibismux/settings/field.h"
#include "ibismux/settings/settings.h"

namespace ibismux::settings {

/// Every key of the daemon's settings, group by group. Thread safe.
[[nodiscard]] std::span<const Field<Settings>> fields() noexcept;

}  // namespace ibismux::settings

#endif  // IBISMUX_SETTINGS_SETTINGS_FIELDS_H_
