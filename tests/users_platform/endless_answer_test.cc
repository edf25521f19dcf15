// Leafs whose bytes never end, with real processes.

#include "tests/users_platform/edge_site.h"

#include <criterion/criterion.h>

#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

namespace ibismux::testing {
namespace {

// What the users' hosts allow a daemon.
constexpr std::size_t kMaxMemoryMb = 260;

/// The most memory that process `pid` has used.
std::size_t peak_memory_mb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  const std::string key = "VmHWM:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(key)) {
      return std::stoul(line.substr(key.size())) / 1024;
    }
  }
  return 0;
}

/// Has many callers ask leafs that answer with endless `bytes` at once.
/// @return The most memory that the daemon has used.
std::size_t peak_memory_with(const std::string& bytes) {
  // AddressSanitizer would keep 256 MB of memory that the daemon has freed.
  const char* options = std::getenv("ASAN_OPTIONS");
  const std::string quarantine = "quarantine_size_mb=4";
  ::setenv("ASAN_OPTIONS",
           (options ? options + (":" + quarantine) : quarantine).c_str(), 1);
  constexpr std::size_t kReplicas = 30;
  constexpr std::size_t kCallers = 200;
  EdgeSite site(1, std::chrono::milliseconds(100), std::chrono::seconds(9),
                kReplicas);
  cr_assert(site.wait_until_ready());
  site.fake("PUT", "leafs", R"({"service":"desk","endless":")" + bytes + "\"}");
  // The leafs' former runs still answer.
  int tries = 0;
  cr_assert(wait_until([&] {
    const std::string id = "t" + std::to_string(++tries);
    return site.call(id, "/page/1").value().status != 200;
  }));
  std::vector<int> statuses(kCallers);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const auto answer = site.call("r" + std::to_string(i), "/page/1");
      statuses[i] = answer ? answer->status : 0;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (std::size_t i = 0; i < kCallers; ++i) {
    cr_assert(statuses[i] >= 500, "%s: %d, %d runs", bytes.c_str(), statuses[i],
              site.runs("desk", "r" + std::to_string(i)));
  }
  cr_assert(site.daemon().running(), "%s", bytes.c_str());
  cr_assert(site.call("q1", "/query/1").value().status == 200);
  return peak_memory_mb(site.daemon().pid());
}

// Guards against leafs whose bodies never end and fill the memory of the
// daemon, which is then killed.
Test(endless_answer, bodies_take_no_more_memory_than_a_daemon_has) {
  for (const char* bytes : {"body", "chunks"}) {
    const std::size_t peak = peak_memory_with(bytes);
    cr_assert(peak < kMaxMemoryMb, "%s: %zu MB", bytes, peak);
  }
}

// The same of heads that never end.
Test(endless_answer, heads_take_no_more_memory_than_a_daemon_has) {
  for (const char* bytes : {"head", "chunk_head", "noise"}) {
    const std::size_t peak = peak_memory_with(bytes);
    cr_assert(peak < kMaxMemoryMb, "%s: %zu MB", bytes, peak);
  }
}

// The same of responses that are no answer and follow each other without end.
Test(endless_answer, dropped_responses_take_no_more_memory_than_there_is) {
  for (const char* bytes : {"interim", "late"}) {
    const std::size_t peak = peak_memory_with(bytes);
    cr_assert(peak < kMaxMemoryMb, "%s: %zu MB", bytes, peak);
  }
}

}  // namespace
}  // namespace ibismux::testing
