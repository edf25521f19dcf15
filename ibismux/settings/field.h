#ifndef IBISMUX_SETTINGS_FIELD_H_
#define IBISMUX_SETTINGS_FIELD_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "ibismux/settings/settings.h"

namespace ibismux::settings {

/// What a text value must look like.
enum class TextForm : unsigned char {
  kName,
  kAddress,
  kHostAddress,
  kOwnership
};

/// A text setting.
struct TextField {
  std::string Settings::*member;
  TextForm form;
};

/// A whole number within bounds, both included.
struct NumberField {
  std::uint32_t Settings::*member;
  std::uint32_t least;
  std::uint32_t most;
};

/// A time in whole milliseconds within bounds, both included.
struct MillisField {
  Settings::Millis Settings::*member;
  Settings::Millis least;
  Settings::Millis most;
};

/// true or false.
struct FlagField {
  bool Settings::*member;
};

/// One key of the settings file.
struct Field {
  std::string_view key;  ///< "group.name", or "name" at the top.
  std::string_view comment;
  std::variant<TextField, NumberField, MillisField> binding;
  bool required = false;

  /// What the key takes, in words: "a whole number from 1 to 64".
  [[nodiscard]] std::string allowed() const;
  /// Puts `value` into `settings`. @return Whether it is allowed.
  [[nodiscard]] bool set(Settings& settings,
                         const boost::json::value& value) const;
  /// The value that `settings` holds.
  [[nodiscard]] boost::json::value get(const Settings& settings) const;
};

/// Every key there is, group by group. Thread safe.
[[nodiscard]] std::span<const Field> fields() noexcept;

}  // namespace ibismux::settings

#endif  // IBISMUX_SETTINGS_FIELD_H_
