// ibismuxctl: the operators' tool. `ibismuxctl --help` tells its use.

#include <iostream>

#include "client.h"
#include "commands.h"
#include "options.h"

int main(int count, char** words) {
  using ibismux::ctl::ExitCode;
  ibismux::Result<ibismux::ctl::Options> options =
      ibismux::ctl::parse_options(count, words);
  if (!options) {
    std::cerr << "ibismuxctl: " << options.error().message << "\n";
    return static_cast<int>(ExitCode::kBadInput);
  }
  if (options->help) {
    std::cout << ibismux::ctl::help_text();
    return static_cast<int>(ExitCode::kOk);
  }
  ibismux::ctl::Client client(options->addresses);
  ibismux::ctl::Commands commands(*std::move(options), client);
  return static_cast<int>(commands.run());
}
