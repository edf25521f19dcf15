// Commands that read logs of daemons rather than ask a daemon.

#include <boost/json/serialize.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>
#include <tuple>

#include "commands.h"
#include "customer_summary.h"
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

std::string without_zeros(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
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

ExitCode Commands::customers() {
  CustomerSummary summary;
  const ExitCode read = this->read_logs(
      0, [&summary](const LogLine& line) { summary.add(line); });
  if (read != ExitCode::kOk) {
    return read;
  }
  if (this->options.json) {
    for (const CustomerSummary::Row& row : summary.rows()) {
      std::cout << boost::json::serialize(
                       boost::json::object{{"customer", row.customer},
                                           {"per_second", row.per_second},
                                           {"burst", row.burst},
                                           {"asked", row.asked},
                                           {"granted", row.granted},
                                           {"late", row.late},
                                           {"beyond_limit", row.beyond_limit},
                                           {"without_owner", row.without_owner},
                                           {"overloaded", row.overloaded},
                                           {"other_losses", row.other_losses},
                                           {"owners", row.owners.size()}})
                << "\n";
    }
    return ExitCode::kOk;
  }
  Table table({"CUSTOMER", "PER_SECOND", "BURST", "ASKED", "GRANTED", "LATE",
               "BEYOND_LIMIT", "WITHOUT_OWNER", "OVERLOADED", "OTHER_LOSSES",
               "OWNERS"});
  for (const CustomerSummary::Row& row : summary.rows()) {
    table.add(
        {row.customer, without_zeros(row.per_second), without_zeros(row.burst),
         std::to_string(row.asked), std::to_string(row.granted),
         std::to_string(row.late), std::to_string(row.beyond_limit),
         std::to_string(row.without_owner), std::to_string(row.overloaded),
         std::to_string(row.other_losses), std::to_string(row.owners.size())});
  }
  table.print();
  return ExitCode::kOk;
}

}  // namespace ibismux::ctl
