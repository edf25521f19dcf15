#include "ibismux/http/path_pattern.h"

#include <utility>

namespace ibismux::http {

std::optional<std::vector<std::string>> match_path(
    std::string_view pattern,
    const std::vector<std::string>& parts) {
  std::vector<std::string> names;
  for (const std::string& part : parts) {
    if (pattern.empty()) {
      return std::nullopt;
    }
    pattern.remove_prefix(1);  // The slash.
    const std::string_view wanted = pattern.substr(0, pattern.find('/'));
    if (wanted.starts_with('{')) {
      names.push_back(part);
    } else if (wanted != part) {
      return std::nullopt;
    }
    pattern.remove_prefix(wanted.size());
  }
  if (!pattern.empty()) {
    return std::nullopt;
  }
  return names;
}

}  // namespace ibismux::http
