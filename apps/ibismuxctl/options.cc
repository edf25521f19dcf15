#include "options.h"

#include <boost/asio/ip/address.hpp>
#include <boost/program_options.hpp>
#include <charconv>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace ibismux::ctl {
namespace {

namespace po = boost::program_options;

constexpr const char* kDefaultAddress = "127.0.0.1:8082";
constexpr const char* kAddressVariable = "IBISMUX_ADDRESS";

constexpr const char* kUsage =
    R"(Usage: ibismuxctl [options] COMMAND [ARGUMENT...]

Commands:
  apply PATH...          write the objects in files or folders of JSON with
                         comments, and wait until each is accepted or rejected
  get [KIND [NAME]]      show objects in force, or one with its status
  delete KIND NAME       delete an object, and wait until that is accepted
  diff PATH...           compare files with the objects as written
  watch                  print accepted, rejected and deleted objects as they
                         come
  status [KIND NAME]     show the daemon and the fleet, or one object's status
  audit                  show who changed what, newest last
  drain                  stop the daemon gracefully
  explain REQUEST LOG... show what logs of ibismux-edge daemons say of one
                         request, and why it ended as it did
  losses LOG...          count requests that were not answered in full, by route
                         and cause
  customers LOG...       sum up, by customer, what was asked of its limit, and
                         what was refused and why
  version                print the version

KIND is one of query_service, shard, backend_server, snapshot, limit_policy.

)";

constexpr const char* kExitCodes = R"(
Exit codes: 0 done; 1 diff found a difference; 2 the command line or a file is
wrong, and nothing was sent; 3 rejected, a conflict, or not found; 4 no daemon
answered, or the state was not reached in time.

A file holds one object, an array of objects, or {"objects":[...]}. apply writes
objects in an order in which none waits for a later one.
)";

po::options_description visible_options() {
  po::options_description options("Options");
  options.add_options()("help,h", "print this text")(
      "address,a", po::value<std::string>(),
      "operator ports of daemons, IP:PORT[,IP:PORT...], tried in order; "
      "default $IBISMUX_ADDRESS, else 127.0.0.1:8082")(
      "output,o", po::value<std::string>()->default_value("table"),
      "table or json")("operator", po::value<std::string>(),
                       "who you are, for the audit trail; default $USER")(
      "timeout", po::value<std::uint32_t>()->default_value(30),
      "seconds to wait for a state")(
      "wait", po::bool_switch(),
      "apply and delete: wait until in force on every daemon")(
      "dry-run", po::bool_switch(),
      "apply: say what would be accepted, and write nothing")(
      "if-match", po::value<std::uint64_t>(),
      "apply of one object, delete: only if this is its version")(
      "since", po::value<std::uint64_t>(),
      "watch: begin after this generation; default now")(
      "from", po::value<std::uint64_t>(), "audit: first entry")(
      "limit", po::value<std::uint64_t>()->default_value(100),
      "audit: how many entries");
  return options;
}

Result<Address> parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const char* begin =
      colon == std::string::npos ? end : text.data() + colon + 1;
  const auto parsed = std::from_chars(begin, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return fail(ErrorKind::kInvalidRequest,
                "--address: \"" + text + "\" must be IP:PORT");
  }
  return Address{std::move(host), port};
}

Result<std::vector<Address>> parse_addresses(const std::string& text) {
  std::vector<Address> addresses;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    Result<Address> address = parse_address(part);
    if (!address) {
      return tl::unexpected<Error>(address.error());
    }
    addresses.push_back(std::move(*address));
  }
  if (addresses.empty()) {
    return fail(ErrorKind::kInvalidRequest, "--address must be IP:PORT");
  }
  return addresses;
}

std::string variable_or(const char* name, const char* fallback) {
  const char* value = std::getenv(name);
  return value != nullptr && *value != '\0' ? value : fallback;
}

template <class T>
std::optional<T> optional_of(const po::variables_map& values,
                             const char* name) {
  return values.count(name) != 0 ? std::optional<T>(values[name].as<T>())
                                 : std::nullopt;
}

Result<Options> read(const po::variables_map& values) {
  Options options;
  Result<std::vector<Address>> addresses = parse_addresses(
      optional_of<std::string>(values, "address")
          .value_or(variable_or(kAddressVariable, kDefaultAddress)));
  if (!addresses) {
    return tl::unexpected<Error>(addresses.error());
  }
  const std::string output = values["output"].as<std::string>();
  if (output != "table" && output != "json") {
    return fail(ErrorKind::kInvalidRequest, "--output must be table or json");
  }
  options.addresses = std::move(*addresses);
  options.json = output == "json";
  options.help = values.count("help") != 0;
  options.who = optional_of<std::string>(values, "operator")
                    .value_or(variable_or("USER", "anonymous"));
  options.timeout = std::chrono::seconds(values["timeout"].as<std::uint32_t>());
  options.wait = values["wait"].as<bool>();
  options.dry_run = values["dry-run"].as<bool>();
  options.if_match = optional_of<std::uint64_t>(values, "if-match");
  options.since = optional_of<std::uint64_t>(values, "since");
  options.from = optional_of<std::uint64_t>(values, "from");
  options.limit = values["limit"].as<std::uint64_t>();
  const auto words = optional_of<std::vector<std::string>>(values, "words")
                         .value_or(std::vector<std::string>{});
  if (!words.empty()) {
    options.command = words.front();
    options.arguments.assign(words.begin() + 1, words.end());
  }
  return options;
}

}  // namespace

Result<Options> parse_options(int count, char** words) {
  po::options_description all = visible_options();
  all.add_options()("words", po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  positional.add("words", -1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(count, words)
                  .options(all)
                  .positional(positional)
                  .run(),
              values);
    po::notify(values);
    return read(values);
  } catch (const po::error& error) {
    return fail(ErrorKind::kInvalidRequest, error.what());
  }
}

std::string help_text() {
  std::ostringstream text;
  text << kUsage << visible_options() << kExitCodes;
  return text.str();
}

}  // namespace ibismux::ctl
