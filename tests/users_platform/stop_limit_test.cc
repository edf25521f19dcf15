// Stops of a daemon that run out of time, with real processes.

#include "tests/users_platform/edge_site.h"

#include <criterion/criterion.h>
#include <signal.h>

#include <string>
#include <thread>
#include <vector>

namespace ibismux::testing {
namespace {

/// A route to the service "desk" on which requests may take a minute.
std::string patient_route(const std::string& name, const std::string& type) {
  return R"({"Name":")" + name +
         R"(","Host":"search.example","PathPrefix":"/)" + name +
         R"(/","Type":")" + type +
         R"(","TimeoutMs":60000,"TargetLatencyMs":30000,"MaxAttempts":2,)" +
         R"("Service":"desk"})";
}

/// A daemon, stopped within two seconds, whose leafs take requests of the desk
/// and never answer.
class SilentSite {
 public:
  SilentSite()
      : site(1, std::chrono::milliseconds(100), std::chrono::seconds(2)) {}

  bool start() {
    if (!this->site.wait_until_ready()) {
      return false;
    }
    this->site.fake(
        "PUT", "config",
        configuration(9, patient_route("page", "idempotent") + "," +
                             patient_route("job", "non_idempotent")));
    int number = 0;
    const bool configured = wait_until([&] {
      return this->site.call("n" + std::to_string(++number), "/job/1")
                 .value()
                 .status == 200;
    });
    this->site.fake("PUT", "leafs", R"({"service":"desk","silent":true})");
    return configured;
  }

  /// Sends requests, each from a thread of its own.
  void send(const std::string& path, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->answers.push_back(fail(ErrorKind::kInternal, "not sent"));
    }
    for (std::size_t i = 0; i < count; ++i) {
      this->callers.emplace_back([this, i, path] {
        this->answers[i] = this->site.call(name(i), path, "GET", {}, 60'000);
      });
    }
  }

  static std::string name(std::size_t i) { return "r" + std::to_string(i); }

  std::size_t run_count() {
    std::size_t count = 0;
    const auto all = this->site.fake("GET", "runs");
    for (std::size_t i = 0; i < this->answers.size(); ++i) {
      count += all.at("desk").as_object().contains(name(i)) ? 1 : 0;
    }
    return count;
  }

  /// Stops the daemon; returns once all requests have ended.
  void stop() {
    this->site.daemon().signal(SIGTERM);
    for (std::thread& caller : this->callers) {
      caller.join();
    }
  }

  EdgeSite site;
  std::vector<Result<http::Response>> answers;

 private:
  std::vector<std::thread> callers;
};

// Guards against requests that are closed without an answer when a leaf is
// silent for longer than the stop of a daemon may take.
Test(stop_limit, requests_passed_on_are_answered_when_a_stop_runs_out_of_time) {
  for (const char* path : {"/page/1", "/job/1"}) {
    SilentSite silent;
    cr_assert(silent.start());
    silent.send(path, 2);
    cr_assert(wait_until([&] { return silent.run_count() == 2; }));
    silent.stop();
    for (const auto& answer : silent.answers) {
      cr_assert(answer.has_value(), "%s: %s", path,
                answer.error().message.c_str());
      cr_assert(answer->status == 504, "%s: %d", path, answer->status);
    }
    cr_assert(silent.site.daemon().wait() == 0);
  }
}

// Guards against requests that wait for a leaf and end without an answer, or
// with one that doesn't say that they were not run.
Test(stop_limit, waiting_requests_are_refused_when_a_stop_runs_out_of_time) {
  constexpr std::size_t kRequests = 150;
  SilentSite silent;
  cr_assert(silent.start());
  silent.send("/job/1", kRequests);
  cr_assert(wait_until([&] {
    return silent.site.metrics().find(
               "ibismux_caller_requests_open{phase=\"handling\"} 150") !=
           std::string::npos;
  }));
  silent.stop();
  const auto all = silent.site.fake("GET", "runs");
  std::size_t refused = 0;
  for (std::size_t i = 0; i < kRequests; ++i) {
    const auto& answer = silent.answers[i];
    const bool ran = all.at("desk").as_object().contains(SilentSite::name(i));
    cr_assert(answer.has_value(), "%s", answer.error().message.c_str());
    cr_assert(answer->status == (ran ? 504 : 503), "%d", answer->status);
    cr_assert(ran || !answer->field("Retry-After").empty());
    refused += ran ? 0 : 1;
  }
  cr_assert(refused > 0);
  cr_assert(silent.site.daemon().wait() == 0);
}

// Guards against a daemon that runs until SIGKILL because a periodic timer that
// expires together with SIGTERM aborts the wait of the shutdown.
Test(stop_limit, a_daemon_ends_that_is_late_when_it_is_stopped) {
  EdgeSite site(0, std::chrono::milliseconds(100), std::chrono::seconds(2));
  site.start_daemon({}, "ibismux-edge-late");
  cr_assert(site.wait_until_ready());
  site.daemon().signal(SIGTERM);
  cr_assert(wait_until([&] { return !site.daemon().running(); }));
  cr_assert(site.daemon().wait() == 0);
}

// Guards against a signal that ends the daemon because it comes just after the
// line that says that the daemon serves.
Test(stop_limit, signals_are_handled_from_the_start_line_on) {
  constexpr int kStarts = 40;
  for (int i = 0; i < kStarts; ++i) {
    EdgeSite site(1, std::chrono::milliseconds(1));
    cr_assert(site.daemon().port("caller_port") > 0);
    site.daemon().signal(SIGHUP);
    site.daemon().signal(SIGTERM);
    const auto status = site.daemon().wait();
    cr_assert(status == 0, "start %d: %d", i, status.value_or(-1));
  }
}

// Guards against requests that are cut by a daemon whose event loop is late at
// the moment in which it should answer them.
Test(stop_limit, requests_are_answered_by_a_daemon_that_is_late_at_the_limit) {
  SilentSite silent;
  cr_assert(silent.start());
  silent.send("/page/1", 2);
  cr_assert(wait_until([&] { return silent.run_count() == 2; }));
  std::thread pause([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(1400));
    silent.site.daemon().signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(520));
    silent.site.daemon().signal(SIGCONT);
  });
  silent.stop();
  pause.join();
  for (const auto& answer : silent.answers) {
    cr_assert(answer.has_value(), "%s", answer.error().message.c_str());
    cr_assert(answer->status == 504, "%d", answer->status);
  }
}

}  // namespace
}  // namespace ibismux::testing
