// Stands before read() in the program "ibismux-edge-late", by the linker's
// --wrap: the event loop is late after it has read that SIGTERM has come, and
// before its handler runs.

#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstring>
#include <thread>

// The linker gives these two names.
extern "C" ssize_t __real_read(int file, void* buffer, std::size_t size);

extern "C" ssize_t __wrap_read(int file, void* buffer, std::size_t size) {
  // Longer than the interval of each periodic timer of the daemon.
  constexpr std::chrono::milliseconds kDelay{600};
  const ssize_t bytes = __real_read(file, buffer, size);
  int number = 0;
  if (size == sizeof number && bytes == sizeof number) {
    std::memcpy(&number, buffer, sizeof number);
    if (number == SIGTERM) {
      std::this_thread::sleep_for(kDelay);
    }
  }
  return bytes;
}
