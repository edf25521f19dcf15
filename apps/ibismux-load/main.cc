/// ibismux-load: open-loop load on a fleet of daemons, as an experiment file
/// says.
///
///     ibismux-load --daemons 127.0.0.1:8080 bench/experiments/bajio.json
///
/// The last line it prints is one JSON object. Exit code: 0 after a run, 2 for
/// wrong arguments or a wrong experiment file.

#include <sys/resource.h>

#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <sstream>
#include <thread>

#include "apps/ibismux-load/report.h"
#include "apps/ibismux-load/worker.h"

namespace {

namespace options = boost::program_options;
using ibismux::load::DaemonAddress;

constexpr int kWrongUse = 2;
constexpr auto kStartDelay = std::chrono::milliseconds(50);

struct Arguments {
  std::string experiment;
  std::string daemons;
  std::string history;
  std::string csv;
  std::string plot;
  std::uint64_t seed = 0;
};

bool parse(int argc, char** argv, Arguments& arguments) {
  options::options_description list("ibismux-load [options] EXPERIMENT");
  list.add_options()("help", "print this")(
      "daemons", options::value(&arguments.daemons)->required(),
      "address:port[:ready_port] of each daemon, by commas; /readyz on the "
      "ready port says whether it takes part")(
      "history", options::value(&arguments.history),
      "file for a record of every request")(
      "csv", options::value(&arguments.csv), "file for figures by second")(
      "plot", options::value(&arguments.plot),
      "PNG for gnuplot to draw: writes the script FILE.gp and FILE.csv")(
      "seed", options::value(&arguments.seed), "instead of the file's")(
      "experiment", options::value(&arguments.experiment)->required(),
      "experiment file, JSON with comments");
  options::positional_options_description positional;
  positional.add("experiment", 1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(list)
                       .positional(positional)
                       .run(),
                   values);
    if (values.count("help") > 0) {
      std::cout << list;
      std::exit(0);
    }
    options::notify(values);
  } catch (const options::error& problem) {
    std::cerr << problem.what() << "\n" << list;
    return false;
  }
  return true;
}

std::vector<DaemonAddress> addresses_of(const std::string& text) {
  std::vector<DaemonAddress> addresses;
  std::istringstream list(text);
  std::string one;
  while (std::getline(list, one, ',')) {
    std::istringstream parts(one);
    DaemonAddress address;
    std::string port;
    std::string ready_port = "0";
    std::getline(parts, address.address, ':');
    std::getline(parts, port, ':');
    std::getline(parts, ready_port, ':');
    address.port = static_cast<std::uint16_t>(std::atoi(port.c_str()));
    address.ready_port =
        static_cast<std::uint16_t>(std::atoi(ready_port.c_str()));
    addresses.push_back(address);
  }
  return addresses;
}

/// One descriptor a request in flight: the default soft limit is soon reached.
void raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

ibismux::load::Recorder run(const ibismux::load::Experiment& experiment,
                            const Arguments& arguments) {
  ibismux::load::HistoryFile history(arguments.history);
  std::vector<std::unique_ptr<ibismux::load::Worker>> workers;
  for (std::size_t i = 0; i < experiment.threads; ++i) {
    workers.push_back(std::make_unique<ibismux::load::Worker>(
        experiment, i, addresses_of(arguments.daemons), history));
  }
  const ibismux::TimePoint begin = ibismux::Clock::now() + kStartDelay;
  std::vector<std::thread> threads;
  threads.reserve(workers.size());
  for (auto& worker : workers) {
    threads.emplace_back([&worker, begin] { worker->run(begin); });
  }
  ibismux::load::Recorder results;
  for (std::size_t i = 0; i < threads.size(); ++i) {
    threads[i].join();
    results.merge(workers[i]->results());
  }
  return results;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  if (!parse(argc, argv, arguments)) {
    return kWrongUse;
  }
  raise_descriptor_limit();
  auto experiment = ibismux::load::read_experiment(arguments.experiment);
  if (!experiment) {
    std::cerr << experiment.error().message << "\n";
    return kWrongUse;
  }
  if (arguments.seed != 0) {
    experiment->seed = arguments.seed;
  }
  const ibismux::load::Recorder results = run(*experiment, arguments);
  if (!arguments.plot.empty() && arguments.csv.empty()) {
    arguments.csv = arguments.plot + ".csv";
  }
  bool written = true;
  if (!arguments.csv.empty()) {
    written = ibismux::load::write_csv(arguments.csv, results);
  }
  if (!arguments.plot.empty()) {
    written =
        ibismux::load::write_plot(arguments.plot, arguments.csv, results) &&
        written;
  }
  std::cout << boost::json::serialize(
                   ibismux::load::summarize(*experiment, results))
            << std::endl;
  return written ? 0 : 1;
}
