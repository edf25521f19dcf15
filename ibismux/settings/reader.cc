#include "ibismux/settings/reader.h"

#include "ibismux/settings/field_reader.h"
#include "ibismux/settings/settings_fields.h"

namespace ibismux::settings {

tl::expected<Settings, std::vector<std::string>> read(
    const jsonc::Document& document) {
  return FieldReader<Settings>(document, fields()).read();
}

std::string print_defaults() {
  return print_defaults_of<Settings>(fields());
}

}  // namespace ibismux::settings
