// Measures the policies on virtual time, without sockets:
//
//     bench-policy
//     [tail|calm|quantiles|loads|low_rate|single|slow_leaf|refusals|flips|overload|door|cost|limits]
//     [--seed N]
//
// Prints one JSON object a scenario. But for `cost`, a run depends on its seed
// alone.

#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "apps/bench-policy/scenarios.h"

namespace {

namespace options = boost::program_options;

using Scenario = boost::json::object (*)(std::uint64_t seed);

const std::map<std::string, Scenario> kScenarios = {
    {"tail", ibismux::bench::run_tail},
    {"quantiles", ibismux::bench::run_quantiles},
    {"calm", ibismux::bench::run_calm},
    {"loads", ibismux::bench::run_loads},
    {"low_rate", ibismux::bench::run_low_rate},
    {"single", ibismux::bench::run_single},
    {"slow_leaf", ibismux::bench::run_slow_leaf},
    {"refusals", ibismux::bench::run_refusals},
    {"flips", ibismux::bench::run_flips},
    {"cost", ibismux::bench::run_cost},
    {"door", ibismux::bench::run_door},
    {"overload", ibismux::bench::run_overload},
    {"limits", ibismux::bench::run_limits}};

}  // namespace

int main(int argc, char** argv) {
  std::string only;
  std::uint64_t seed = 1;
  options::options_description known;
  known.add_options()("scenario", options::value(&only))("seed",
                                                         options::value(&seed));
  options::positional_options_description first;
  first.add("scenario", 1);
  try {
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv)
                       .options(known)
                       .positional(first)
                       .run(),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
  if (!only.empty() && !kScenarios.contains(only)) {
    std::cerr << "no scenario " << only << '\n';
    return 2;
  }
  for (const auto& [name, scenario] : kScenarios) {
    if (only.empty() || only == name) {
      boost::json::object line = {{"scenario", name}, {"seed", seed}};
      line["result"] = scenario(seed);
      std::cout << boost::json::serialize(line) << std::endl;
    }
  }
  return 0;
}
