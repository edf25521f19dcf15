#include "log_line.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <ctime>
#include <utility>

namespace ibismux::ctl {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

/// "2026-02-11T13:22:52.723Z", or nothing where `text` is written otherwise.
std::optional<milliseconds> parse_time(const std::string& text) {
  std::tm parts{};
  int thousandths = 0;
  char end = '\0';
  const int read =
      std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%3d%c", &parts.tm_year,
                  &parts.tm_mon, &parts.tm_mday, &parts.tm_hour, &parts.tm_min,
                  &parts.tm_sec, &thousandths, &end);
  constexpr int kParts = 8;
  constexpr int kFirstYear = 1900;
  if (read != kParts || end != 'Z') {
    return std::nullopt;
  }
  parts.tm_year -= kFirstYear;
  parts.tm_mon -= 1;
  return std::chrono::seconds(timegm(&parts)) + milliseconds(thousandths);
}

std::string take_text(const json::object& fields, std::string_view key) {
  const json::value* value = fields.if_contains(key);
  return value && value->is_string() ? std::string(value->get_string()) : "";
}

}  // namespace

std::string LogLine::text(std::string_view key) const {
  const json::value* value = this->fields.if_contains(key);
  if (!value) {
    return "";
  }
  if (value->is_double()) {
    char number[32];
    std::snprintf(number, sizeof(number), "%.6g", value->get_double());
    return number;
  }
  return value->is_string() ? std::string(value->get_string())
                            : json::serialize(*value);
}

bool LogLine::ends_request() const {
  return this->event == "request_refused" ||
         (this->event == "request_end" && this->text("for_peer") != "true");
}

double LogLine::number(std::string_view key) const {
  const json::value* value = this->fields.if_contains(key);
  boost::system::error_code failure;
  const double number = value ? value->to_number<double>(failure) : 0;
  return failure ? 0 : number;
}

std::optional<LogLine> parse_log_line(std::string_view line) {
  const std::size_t begin = line.find('{');
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  line.remove_prefix(begin);
  line = line.substr(0, line.find_last_of('}') + 1);
  boost::system::error_code failure;
  json::value value = json::parse(line, failure);
  if (failure || !value.is_object()) {
    return std::nullopt;
  }
  LogLine read;
  read.fields = std::move(value.get_object());
  read.time = take_text(read.fields, "time");
  read.host = take_text(read.fields, "host");
  read.event = take_text(read.fields, "event");
  const auto at = parse_time(read.time);
  if (!at || read.event.empty()) {
    return std::nullopt;
  }
  read.at = *at;
  return read;
}

}  // namespace ibismux::ctl
