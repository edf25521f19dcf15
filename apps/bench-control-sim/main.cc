// Control traffic of fleets of 7 to 2,400 daemons, by the product's own
// decision classes in virtual time; docs/design/membership.md and spread.md use
// its figures.
//
//     bench-control-sim --sizes 7,30,100,200,800,2400

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "sim_fleet.h"

namespace {

using namespace std::chrono_literals;
using ibismux::bench::SimCounts;
using ibismux::bench::SimFleet;
using State = ibismux::membership::Member::State;

constexpr double kDaysSeconds = 86'400;
/// The size to design for, on which restarts and changes are scaled.
constexpr double kPlannedDaemons = 2400;
constexpr double kRestartsADay = 7500;
constexpr double kChangesADay = 5000;
constexpr auto kMeasured = 60s;
/// Larger fleets begin with all members known.
constexpr std::size_t kMostColdStart = 200;

struct Row {
  std::size_t daemons = 0;
  double idle_bytes = 0;  // Each a second and daemon, sent and received.
  double busy_bytes = 0;
  double release_bytes = 0;  // At exactly the planned pace.
  double platform_reads = 0;
  double reset_ms = 0;   // Until all suspect a killed daemon.
  double silent_ms = 0;  // Until all take a silent one for failed.
  double spread_ms = 0;  // The slowest of some releases.
  double join_ms = 0;
  double processor = 0;  // Share of one core a daemon, engines alone.
};

/// Lets time pass until `condition`. @return How long it took, in ms.
template <class Condition>
double until(SimFleet& fleet, Condition condition) {
  const auto begin = fleet.now();
  while (!condition() && fleet.now() - begin < 120s) {
    fleet.run(10ms);
  }
  return std::chrono::duration<double, std::milli>(fleet.now() - begin).count();
}

double per_daemon_second(std::uint64_t bytes, std::size_t daemons) {
  // Each byte is sent by one daemon and received by another.
  return 2.0 * static_cast<double>(bytes) /
         (static_cast<double>(daemons) *
          std::chrono::duration<double>(kMeasured).count());
}

/// Restarts and changes at the planned pace per daemon and fleet.
/// @return How many changes there were, of the planned that are no whole
/// number.
int run_busy(SimFleet& fleet, std::size_t daemons) {
  const double restarts = kRestartsADay / kDaysSeconds *
                          static_cast<double>(daemons) / kPlannedDaemons;
  const double changes = kChangesADay / kDaysSeconds;
  double restart_due = 0;
  double change_due = 0;
  int published = 0;
  for (auto passed = 0s; passed < kMeasured; passed += 1s) {
    restart_due += restarts;
    change_due += changes;
    if (restart_due >= 1) {
      restart_due -= 1;
      const std::size_t victim = fleet.random(daemons);
      fleet.leave(victim);
      fleet.run(500ms);
      fleet.kill(victim, true);
      fleet.run(100ms);
      fleet.restart(victim);
      fleet.run(400ms);
    } else {
      fleet.run(1s);
    }
    if (change_due >= 1) {
      change_due -= 1;
      ++published;
      fleet.publish(fleet.random(daemons));
    }
  }
  return published;
}

Row measure(std::size_t daemons, std::size_t head, std::size_t chunk) {
  Row row;
  row.daemons = daemons;
  SimFleet fleet(daemons, daemons < 100 ? 3 : 16, 1);
  fleet.head_bytes = head;
  fleet.chunk_bytes = chunk;
  if (daemons > kMostColdStart) {
    fleet.introduce_all();
  }
  fleet.publish(0);
  row.join_ms = until(fleet, [&] { return fleet.agreed(); });
  fleet.run(20s);
  const SimCounts idle = fleet.counts();
  const auto begin = std::chrono::steady_clock::now();
  fleet.run(kMeasured);
  const std::chrono::duration<double> wall =
      std::chrono::steady_clock::now() - begin;
  row.processor = wall.count() /
                  std::chrono::duration<double>(kMeasured).count() /
                  static_cast<double>(daemons);
  SimCounts busy = fleet.counts();
  row.idle_bytes =
      per_daemon_second(busy.membership_bytes + busy.relay_bytes -
                            idle.membership_bytes - idle.relay_bytes,
                        daemons);
  const double published = run_busy(fleet, daemons);
  const double planned = kChangesADay / kDaysSeconds *
                         std::chrono::duration<double>(kMeasured).count();
  const SimCounts& end = fleet.counts();
  row.busy_bytes =
      per_daemon_second(end.membership_bytes + end.relay_bytes -
                            busy.membership_bytes - busy.relay_bytes,
                        daemons);
  row.release_bytes =
      per_daemon_second(end.release_bytes - busy.release_bytes, daemons) *
      planned / published;
  row.platform_reads =
      static_cast<double>(end.platform_reads - busy.platform_reads) /
      std::chrono::duration<double>(kMeasured).count();
  fleet.run(5s);
  for (int i = 0; i < 5; ++i) {
    fleet.publish(fleet.random(daemons));
    const ibismux::Generation newest = fleet.newest_generation();
    row.spread_ms = std::max(
        row.spread_ms, until(fleet, [&] { return fleet.all_have(newest); }));
  }
  fleet.kill(1, true);
  row.reset_ms =
      until(fleet, [&] { return fleet.all_see(1, State::kSuspect); });
  fleet.kill(2, false);
  row.silent_ms =
      until(fleet, [&] { return fleet.all_see(2, State::kFailed); });
  return row;
}

void print(const std::vector<Row>& rows) {
  std::printf(
      "daemons  idle_B/s  busy_B/s  release_B/s  platform_reads/s  agree_ms  "
      "suspect_ms  failed_ms  spread_ms  core_share\n");
  for (const Row& row : rows) {
    std::printf(
        "%7zu  %8.0f  %8.0f  %11.0f  %16.3f  %8.0f  %10.0f  %9.0f  "
        "%9.0f  %9.4f%%\n",
        row.daemons, row.idle_bytes, row.busy_bytes, row.release_bytes,
        row.platform_reads, row.join_ms, row.reset_ms, row.silent_ms,
        row.spread_ms, 100 * row.processor);
  }
}

/// Least squares of bytes a second over daemons.
void print_slope(const std::vector<Row>& rows) {
  double n = 0;
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (const Row& row : rows) {
    const auto daemons = static_cast<double>(row.daemons);
    n += 1;
    x += daemons;
    y += row.busy_bytes;
    xx += daemons * daemons;
    xy += daemons * row.busy_bytes;
  }
  const double slope = (n * xy - x * y) / (n * xx - x * x);
  std::printf("busy bytes/s of a daemon = %.0f + %.4f x daemons\n",
              (y - slope * x) / n, slope);
}

}  // namespace

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::string sizes;
  std::size_t head = 0;
  std::size_t chunk = 0;
  options::options_description description("bench-control-sim");
  description.add_options()("help", "Prints this.")(
      "sizes", options::value(&sizes)->default_value("7,30,100,200,800,2400"),
      "How many daemons, several with commas.")(
      "head-bytes", options::value(&head)->default_value(2000),
      "Bytes of a head, as bench-release measures them.")(
      "chunk-bytes", options::value(&chunk)->default_value(4000),
      "Bytes of the chunks and index chunks of one change.");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  options::notify(values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  std::vector<Row> rows;
  std::stringstream list(sizes);
  for (std::string size; std::getline(list, size, ',');) {
    rows.push_back(measure(std::stoul(size), head, chunk));
    std::cerr << "measured " << size << " daemons\n";
  }
  print(rows);
  if (rows.size() > 1) {
    print_slope(rows);
  }
  return 0;
}
