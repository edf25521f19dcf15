#include <algorithm>
#include <boost/json/parse.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <utility>
#include <vector>

#include "tests/http/harness.h"
#include "tests/support/http_call.h"
#include "tests/support/site.h"

#include <criterion/criterion.h>

namespace ibismux {
namespace {

using Pending = std::future<Result<http::Response>>;
using Fields = std::vector<std::pair<std::string, std::string>>;

constexpr std::chrono::milliseconds kStopLimit{3000};

/// Daemons that must stop within `kStopLimit`, and leafs that take calls with a
/// deadline of a minute and never answer.
class SilentSite : public testing::Site {
 public:
  /// Whether all is set up, on all daemons.
  bool start(std::size_t daemons = 1) {
    this->set_stop_limit(kStopLimit);
    for (std::size_t i = 0; i < daemons; ++i) {
      this->start_daemon();
    }
    if (!this->declare_service(0)) {
      return false;
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      if (!this->wait_until_ready(i)) {
        return false;
      }
    }
    this->declare(0, "query_service:manuals", R"({"deadline_ms":60000})");
    const bool patient = this->wait_for_deadline(0, "manuals", 60'000);
    this->leaf_config(R"({"service_ms":600000})");
    return patient;
  }

  /// Sends a request from a thread of its own.
  Pending send(std::size_t daemon,
               const std::string& operation,
               const Fields& fields) {
    return std::async(std::launch::async, testing::http_call,
                      this->daemon(daemon).port("caller"), "POST",
                      "/v1/services/manuals/" + operation, "torque", fields);
  }

  /// Waits until `daemon` has connections to leafs, and makes all leafs answer
  /// but those.
  bool silence_leafs_of(std::size_t daemon) {
    std::vector<std::string> silent;
    const bool connected = testing::wait_until([&] {
      const auto status = this->status(daemon);
      for (const auto& leaf : status.at("leafs").as_array()) {
        if (leaf.at("connections").to_number<int>() > 0) {
          silent.emplace_back(leaf.at("name").as_string());
        }
      }
      return !silent.empty();
    });
    this->leaf_config(R"({"service_ms":1})");
    for (const std::string& leaf : silent) {
      this->leaf_config(R"({"service_ms":600000})", leaf);
    }
    return connected;
  }

  /// Whether calls through `daemon` come to run.
  bool comes_to_carry_calls(std::size_t daemon) {
    return testing::wait_until([&] {
      const auto status = this->status(daemon);
      const auto& leafs = status.at("leafs").as_array();
      return std::any_of(leafs.begin(), leafs.end(), [](const auto& leaf) {
        return leaf.at("in_flight").template to_number<int>() > 0;
      });
    });
  }

  /// Sends a request, waits until a leaf runs it, and sends SIGTERM. What the
  /// caller got.
  Result<http::Response> answer_at_stop(const std::string& operation,
                                        const Fields& fields) {
    Pending answer = this->send(0, operation, fields);
    const bool runs =
        testing::wait_until([this] { return this->running_calls() > 0; });
    this->daemon(0).signal(SIGTERM);
    Result<http::Response> got = answer.get();
    return runs ? std::move(got) : fail(ErrorKind::kInternal, "never ran");
  }
};

std::string member_of(const http::Response& response, const char* name) {
  return std::string(boost::json::parse(response.body).at(name).as_string());
}

// Guards against queries that end without an answer when a leaf is silent for
// longer than the stop of a daemon may take.
Test(stop_limit, a_query_is_answered_when_a_stop_runs_out_of_time) {
  SilentSite site;
  cr_assert(site.start(), "%s", site.logs().c_str());
  const auto answer = site.answer_at_stop("query", {});
  cr_assert(answer.has_value(), "%s", answer.error().message.c_str());
  cr_assert(answer->status == 504, "%d %s", answer->status,
            answer->body.c_str());
  cr_assert(member_of(*answer, "error") == "deadline_exceeded");
  cr_assert(member_of(*answer, "execution") == "unknown");
  cr_assert(site.daemon(0).wait() == 0);
}

// Guards against reservations that end without an answer in such a stop, or
// with one that says that they were not run.
Test(stop_limit, a_reservation_ends_as_unknown_when_a_stop_runs_out_of_time) {
  for (const Fields& key : {Fields{}, Fields{{"Idempotency-Key", "order-1"}}}) {
    SilentSite site;
    cr_assert(site.start(), "%s", site.logs().c_str());
    Fields fields = key;
    fields.emplace_back("X-Item", "kettle");
    const auto answer = site.answer_at_stop("reservations", fields);
    cr_assert(answer.has_value(), "%s", answer.error().message.c_str());
    cr_assert(answer->status == 502, "%d %s", answer->status,
              answer->body.c_str());
    cr_assert(member_of(*answer, "error") == "outcome_unknown");
    cr_assert(member_of(*answer, "execution") == "unknown");
    cr_assert(site.daemon(0).wait() == 0);
  }
}

// Guards against a repeat that arrives during a stop and is told that its key
// was not run.
Test(stop_limit, a_reservation_that_is_half_read_is_not_said_not_to_have_run) {
  SilentSite site;
  cr_assert(site.start(), "%s", site.logs().c_str());
  http::test::RawClient caller(site.daemon(0).port("caller"));
  caller.send(
      "POST /v1/services/manuals/reservations HTTP/1.1\r\n"
      "Idempotency-Key: order-1\r\nX-Item: kettle\r\n"
      "Content-Length: 9\r\n\r\none");
  site.daemon(0).signal(SIGTERM);
  const std::string text = caller.read_all();
  cr_assert(text.starts_with("HTTP/1.1 503 "), "%s", text.c_str());
  cr_assert(text.find(R"("execution":"unknown")") != std::string::npos);
  cr_assert(site.daemon(0).wait() == 0);
}

// Guards against queries that wait until their deadline for a daemon that has
// stopped and carried their calls.
Test(stop_limit, queries_of_peers_go_elsewhere_when_a_stop_runs_out_of_time) {
  constexpr std::size_t kQueries = 8;
  SilentSite site;
  cr_assert(site.start(2), "%s", site.logs().c_str());
  cr_assert(site.silence_leafs_of(0));
  std::vector<Pending> answers;
  for (std::size_t i = 0; i < kQueries; ++i) {
    answers.push_back(site.send(1, "query", {}));
  }
  cr_assert(site.comes_to_carry_calls(0));
  // Calls that run stay silent; those that come from now on are answered.
  site.leaf_config(R"({"service_ms":1})");
  cr_assert(site.daemon(0).terminate() == 0);
  for (Pending& pending : answers) {
    const auto answer = pending.get();
    cr_assert(answer.has_value(), "%s", answer.error().message.c_str());
    cr_assert(answer->status == 200, "%d %s", answer->status,
              answer->body.c_str());
  }
}

}  // namespace
}  // namespace ibismux
