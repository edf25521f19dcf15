#include "ibismux/http/wire_format.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <limits>

namespace ibismux::http {

namespace {

constexpr int kClientClosedRequest = 499;

void append_number(std::string& out, std::size_t number) {
  char digits[std::numeric_limits<std::size_t>::digits10 + 1];
  const auto [end, error] =
      std::to_chars(std::begin(digits), std::end(digits), number);
  out.append(digits, end);
}

void append_field(std::string& out,
                  std::string_view name,
                  std::string_view value) {
  out += name;
  out += ": ";
  out += value;
  out += "\r\n";
}

bool framing_field(std::string_view name) {
  return boost::beast::iequals(name, "content-length") ||
         boost::beast::iequals(name, "connection") ||
         boost::beast::iequals(name, "transfer-encoding");
}

void append_fields(std::string& out, const Message& message) {
  for (const auto& [name, value] : message.fields) {
    if (!framing_field(name)) {
      append_field(out, name, value);
    }
  }
}

void append_length(std::string& out, std::size_t length) {
  out += "Content-Length: ";
  append_number(out, length);
  out += "\r\n";
}

std::string_view reason_of(int status) {
  if (status == kClientClosedRequest) {
    return "Client Closed Request";
  }
  const auto known =
      boost::beast::http::int_to_status(static_cast<unsigned>(status));
  if (known == boost::beast::http::status::unknown) {
    return "Unknown";
  }
  return boost::beast::http::obsolete_reason(known);
}

}  // namespace

void append_head(std::string& out,
                 const Request& request,
                 std::string_view host_line,
                 const ExtraFields& extra) {
  out += request.method;
  out += ' ';
  out += request.target;
  out += " HTTP/1.1\r\n";
  if (request.field("Host").empty()) {
    out += host_line;
  }
  append_fields(out, request);
  for (const auto& [name, value] : extra) {
    append_field(out, name, value);
  }
  if (!request.body.empty() ||
      (request.method != "GET" && request.method != "HEAD")) {
    append_length(out, request.body.size());
  }
  out += "\r\n";
}

void append_head(std::string& out, const Response& response, bool keep_alive) {
  out += "HTTP/1.1 ";
  append_number(out, static_cast<std::size_t>(response.status));
  out += ' ';
  out += reason_of(response.status);
  out += "\r\n";
  append_fields(out, response);
  if (may_have_body(response.status)) {
    append_length(out, response.body.size());
  }
  out += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
}

bool may_have_body(int status) noexcept {
  return status >= 200 && status != 204 && status != 304;
}

Response refusal(int status,
                 ErrorKind kind,
                 std::string_view message,
                 std::optional<Execution> execution) {
  const ErrorEntry& entry = error_entry(kind);
  Response response;
  response.status = status;
  response.add("Content-Type", "application/json");
  response.body = boost::json::serialize(boost::json::value{
      {"error", entry.name},
      {"message", message},
      {"execution", execution.value_or(entry.execution) == Execution::kNotRun
                        ? "not_run"
                        : "unknown"}});
  return response;
}

}  // namespace ibismux::http
