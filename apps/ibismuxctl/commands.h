#ifndef IBISMUX_APPS_IBISMUXCTL_COMMANDS_H_
#define IBISMUX_APPS_IBISMUXCTL_COMMANDS_H_

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "client.h"
#include "exit_code.h"
#include "ibismux/release/object_codec.h"
#include "options.h"

namespace ibismux::ctl {

struct LogLine;

/// The program's commands, over one client. Results go to the standard output,
/// and each failure as one line to the standard error. Not thread safe.
class Commands {
 public:
  /// @param client Outlives this.
  Commands(Options options, Client& client);

  /// Runs the command that the options name.
  [[nodiscard]] ExitCode run();

 private:
  using Method = ExitCode (Commands::*)();

  struct Entry {
    const char* name;
    Method method;
    std::size_t fewest;  ///< Arguments.
    std::size_t most;
  };

  /// A write whose outcome is waited for.
  struct Written {
    release::ObjectKey key;
    std::uint64_t version = 0;
    bool unchanged = false;
  };

  static const std::vector<Entry>& entries();

  /// @name Objects
  /// @{
  ExitCode apply();
  ExitCode get();
  ExitCode remove();
  ExitCode diff();
  /// @}

  /// @name The daemon and the fleet
  /// @{
  ExitCode watch();
  ExitCode status();
  ExitCode audit();
  ExitCode drain();
  ExitCode version();
  /// @}

  /// @name Logs of daemons
  /// @{
  ExitCode explain();
  ExitCode losses();
  ExitCode customers();
  /// Passes on each event of the logs that the arguments from `first` on name.
  ExitCode read_logs(std::size_t first,
                     const std::function<void(const LogLine&)>& on_event);
  /// @}

  ExitCode dry_run(const std::vector<release::ObjectRecord>& records);
  ExitCode write(const std::vector<release::ObjectRecord>& records);
  ExitCode await_all(const std::vector<Written>& writes);
  /// @param newest The newest version that the release must have seen.
  [[nodiscard]] Result<Answer> await_one(const Written& written,
                                         std::uint64_t newest,
                                         TimePoint deadline);
  [[nodiscard]] bool settled(const Answer& answer) const;
  ExitCode list();
  ExitCode print_events(const boost::json::value& batch) const;

  [[nodiscard]] Result<Answer> call(const std::string& method,
                                    const std::string& target,
                                    const std::string& body = "",
                                    Client::Fields fields = {});
  /// The same for a write, sent again while the platform or its budget of calls
  /// is away; its change id keeps it from being done twice.
  [[nodiscard]] Result<Answer> call_until_written(const std::string& method,
                                                  const std::string& target,
                                                  const std::string& body);
  [[nodiscard]] Client::Fields write_fields();
  [[nodiscard]] Result<release::ObjectKey> key_argument() const;
  /// Prints the failure. @return Its exit code.
  ExitCode failed(const Result<Answer>& answer, const std::string& what) const;
  ExitCode failed(ExitCode code, const std::string& message) const;

  Options options;
  Client& client;
  std::uint64_t run_id;
  std::uint64_t writes = 0;
};

}  // namespace ibismux::ctl

#endif  // IBISMUX_APPS_IBISMUXCTL_COMMANDS_H_
