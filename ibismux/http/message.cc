#include "ibismux/http/message.h"

#include <algorithm>

namespace ibismux::http {

namespace {

constexpr std::size_t kUsualFields = 8;

char lower(char c) noexcept {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool equal_ignoring_case(std::string_view a, std::string_view b) noexcept {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

int hex_digit(char c) noexcept {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const char l = lower(c);
  return l >= 'a' && l <= 'f' ? l - 'a' + 10 : -1;
}

/// Undoes percent encoding; an escape that is not well formed stays as it is.
std::string unescape(std::string_view text, bool plus_is_space) {
  std::string plain;
  plain.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const int high = hex_digit(text[i + 1]);
      const int low = hex_digit(text[i + 2]);
      if (high >= 0 && low >= 0) {
        plain += static_cast<char>(high * 16 + low);
        i += 2;
        continue;
      }
    }
    plain += text[i] == '+' && plus_is_space ? ' ' : text[i];
  }
  return plain;
}

}  // namespace

std::string_view Message::field(std::string_view name) const noexcept {
  for (const auto& [key, value] : this->fields) {
    if (equal_ignoring_case(key, name)) {
      return value;
    }
  }
  return {};
}

void Message::add(std::string_view name, std::string_view value) {
  if (this->fields.capacity() == 0) {
    this->fields.reserve(kUsualFields);
  }
  this->fields.emplace_back(name, value);
}

std::string_view Request::path() const noexcept {
  return std::string_view(this->target).substr(0, this->target.find('?'));
}

std::string Request::parameter(std::string_view name) const {
  const std::size_t mark = this->target.find('?');
  if (mark == std::string::npos) {
    return {};
  }
  std::string_view rest = std::string_view(this->target).substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const std::size_t equals = pair.find('=');
    if (unescape(pair.substr(0, equals), true) == name) {
      return equals == std::string_view::npos
                 ? std::string()
                 : unescape(pair.substr(equals + 1), true);
    }
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
  return {};
}

std::vector<std::string> split_path(std::string_view path) {
  std::vector<std::string> parts;
  if (!path.empty() && path.front() == '/') {
    path.remove_prefix(1);
  }
  if (path.empty()) {
    return parts;
  }
  for (;;) {
    const std::size_t slash = path.find('/');
    parts.push_back(unescape(path.substr(0, slash), false));
    if (slash == std::string_view::npos) {
      return parts;
    }
    path.remove_prefix(slash + 1);
  }
}

}  // namespace ibismux::http
