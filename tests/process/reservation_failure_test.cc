#include <boost/json/parse.hpp>
#include <csignal>
#include <future>
#include <memory>

#include "tests/process/declared_site.h"
#include "tests/process/recorded_load.h"

#include <criterion/criterion.h>

namespace ibismux {
namespace {

constexpr int kReservations = 12;

std::string key_of(int i) {
  return "order-" + std::to_string(i);
}

http::Response reserve_under(DeclaredSite& site,
                             std::size_t daemon,
                             const std::string& key) {
  return site.call(daemon, "/v1/services/manuals/reservations", "one element",
                   {{"Idempotency-Key", key},
                    {"X-Item", "kettle"},
                    {"X-Deadline-Ms", "4000"}});
}

http::Response reserve(DeclaredSite& site, std::size_t daemon, int i) {
  return reserve_under(site, daemon, key_of(i));
}

/// Whether the leafs' own record agrees with the answers: no key more than
/// once, and none that was answered "not run".
bool ran_at_most_once(DeclaredSite& site) {
  for (const auto& [key, runs] : site.reservation_runs()) {
    if (runs > 1) {
      return false;
    }
  }
  return true;
}

/// A refusal that says "not run" while the key was run.
bool lied(DeclaredSite& site, int i, const http::Response& answer) {
  const auto body = boost::json::parse(answer.body);
  const auto* execution = body.as_object().if_contains("execution");
  return execution != nullptr && execution->as_string() == "not_run" &&
         site.reservation_runs().contains(key_of(i));
}

// Failure: a spare is promised to two families.
Test(reservation_failure, lost_answers_of_the_platform_double_no_reservation) {
  DeclaredSite site(2);
  site.platform_faults(R"({"lose_answers":0.5,"seed":5})");
  for (int i = 0; i < kReservations; ++i) {
    const auto first = reserve(site, 0, i);
    cr_assert(!lied(site, i, first), "%s", first.body.c_str());
    (void)reserve(site, 1, i);
  }
  site.platform_faults(R"({"lose_answers":0})");
  for (int i = 0; i < kReservations; ++i) {
    (void)reserve(site, i % 2, i);
  }
  cr_assert(ran_at_most_once(site));
  cr_assert(!site.reservation_runs().empty());
}

// Failure: an order is carried out twice.
Test(reservation_failure, a_daemon_killed_on_the_way_doubles_no_reservation) {
  DeclaredSite site(2);
  site.leaf_config(R"({"service_ms":300})");
  auto first = std::async(std::launch::async, [&site] {
    try {
      return reserve(site, 0, 1).status;
    } catch (const std::exception&) {
      return 0;
    }
  });
  // The claim stands before the order is sent.
  cr_assert(testing::wait_until(
      [&site] { return site.platform_object_count("claims") > 0; }));
  site.daemon(0).kill();
  (void)first.get();
  for (int attempt = 0; attempt < 3; ++attempt) {
    const auto again = reserve(site, 1, 1);
    cr_assert(!lied(site, 1, again), "%s", again.body.c_str());
  }
  cr_assert(ran_at_most_once(site));
}

// Failure: an order runs that nobody will know of when it is sent again.
Test(reservation_failure, without_the_platform_a_key_runs_nothing) {
  DeclaredSite site(2);
  site.platform().kill();
  const auto refused = reserve(site, 0, 1);
  cr_assert(refused.status >= 500, "%s", refused.body.c_str());
  const auto body = boost::json::parse(refused.body);
  cr_assert(body.at("execution").as_string() == "unknown");
  cr_assert(site.reservation_runs().empty());
}

Test(reservation_failure, without_the_platform_a_ticket_runs_once) {
  DeclaredSite site(2);
  site.platform().kill();
  const auto issued = site.call(0, "/v1/tickets", "");
  const std::string ticket(
      boost::json::parse(issued.body).at("ticket").as_string());
  for (std::size_t daemon : {0, 0, 1}) {
    (void)reserve_under(site, daemon, ticket);
  }
  const auto runs = site.reservation_runs();
  cr_assert(runs.size() == 1 && runs.at(ticket) == 1);
}

// Failure: an order runs twice, or is said not to have run though it did.
Test(reservation_failure, daemons_that_wake_double_no_key_sent_through_all) {
  const std::vector<std::size_t> all{0, 1, 2, 3};
  DeclaredSite site(all.size());
  std::vector<std::unique_ptr<RecordedLoad>> loads;
  for (const std::size_t frozen : all) {
    cr_assert(site.come_to_see(all, all.size()));
    const std::size_t before = site.reservation_runs().size();
    loads.push_back(std::make_unique<RecordedLoad>(
        site, all, 41 + static_cast<int>(frozen), 5, 1.0));
    cr_assert(site.come_to_run(before + 10));
    site.daemon(frozen).signal(SIGSTOP);
    std::vector<std::size_t> others = all;
    std::erase(others, frozen);
    cr_assert(site.come_to_see(others, others.size()));
    site.daemon(frozen).signal(SIGCONT);
    cr_assert(loads.back()->end() > 0);
  }
  std::vector<std::string> files{site.leaf_history()};
  for (const auto& load : loads) {
    files.push_back(load->history());
  }
  const std::string violations = violations_in(files);
  cr_assert(violations.empty(), "%s", violations.c_str());
}

}  // namespace
}  // namespace ibismux
