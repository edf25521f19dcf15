#include "ibismux/http/framing_rules.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <string>

namespace ibismux::http {

namespace {

using boost::beast::iequals;

// What a host name, an address or a port may consist of besides letters and
// digits (RFC 3986, section 3.2.2).
constexpr std::string_view kHostMarks = "-._~%!$&'()*+;=:[]";

bool is_host_character(char c) noexcept {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') || kHostMarks.find(c) != std::string_view::npos;
}

bool is_host_field(const std::pair<std::string, std::string>& field) {
  return iequals(field.first, "host");
}

std::optional<FramingFault> take_uri_apart(Request& request) {
  const auto uri = boost::urls::parse_absolute_uri(request.target);
  if (!uri ||
      !(iequals(uri->scheme(), "http") || iequals(uri->scheme(), "https"))) {
    return FramingFault{400, "the target is no path and no HTTP URI"};
  }
  if (uri->has_userinfo() || uri->encoded_host().empty()) {
    return FramingFault{400, "the target names no plain host"};
  }
  const std::string host(uri->encoded_host_and_port());
  std::string path(uri->encoded_path());
  if (path.empty()) {
    path = "/";
  }
  if (uri->has_query()) {
    path += '?';
    path += uri->encoded_query();
  }
  std::erase_if(request.fields, is_host_field);
  request.add("Host", host);
  request.target = std::move(path);
  return std::nullopt;
}

}  // namespace

std::optional<FramingFault> check_transfer_coding(std::string_view value,
                                                  bool is_http_1_1) noexcept {
  if (!is_http_1_1) {
    return FramingFault{400, "a transfer coding in HTTP/1.0"};
  }
  if (!iequals(value, "chunked")) {
    return FramingFault{501, "a transfer coding other than chunked"};
  }
  return std::nullopt;
}

std::optional<FramingFault> check_host(std::string_view value) noexcept {
  if (!std::all_of(value.begin(), value.end(), is_host_character)) {
    return FramingFault{400, "Host is no host name"};
  }
  return std::nullopt;
}

std::optional<FramingFault> normalize_target(Request& request) {
  if (std::count_if(request.fields.begin(), request.fields.end(),
                    is_host_field) > 1) {
    return FramingFault{400, "more than one Host field"};
  }
  if (request.target.find('#') != std::string::npos) {
    return FramingFault{400, "the target has a fragment"};
  }
  const bool is_path = request.target.starts_with('/');
  const bool is_asterisk = request.method == "OPTIONS" && request.target == "*";
  if (is_path || is_asterisk) {
    return std::nullopt;
  }
  return take_uri_apart(request);
}

}  // namespace ibismux::http
