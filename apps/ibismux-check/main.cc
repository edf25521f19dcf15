// ibismux-check: reads recorded histories (docs/HISTORY.md) and tells every
// violation of what must always hold, one a line; a JSON summary comes last.
//
//     ibismux-check load.jsonl leafs.jsonl
//     ibismux-check --leaving-allowed-ms 3000 --cuts-allowed run/*.jsonl
//
// Exit status: 0 no violation, 1 violations, 2 wrong use or unreadable file.

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "ibismux/history/history_checker.h"

namespace {

namespace options = boost::program_options;
using ibismux::history::CheckCounts;
using ibismux::history::CheckSettings;
using ibismux::history::HistoryChecker;
using ibismux::history::Violation;
using ibismux::history::ViolationKind;

enum ExitStatus { kClean = 0, kViolations = 1, kWrongUse = 2 };

struct CommandLine {
  std::vector<std::string> files;
  CheckSettings settings;
};

CommandLine read_command_line(int argc, char** argv) {
  options::options_description all("ibismux-check [OPTIONS] HISTORY...");
  all.add_options()("help", "show this help")(
      "leaving-allowed-ms", options::value<std::int64_t>()->default_value(2000),
      "how long a leaving leaf may get new work")(
      "in-force-allowed-ms",
      options::value<std::int64_t>()->default_value(3000),
      "how long a change may take to be in force everywhere")(
      "cuts-allowed", "daemons were killed: cut requests are only counted")(
      "history", options::value<std::vector<std::string>>(), "files to read");
  options::positional_options_description positional;
  positional.add("history", -1);
  options::variables_map given;
  options::store(options::command_line_parser(argc, argv)
                     .options(all)
                     .positional(positional)
                     .run(),
                 given);
  if (given.contains("help") || !given.contains("history")) {
    std::cerr << all;
    std::exit(given.contains("help") ? kClean : kWrongUse);
  }
  CommandLine line;
  line.files = given["history"].as<std::vector<std::string>>();
  line.settings.leaving_allowed =
      std::chrono::milliseconds(given["leaving-allowed-ms"].as<std::int64_t>());
  line.settings.in_force_allowed = std::chrono::milliseconds(
      given["in-force-allowed-ms"].as<std::int64_t>());
  line.settings.cuts_allowed = given.contains("cuts-allowed");
  return line;
}

void read_files(const std::vector<std::string>& files,
                const HistoryChecker::Visit& visit) {
  std::string line;
  for (const std::string& file : files) {
    std::ifstream input(file);
    if (!input) {
      throw std::runtime_error("can't read " + file);
    }
    while (std::getline(input, line)) {
      visit(line);
    }
  }
}

boost::json::object summary(const CheckCounts& counts) {
  boost::json::object violations;
  for (std::size_t i = 0; i < counts.violations.size(); ++i) {
    violations[name_of(static_cast<ViolationKind>(i))] = counts.violations[i];
  }
  return {{"queries", counts.queries},
          {"reservations", counts.reservations},
          {"runs", counts.runs},
          {"cuts", counts.cuts},
          {"total_violations", counts.total_violations()},
          {"violations", std::move(violations)}};
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const CommandLine line = read_command_line(argc, argv);
    HistoryChecker checker(line.settings, [](const Violation& violation) {
      std::cout << to_string(violation) << '\n';
    });
    checker.check([&line](const HistoryChecker::Visit& visit) {
      read_files(line.files, visit);
    });
    std::cout << boost::json::serialize(summary(checker.counts())) << '\n';
    return checker.counts().total_violations() == 0 ? kClean : kViolations;
  } catch (const std::exception& problem) {
    std::cerr << "ibismux-check: " << problem.what() << '\n';
    return kWrongUse;
  }
}
