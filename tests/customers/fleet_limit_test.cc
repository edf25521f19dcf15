// Limits of customers in a simulated fleet, in virtual time: the loads that
// they must hold for, and faults between the daemons.

#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/customers/owner_selector.h"
#include "ibismux/customers/rate_check.h"
#include "ibismux/customers/rate_owner.h"
#include "ibismux/customers/rate_parts.h"
#include "ibismux/customers/token_wait.h"
#include "ibismux/customers/ungranted_allowance.h"

#include <criterion/criterion.h>

namespace ibismux::customers::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RateTolerance kTolerance{seconds(5), 0.1, 20};
// A request that runs within this time is answered within 120 ms.
constexpr milliseconds kRoom{100};

/// Daemons that make the decisions of `RateLimiter`. Daemons of different
/// `sides` don't reach each other.
class FleetModel {
 public:
  /// @param waits Whether requests wait for tokens, and refused callers are
  /// told later times under long loads.
  explicit FleetModel(std::size_t hosts, bool waits = false)
      : waits(waits), sides(hosts, 0) {
    for (std::size_t i = 0; i < hosts; ++i) {
      this->restart(i);
    }
  }

  /// A new process on host `i`, which knows nothing.
  void restart(std::size_t i) {
    this->daemons.resize(this->sides.size());
    this->daemons[i] = std::make_unique<Daemon>(this->waits);
    std::erase_if(this->waiting,
                  [i](const auto& entry) { return entry.second.host == i; });
    this->update(i);
  }

  /// Host `i` is cut off, or back on the side of the others.
  void move(std::size_t i, int side) { this->sides[i] = side; }

  /// All failure detectors have noticed who reaches whom.
  void detect() {
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      this->update(i);
    }
  }

  void advance(Duration time) {
    const TimePoint end = this->now + time;
    while (!this->waiting.empty() && this->waiting.begin()->first <= end) {
      const auto [wake, request] = *this->waiting.begin();
      this->waiting.erase(this->waiting.begin());
      this->now = std::max(this->now, wake);
      this->daemons[request.host]->token_wait.release(0);
      this->ask(request);
    }
    this->now = end;
  }

  /// A request of the customer that arrives at host `i`.
  void request(std::size_t i, const RateLimit& limit, bool is_late = false) {
    ++this->asked;
    RateCheck check;
    check.customer.limit = limit;
    check.latest_start = this->now + kRoom;
    check.is_late = is_late;
    this->ask({i, check, {}, 0});
  }

  /// The most requests that ran in any window.
  [[nodiscard]] std::size_t busiest_window() const { return this->busiest; }
  [[nodiscard]] std::size_t total_run() const { return this->total; }
  [[nodiscard]] std::size_t total_asked() const { return this->asked; }

 private:
  struct Daemon {
    explicit Daemon(bool paces_returns) : owned(kTolerance, paces_returns) {}

    OwnerSelector selector;
    RateOwner owned;
    UngrantedAllowance ungranted{kTolerance.window};
    TokenWait token_wait{WaitingRoom::Limits{}};
  };

  struct Request {
    std::size_t host;
    RateCheck check;
    std::string promised_by;
    int waits;
  };

  void ask(Request request) {
    const std::size_t i = request.host;
    const RateLimit& limit = request.check.customer.limit;
    Daemon& daemon = *this->daemons[i];
    bool all_reached = true;
    std::optional<TimePoint> next_fit;
    std::vector<std::string> owners = daemon.selector.owners("c");
    std::stable_partition(
        owners.begin(), owners.end(),
        [by = request.promised_by](const auto& name) { return name == by; });
    for (const std::string& name : owners) {
      const std::size_t owner = std::stoul(name);
      if (this->sides[owner] != this->sides[i]) {
        all_reached = false;
        continue;
      }
      Daemon& other = *this->daemons[owner];
      const bool is_vouched_for = owner != i || other.owned.knows("c") ||
                                  other.selector.is_settled(this->now);
      if (!is_vouched_for || !other.selector.is_owner(name, "c")) {
        all_reached = false;
        continue;
      }
      const TimePoint since = other.selector.owner_since(name, "c");
      const RateOwner::Decision decision = other.owned.take(
          "c", limit, 1, request.check.is_late, since, this->now);
      if (decision.granted) {
        daemon.ungranted.on_grant(
            RateParts(limit, kTolerance).ungranted_share(), this->now);
        this->run();
        return;
      }
      const TimePoint fit = this->now + decision.retry_after;
      if (!next_fit || fit < *next_fit) {
        next_fit = fit;
        request.promised_by = name;
      }
    }
    if ((!all_reached || daemon.selector.owners("c").empty()) &&
        daemon.ungranted.take(this->now)) {
      this->run();
      return;
    }
    if (this->waits && next_fit) {
      const auto wake = daemon.token_wait.decide(request.check, *next_fit,
                                                 request.waits, this->now);
      if (wake) {
        ++request.waits;
        this->waiting.emplace(*wake, std::move(request));
      }
    }
  }

  void update(std::size_t i) {
    std::vector<OwnerSelector::Candidate> reached;
    for (std::size_t j = 0; j < this->sides.size(); ++j) {
      if (this->sides[j] == this->sides[i]) {
        reached.push_back({std::to_string(j), "z" + std::to_string(j % 3)});
      }
    }
    Daemon& daemon = *this->daemons[i];
    if (daemon.selector.on_members(reached, this->sides.size(), this->now)) {
      daemon.owned.retain([&](const std::string& customer) {
        return daemon.selector.is_owner(std::to_string(i), customer);
      });
    }
  }

  void run() {
    ++this->total;
    this->runs.push_back(this->now);
    while (this->now - this->runs.front() > kTolerance.window) {
      this->runs.pop_front();
    }
    this->busiest = std::max(this->busiest, this->runs.size());
  }

  const bool waits;
  TimePoint now = Clock::now();
  std::multimap<TimePoint, Request> waiting;  ///< By when they ask again.
  std::vector<int> sides;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::deque<TimePoint> runs;
  std::size_t busiest = 0;
  std::size_t total = 0;
  std::size_t asked = 0;
};

double allowed(const RateLimit& limit) {
  return (limit.per_second * 5 + limit.burst) * 1.1 + 20;
}

/// Sends `per_second` requests for `time`, the n-th one to host `host(n)`.
void load(FleetModel& fleet,
          const RateLimit& limit,
          double per_second,
          Duration time,
          const std::function<std::size_t(std::size_t)>& host) {
  const auto count = static_cast<std::size_t>(to_seconds(time) * per_second);
  for (std::size_t n = 0; n < count; ++n) {
    fleet.advance(scaled(time, 1.0 / static_cast<double>(count)));
    fleet.request(host(n), limit);
  }
}

/// The share of requests that run when a customer asks for exactly its rate.
double share_served(const std::function<std::size_t(std::size_t)>& host) {
  FleetModel fleet(74);
  fleet.advance(seconds(14));
  const RateLimit limit{44, 0};
  load(fleet, limit, 44, seconds(20), host);
  return static_cast<double>(fleet.total_run()) /
         static_cast<double>(fleet.total_asked());
}

Test(fleet_limit, demand_at_one_host_is_served) {
  cr_assert(share_served([](std::size_t) { return 5; }) >= 0.95);
}

Test(fleet_limit, demand_that_moves_each_second_is_served) {
  cr_assert(share_served([](std::size_t n) { return n / 44 % 74; }) >= 0.95);
}

Test(fleet_limit, demand_at_all_hosts_is_served) {
  cr_assert(share_served([](std::size_t n) { return n * 31 % 74; }) >= 0.95);
}

Test(fleet_limit, one_hot_customer_is_held_to_its_limit) {
  FleetModel fleet(74);
  fleet.advance(seconds(60));
  const RateLimit limit{44, 10};
  load(fleet, limit, 330, seconds(20), [](std::size_t n) { return n % 74; });
  cr_assert(fleet.busiest_window() <= allowed(limit));
  cr_assert(fleet.total_run() >= 44 * 20);
}

Test(fleet_limit, a_rate_of_one_holds_over_a_thousand_hosts) {
  FleetModel fleet(1000);
  fleet.advance(seconds(60));
  const RateLimit limit{1, 0};
  load(fleet, limit, 200, seconds(10), [](std::size_t n) { return n % 1000; });
  cr_assert(fleet.busiest_window() <= allowed(limit));
  cr_assert(fleet.total_run() >= 10);
}

Test(fleet_limit, half_of_the_fleet_cut_off) {
  FleetModel fleet(74);
  fleet.advance(seconds(60));
  const RateLimit limit{44, 10};
  const auto all = [](std::size_t n) { return n % 74; };
  load(fleet, limit, 330, seconds(6), all);
  for (std::size_t i = 0; i < 37; ++i) {
    fleet.move(i, 1);
  }
  load(fleet, limit, 330, seconds(2), all);
  fleet.detect();
  load(fleet, limit, 330, seconds(10), all);
  cr_assert(fleet.busiest_window() <= allowed(limit));
}

// Guards against a loss of most of a customer's requests while one owner of
// its limit is down.
Test(fleet_limit, usual_demand_is_served_while_an_owner_is_away) {
  FleetModel fleet(74);
  fleet.advance(seconds(60));
  const RateLimit limit{48, 0};
  for (std::size_t i = 0; i < 74; i += 3) {
    fleet.move(i, 1);  // A whole zone, and with it one owner.
  }
  load(fleet, limit, 30, seconds(20),
       [](std::size_t n) { return n % 24 * 3 + 1; });
  cr_assert(static_cast<double>(fleet.total_run()) >=
            0.95 * static_cast<double>(fleet.total_asked()));
}

/// The share of requests that run in time in the first second of a fleet whose
/// daemons were all killed, for a customer at half its limit.
double share_after_loss(const RateLimit& limit, bool waits) {
  constexpr int kPhases = 20;
  std::size_t run = 0;
  std::size_t asked = 0;
  const Duration interval = scaled(seconds(1), 2 / limit.per_second);
  for (int phase = 0; phase < kPhases; ++phase) {
    FleetModel fleet(74, waits);
    fleet.advance(scaled(interval, static_cast<double>(phase) / kPhases));
    for (Duration at{0}; at < seconds(1); at += interval) {
      fleet.request(fleet.total_asked() * 31 % 74, limit);
      fleet.advance(interval);
    }
    fleet.advance(kRoom);
    run += fleet.total_run();
    asked += fleet.total_asked();
  }
  return static_cast<double>(run) / static_cast<double>(asked);
}

// Guards against refusals just after a loss of all owners, whose buckets are
// empty, of customers far within their limits.
Test(fleet_limit, usual_demand_is_served_after_a_loss_of_all_owners) {
  for (const double rate : {20.0, 60.0}) {
    const double before = share_after_loss({rate, 0}, false);
    const double after = share_after_loss({rate, 0}, true);
    cr_assert((1 - after) <= (1 - before) / 2, "%f before, %f after", before,
              after);
  }
}

/// One random run of requests and faults. @return The most requests in any
/// window.
std::size_t play(const std::vector<unsigned>& choices,
                 const RateLimit& limit,
                 bool waits) {
  constexpr std::size_t kHosts = 9;
  FleetModel fleet(kHosts, waits);
  for (const unsigned choice : choices) {
    const std::size_t host = choice / 16 % kHosts;
    switch (choice % 16) {
      case 0:
        fleet.restart(host);
        break;
      case 1:
        fleet.move(host, 1);
        break;
      case 2:
        fleet.move(host, 0);
        break;
      case 3:
        fleet.detect();
        break;
      case 4:
        fleet.advance(seconds(1));
        break;
      default:
        fleet.advance(milliseconds(choice / 256 % 50));
        for (int i = 0; i < 8; ++i) {
          fleet.request(host, limit, choice % 3 == 0);
        }
    }
  }
  return fleet.busiest_window();
}

Test(fleet_limit, holds_under_any_order_of_cuts_and_restarts) {
  const bool holds = rc::check([] {
    const RateLimit limit{static_cast<double>(*rc::gen::inRange(1, 200)),
                          static_cast<double>(*rc::gen::inRange(0, 50))};
    const auto choices = *rc::gen::container<std::vector<unsigned>>(
        1000, rc::gen::inRange(0U, 1U << 20));
    for (const bool waits : {false, true}) {
      RC_ASSERT(static_cast<double>(play(choices, limit, waits)) <=
                allowed(limit));
    }
  });
  cr_assert(holds);
}

}  // namespace
}  // namespace ibismux::customers::testing
