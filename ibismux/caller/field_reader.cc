#include "ibismux/caller/field_reader.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <string>

namespace ibismux::caller {

namespace {

tl::unexpected<Error> wrong(std::string_view name, const std::string& allowed) {
  return fail(ErrorKind::kInvalidRequest,
              std::string(name) + ": allowed is " + allowed);
}

bool printable(char c) noexcept {
  return c >= 0x20 && c <= 0x7e;
}

/// The number that `text` is as a whole, or nothing.
template <class Number>
std::optional<Number> to_number(std::string_view text) noexcept {
  Number number{};
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

Result<std::optional<std::string_view>> FieldReader::find(
    std::string_view name) const {
  std::optional<std::string_view> found;
  for (const auto& [key, value] : this->request.fields) {
    if (!boost::beast::iequals(key, name)) {
      continue;
    }
    if (found) {
      return wrong(name, "to be given once");
    }
    found = value;
  }
  if (found && found->empty()) {
    return wrong(name, "a value, or to leave the field out");
  }
  return found;
}

Result<std::optional<std::string_view>> FieldReader::text(
    std::string_view name,
    std::size_t most_bytes) const {
  auto found = this->find(name);
  if (!found || !*found) {
    return found;
  }
  const Result<void> checked = check_text(name, **found, most_bytes);
  if (!checked) {
    return tl::unexpected(checked.error());
  }
  return found;
}

Result<std::optional<std::uint32_t>> FieldReader::number(
    std::string_view name,
    std::uint32_t least,
    std::uint32_t most) const {
  const auto found = this->find(name);
  if (!found) {
    return tl::unexpected(found.error());
  }
  if (!*found) {
    return std::nullopt;
  }
  const auto number = to_number<std::uint32_t>(**found);
  if (!number || *number < least || *number > most) {
    return wrong(name, "a whole number from " + std::to_string(least) + " to " +
                           std::to_string(most));
  }
  return number;
}

Result<std::optional<double>> FieldReader::share(std::string_view name) const {
  const auto found = this->find(name);
  if (!found) {
    return tl::unexpected(found.error());
  }
  if (!*found) {
    return std::nullopt;
  }
  const auto number = to_number<double>(**found);
  // Written so that "nan" fails too.
  if (!number || !(*number >= 0 && *number <= 1)) {
    return wrong(name, "a number from 0 to 1");
  }
  return number;
}

Result<void> check_text(std::string_view name,
                        std::string_view value,
                        std::size_t most_bytes) {
  if (value.empty() || value.size() > most_bytes ||
      !std::all_of(value.begin(), value.end(), printable)) {
    return wrong(name, "1 to " + std::to_string(most_bytes) +
                           " bytes of printable ASCII");
  }
  return {};
}

}  // namespace ibismux::caller
