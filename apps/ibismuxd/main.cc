// The daemon of the query tier; one runs on each entry host.
//
//     ibismuxd --print-defaults > ibismuxd.json
//     ibismuxd --settings ibismuxd.json

#include <glog/logging.h>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

#include "ibismux/daemon/daemon.h"
#include "ibismux/daemon/version.h"
#include "ibismux/settings/reader.h"

namespace {

namespace options = boost::program_options;

constexpr int kFailed = 1;
constexpr int kBadInput = 2;

options::options_description describe() {
  options::options_description description("ibismuxd: one daemon of the tier");
  auto add = description.add_options();
  add("settings", options::value<std::string>(), "settings file");
  add("check", "only validate the settings; exit 0 or 2");
  add("print-defaults", "write a settings file with every key to stdout");
  add("version", "print the version");
  add("help", "print this");
  return description;
}

tl::expected<options::variables_map, std::string>
parse(int argc, char** argv, const options::options_description& description) {
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    return tl::unexpected("ibismuxd: " + std::string(error.what()) +
                          "; --help lists the options");
  }
  return values;
}

/// The settings of `file`, or null after every error was printed.
std::optional<ibismux::settings::Settings> load(const std::string& file) {
  const auto document = ibismux::jsonc::parse_file(file);
  if (!document) {
    std::cerr << document.error().message << '\n';
    return std::nullopt;
  }
  auto settings = ibismux::settings::read(*document);
  if (!settings) {
    for (const std::string& line : settings.error()) {
      std::cerr << line << '\n';
    }
    return std::nullopt;
  }
  return *std::move(settings);
}

void start_logging(const ibismux::settings::Settings& settings) {
  google::InitGoogleLogging("ibismuxd");
  FLAGS_logtostderr = true;
  FLAGS_v = static_cast<int>(settings.log_verbosity);
  // A reader that stops reading must not end the daemon.
  std::signal(SIGPIPE, SIG_IGN);
}

int run(const ibismux::settings::Settings& settings) {
  start_logging(settings);
  ibismux::daemon::Daemon daemon(settings);
  const auto ports = daemon.start();
  if (!ports) {
    std::cerr << "ibismuxd: " << ports.error().message << '\n';
    return kFailed;
  }
  std::cout << "{\"caller\":" << ports->caller << ",\"peer\":" << ports->peer
            << ",\"operator\":" << ports->operators << "}" << std::endl;

  boost::asio::io_context signals;
  boost::asio::signal_set set(signals, SIGTERM, SIGINT);
  set.async_wait([](const boost::system::error_code&, int) {});
  daemon.on_drain([&] { set.cancel(); });
  signals.run();
  daemon.stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const options::options_description description = describe();
  const auto values = parse(argc, argv, description);
  if (!values) {
    std::cerr << values.error() << '\n';
    return kBadInput;
  }
  if (values->contains("help")) {
    std::cout << description;
    return 0;
  }
  if (values->contains("version")) {
    std::cout << "ibismuxd " << ibismux::daemon::kVersion << '\n';
    return 0;
  }
  if (values->contains("print-defaults")) {
    std::cout << ibismux::settings::print_defaults();
    return 0;
  }
  if (!values->contains("settings")) {
    std::cerr << "ibismuxd: --settings FILE is missing; --help lists the "
                 "options\n";
    return kBadInput;
  }
  const auto settings = load((*values)["settings"].as<std::string>());
  if (!settings) {
    return kBadInput;
  }
  return values->contains("check") ? 0 : run(*settings);
}
