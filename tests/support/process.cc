#include "tests/support/process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json/parse.hpp>
#include <cerrno>
#include <filesystem>
#include <stdexcept>
#include <thread>
#include <utility>

namespace ibismux::testing {

namespace {

constexpr std::chrono::milliseconds kPause{5};
constexpr int kExecFailed = 127;

std::string find_program(const std::string& name) {
  namespace fs = std::filesystem;
  const fs::path build = IBISMUX_BUILD_DIR;
  for (const char* folder : {"apps", "standins", "tests", "platform"}) {
    std::error_code ignored;
    const auto direct = build / folder / name;
    if (fs::is_regular_file(direct, ignored)) {
      return direct.string();
    }
    for (const auto& entry : fs::directory_iterator(build / folder, ignored)) {
      const auto file = entry.path() / name;
      if (fs::is_regular_file(file, ignored)) {
        return file.string();
      }
    }
  }
  throw std::runtime_error("program not built: " + name);
}

/// Between fork and exec: async-signal-safe calls only.
[[noreturn]] void run_child(char* const* arguments, int out, int log) {
  // A test that crashes must not leave its programs behind.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  sigset_t none;
  ::sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  ::execv(arguments[0], arguments);
  ::_exit(kExecFailed);
}

std::string read_line(int file, std::chrono::steady_clock::time_point limit) {
  std::string line;
  for (;;) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        limit - std::chrono::steady_clock::now());
    pollfd waiting{file, POLLIN, 0};
    const int ready = left.count() > 0
                          ? ::poll(&waiting, 1, static_cast<int>(left.count()))
                          : 0;
    if (ready < 0 && errno == EINTR) {
      continue;
    }
    char byte = 0;
    if (ready <= 0 || ::read(file, &byte, 1) != 1 || byte == '\n') {
      return line;
    }
    line.push_back(byte);
  }
}

}  // namespace

Process::Process(const std::string& program,
                 std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), find_program(program));
  std::vector<char*> pointers;
  for (auto& argument : arguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);

  int ends[2];
  this->log_file = ::memfd_create("log", MFD_CLOEXEC);
  if (this->log_file < 0 || ::pipe2(ends, O_CLOEXEC) != 0) {
    this->close_files();
    throw std::runtime_error("no pipe for " + program);
  }
  this->stdout_pipe = ends[0];
  this->child = ::fork();
  if (this->child == 0) {
    run_child(pointers.data(), ends[1], this->log_file);
  }
  ::close(ends[1]);
  if (this->child < 0) {
    this->close_files();
    throw std::runtime_error("could not fork for " + program);
  }
}

Process::~Process() {
  this->kill();
  this->close_files();
}

Process::Process(Process&& other) noexcept
    : child(std::exchange(other.child, -1)),
      stdout_pipe(std::exchange(other.stdout_pipe, -1)),
      log_file(std::exchange(other.log_file, -1)),
      ready(std::move(other.ready)),
      status(other.status) {}

Process& Process::operator=(Process&& other) noexcept {
  std::swap(this->child, other.child);
  std::swap(this->stdout_pipe, other.stdout_pipe);
  std::swap(this->log_file, other.log_file);
  std::swap(this->ready, other.ready);
  std::swap(this->status, other.status);
  return *this;
}

const boost::json::object& Process::ready_line() {
  if (!this->ready) {
    const auto limit = std::chrono::steady_clock::now() + kTestLimit;
    const auto line = read_line(this->stdout_pipe, limit);
    boost::system::error_code error;
    auto value = boost::json::parse(line, error);
    if (error || !value.is_object()) {
      throw std::runtime_error("no ready line but '" + line + "'; its log:\n" +
                               this->log());
    }
    this->ready = std::move(value.get_object());
  }
  return *this->ready;
}

std::uint16_t Process::port(const std::string& key) {
  return this->ready_line().at(key).to_number<std::uint16_t>();
}

void Process::signal(int number) {
  if (this->running()) {
    ::kill(this->child, number);
  }
}

std::optional<int> Process::terminate() {
  this->signal(SIGTERM);
  return this->wait();
}

void Process::kill() {
  if (this->child > 0 && !this->status) {
    ::kill(this->child, SIGKILL);
    this->reap(0);
  }
}

std::optional<int> Process::wait() {
  if (!wait_until([this] { return this->reap(WNOHANG); })) {
    throw std::runtime_error("did not end; its log:\n" + this->log());
  }
  if (!WIFEXITED(*this->status)) {
    return std::nullopt;
  }
  return WEXITSTATUS(*this->status);
}

bool Process::running() {
  return this->child > 0 && !this->reap(WNOHANG);
}

std::string Process::output() {
  static_cast<void>(this->ready_line());
  std::string text;
  char block[4096];
  for (ssize_t got = 0;
       (got = ::read(this->stdout_pipe, block, sizeof block)) > 0;) {
    text.append(block, static_cast<std::size_t>(got));
  }
  return text;
}

std::string Process::log() const {
  std::string text;
  char block[4096];
  off_t at = 0;
  // pread() leaves the offset alone, which the child shares.
  for (ssize_t got = 0;
       (got = ::pread(this->log_file, block, sizeof block, at)) > 0;
       at += got) {
    text.append(block, static_cast<std::size_t>(got));
  }
  return text;
}

bool Process::reap(int options) {
  if (!this->status) {
    int raw = 0;
    pid_t ended = 0;
    do {
      ended = ::waitpid(this->child, &raw, options);
    } while (ended < 0 && errno == EINTR);
    if (ended == this->child) {
      this->status = raw;
    }
  }
  return this->status.has_value();
}

void Process::close_files() noexcept {
  for (int* file : {&this->stdout_pipe, &this->log_file}) {
    if (*file >= 0) {
      ::close(std::exchange(*file, -1));
    }
  }
}

bool wait_until(const std::function<bool()>& reached) {
  const auto limit = std::chrono::steady_clock::now() + kTestLimit;
  while (!reached()) {
    if (std::chrono::steady_clock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(kPause);
  }
  return true;
}

}  // namespace ibismux::testing
