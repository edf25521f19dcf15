#ifndef STANDINS_COMMAND_LINE_H_
#define STANDINS_COMMAND_LINE_H_

#include <boost/program_options.hpp>
#include <iostream>
#include <optional>

namespace standins {

/// Reads the command line into what `list` binds, and answers --help.
/// @return The exit status where the program shall end now.
inline std::optional<int> parse_command_line(
    int argc,
    char** argv,
    boost::program_options::options_description& list) {
  namespace options = boost::program_options;
  list.add_options()("help", "print this");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, list), values);
    options::notify(values);
  } catch (const options::error& problem) {
    std::cerr << problem.what() << "\n" << list;
    return 2;
  }
  if (values.count("help") > 0) {
    std::cout << list;
    return 0;
  }
  return std::nullopt;
}

}  // namespace standins

#endif  // STANDINS_COMMAND_LINE_H_
