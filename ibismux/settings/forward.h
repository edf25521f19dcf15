#ifndef IBISMUX_SETTINGS_FORWARD_H_
#define IBISMUX_SETTINGS_FORWARD_H_

namespace ibismux::settings {

template <class S>
struct Field;
struct Settings;

}  // namespace ibismux::settings

#endif  // IBISMUX_SETTINGS_FORWARD_H_
