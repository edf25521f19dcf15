// Commands that read logs of daemons rather than ask a daemon.

#include <boost/json/serialize.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <tuple>

#include "commands.h"
#include "log_line.h"
#include "request_trace.h"
#include "table.h"

namespace ibismux::ctl {

namespace {

/// Passes each event in `file` on. @return False where it can't be read.
bool read_events(const std::string& file,
                 const std::function<void(const LogLine&)>& on_event) {
  std::ifstream stream(file);
  std::string text;
  while (std::getline(stream, text)) {
    if (const auto line = parse_log_line(text)) {
      on_event(*line);
    }
  }
  return stream.eof();
}

/// `message` with each number written as '#', so that like ones count as one.
std::string without_numbers(const std::string& message) {
  std::string text;
  for (const char c : message) {
    const bool is_digit = c >= '0' && c <= '9';
    if (!is_digit) {
      text.push_back(c);
    } else if (text.empty() || text.back() != '#') {
      text.push_back('#');
    }
  }
  return text;
}

/// All fields but those that head the line.
std::string fields_text(const LogLine& line) {
  std::string text;
  for (const auto& [key, value] : line.fields) {
    const bool is_head = key == "time" || key == "host" || key == "event" ||
                         key == "boot" || key == "request";
    if (!is_head) {
      text +=
          (text.empty() ? "" : " ") + std::string(key) + "=" + line.text(key);
    }
  }
  return text;
}

}  // namespace

ExitCode Commands::read_logs(
    std::size_t first,
    const std::function<void(const LogLine&)>& on_event) {
  for (std::size_t i = first; i < this->options.arguments.size(); ++i) {
    const std::string& file = this->options.arguments[i];
    if (!read_events(file, on_event)) {
      return this->failed(ExitCode::kBadInput, file + ": can't be read");
    }
  }
  return ExitCode::kOk;
}

ExitCode Commands::explain() {
  RequestTrace trace(this->options.arguments.front());
  const ExitCode read = this->read_logs(
      1, [&trace](const LogLine& line) { trace.add_own(line); });
  if (read != ExitCode::kOk) {
    return read;
  }
  if (!trace.found()) {
    return this->failed(
        ExitCode::kRefused,
        "no line names request " + this->options.arguments.front());
  }
  const ExitCode again = this->read_logs(
      1, [&trace](const LogLine& line) { trace.add_belief(line); });
  if (again != ExitCode::kOk) {
    return again;
  }
  const auto lines = trace.lines();
  if (this->options.json) {
    for (const LogLine& line : lines) {
      std::cout << boost::json::serialize(line.fields) << "\n";
    }
    return ExitCode::kOk;
  }
  Table table({"TIME", "HOST", "EVENT", "FIELDS"});
  for (const LogLine& line : lines) {
    table.add({line.time, line.host, line.event, fields_text(line)});
  }
  table.print();
  std::cout << "\n" << trace.cause() << "\n";
  return ExitCode::kOk;
}

ExitCode Commands::losses() {
  using Cause = std::tuple<std::string, std::string, std::string>;
  std::map<Cause, std::size_t> causes;
  std::size_t ends = 0;
  const ExitCode read = this->read_logs(0, [&](const LogLine& line) {
    if (!line.ends_request()) {
      return;
    }
    ++ends;
    const std::string outcome =
        line.text(line.event == "request_refused" ? "kind" : "outcome");
    if (outcome != "ok") {
      ++causes[{line.text("route"), outcome,
                without_numbers(line.text("message"))}];
    }
  });
  if (read != ExitCode::kOk) {
    return read;
  }
  std::multimap<std::size_t, Cause, std::greater<>> by_count;
  for (const auto& [cause, count] : causes) {
    by_count.emplace(count, cause);
  }
  if (this->options.json) {
    for (const auto& [count, cause] : by_count) {
      const auto& [route, outcome, message] = cause;
      std::cout << boost::json::serialize(
                       boost::json::object{{"count", count},
                                           {"route", route},
                                           {"outcome", outcome},
                                           {"message", message}})
                << "\n";
    }
    return ExitCode::kOk;
  }
  Table table({"COUNT", "ROUTE", "OUTCOME", "MESSAGE"});
  for (const auto& [count, cause] : by_count) {
    const auto& [route, outcome, message] = cause;
    table.add({std::to_string(count), route, outcome, message});
  }
  table.print();
  std::cout << "\nof " << ends << " request ends in the logs\n";
  return ExitCode::kOk;
}

}  // namespace ibismux::ctl
