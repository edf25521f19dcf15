#ifndef TESTS_SUPPORT_PROCESS_H_
#define TESTS_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <boost/json/object.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ibismux::testing {

/// The one generous limit of every wait in a test of processes.
inline constexpr std::chrono::seconds kTestLimit{60};

/// One of the built programs, run as a child process.
///
///     Process platform("ibismux-fake-platform", {"--port", "0"});
///     const auto port = platform.port();
///     platform.terminate();
///
/// What the program writes to stderr is kept and read with `log()`. The child
/// is killed when this object or the test's own process goes. Not thread safe.
class Process {
 public:
  /// Starts `program`, the name of a target below apps/, standins/ or
  /// tests/.
  /// Throws std::runtime_error where it can't be started.
  Process(const std::string& program, std::vector<std::string> arguments);
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  [[nodiscard]] pid_t pid() const noexcept { return this->child; }

  /// The first line of the program's stdout, which it prints when it is ready.
  /// Waits up to `kTestLimit`; throws std::runtime_error, with the program's
  /// log, where none comes or it is no JSON object.
  [[nodiscard]] const boost::json::object& ready_line();

  /// A port out of the ready line.
  [[nodiscard]] std::uint16_t port(const std::string& key = "port");

  /// Sends a signal (SIGSTOP, SIGCONT, SIGTERM, ...). Precondition: running.
  void signal(int number);

  /// Sends SIGTERM and waits for the end.
  /// @return The exit status, or nothing where a signal ended it.
  std::optional<int> terminate();

  /// Sends SIGKILL and waits for the end.
  void kill();

  /// Waits for the end, up to `kTestLimit`; throws std::runtime_error past it.
  std::optional<int> wait();

  /// Whether the program has not ended yet.
  [[nodiscard]] bool running();

  /// What the program wrote to stdout after the ready line. Precondition: it
  /// has ended.
  [[nodiscard]] std::string output();

  /// What the program wrote to stderr so far.
  [[nodiscard]] std::string log() const;

 private:
  bool reap(int options);
  void close_files() noexcept;

  pid_t child = -1;
  int stdout_pipe = -1;
  int log_file = -1;
  std::optional<boost::json::object> ready;
  std::optional<int> status;  ///< As waitpid() gave it.
};

/// Asks `reached` again and again, with a short pause, until it says true.
/// @return False where `kTestLimit` passed first.
[[nodiscard]] bool wait_until(const std::function<bool()>& reached);

}  // namespace ibismux::testing

#endif  // TESTS_SUPPORT_PROCESS_H_
