// Measures one gateway before leafs that run already: open-loop calls of two
// priorities at random times.
//
//     ibismux-fake-leaf --leafs 3 --config '{"slots":2,"service_ms":10}'
//     bench-gateway --ports 40001,40002,40003 --slots 2 --rate 300 --seconds 10
//
// Prints one JSON object: answers, latencies and refusals by priority.

#include <prometheus/registry.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <pcg_random.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "ibismux/base/io_pool.h"
#include "ibismux/gateway/local_gateway.h"
#include "ibismux/gateway/ownership_strategy.h"
#include "ibismux/gateway/ownership_table.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/release/release.h"

namespace {

namespace options = boost::program_options;
using namespace ibismux;

constexpr int kBadInput = 2;
constexpr std::chrono::milliseconds kWarmUp{500};

struct Arguments {
  std::string address = "127.0.0.1";
  std::string ports;
  std::uint32_t slots = 2;
  std::uint32_t connections = 25;
  double rate = 100;        ///< Calls a second, over all leafs.
  double diagnostic = 0.5;  ///< Their share; the rest are of editors.
  double seconds = 10;
  std::int64_t deadline_ms = 1000;
  double ceiling = gateway::GatewaySettings().most_limit_per_slot;
  std::uint64_t seed = 1;
};

/// What came of the calls of one priority.
struct Outcomes {
  std::vector<double> answered_ms;
  std::size_t sent = 0;
  std::size_t overloaded = 0;
  std::size_t expired = 0;
  std::size_t other = 0;

  void add(const Result<std::string>& body, Duration took) {
    if (body) {
      this->answered_ms.push_back(
          std::chrono::duration<double, std::milli>(took).count());
    } else if (body.error().kind == ErrorKind::kOverloaded) {
      ++this->overloaded;
    } else if (body.error().kind == ErrorKind::kDeadlineExceeded) {
      ++this->expired;
    } else {
      ++this->other;
    }
  }

  [[nodiscard]] double quantile(double q) {
    if (this->answered_ms.empty()) {
      return 0;
    }
    std::sort(this->answered_ms.begin(), this->answered_ms.end());
    const double last = static_cast<double>(this->answered_ms.size() - 1);
    return this->answered_ms[static_cast<std::size_t>(q * last)];
  }

  [[nodiscard]] boost::json::object report() {
    return {{"sent", this->sent},
            {"answered", this->answered_ms.size()},
            {"overloaded", this->overloaded},
            {"expired", this->expired},
            {"other", this->other},
            {"p50_ms", this->quantile(0.5)},
            {"p99_ms", this->quantile(0.99)}};
  }
};

/// The calls under way and what came of those that ended.
class Ledger {
 public:
  void sent(Priority priority) {
    std::lock_guard lock(this->mutex);
    ++this->of(priority).sent;
    ++this->open;
  }

  void ended(Priority priority,
             const gateway::LeafAnswer& answer,
             Duration took) {
    std::lock_guard lock(this->mutex);
    this->of(priority).add(answer.body, took);
    --this->open;
    this->changed.notify_all();
  }

  void wait_for_all() {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [this] { return this->open == 0; });
  }

  [[nodiscard]] Outcomes& of(Priority priority) {
    return this->outcomes[static_cast<std::size_t>(priority)];
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t open = 0;
  std::array<Outcomes, kPriorities> outcomes;
};

release::Release make_release(const Arguments& arguments) {
  std::vector<std::string> ports;
  boost::split(ports, arguments.ports, boost::is_any_of(","));
  release::Release release;
  for (const std::string& port : ports) {
    release::BackendServer leaf;
    leaf.name = "leaf-" + port;
    leaf.address = arguments.address;
    leaf.port = static_cast<std::uint16_t>(std::stoul(port));
    leaf.slots = arguments.slots;
    leaf.connections = arguments.connections;
    release.leafs.push_back(std::move(leaf));
  }
  return release;
}

void send_one(gateway::LocalGateway& gateway,
              IoPool& pool,
              Ledger& ledger,
              const Arguments& arguments,
              const std::string& leaf,
              Priority priority,
              std::uint64_t sequence) {
  const TimePoint now = Clock::now();
  gateway::LeafCallBatch batch;
  batch.origin = 1;
  batch.snapshot = "s";
  batch.priority = priority;
  batch.deadline = now + std::chrono::milliseconds(arguments.deadline_ms);
  batch.body = std::make_shared<const std::string>("query");
  batch.items.push_back({sequence, leaf, "shard"});
  ledger.sent(priority);
  gateway.call(std::move(batch), pool.at(0).get_executor(),
               [&ledger, priority, now](const gateway::LeafAnswer& answer) {
                 ledger.ended(priority, answer, Clock::now() - now);
               });
}

void send_all(gateway::LocalGateway& gateway,
              IoPool& pool,
              Ledger& ledger,
              const Arguments& arguments,
              const release::Release& release) {
  pcg64 random(arguments.seed);
  std::exponential_distribution<double> gap(arguments.rate);
  std::uniform_real_distribution<double> share(0, 1);
  std::uniform_int_distribution<std::size_t> pick(0, release.leafs.size() - 1);
  TimePoint next = Clock::now();
  const TimePoint end =
      next + std::chrono::duration_cast<Duration>(
                 std::chrono::duration<double>(arguments.seconds));
  for (std::uint64_t sequence = 1; next < end; ++sequence) {
    std::this_thread::sleep_until(next);
    const Priority priority = share(random) < arguments.diagnostic
                                  ? Priority::kDiagnostic
                                  : Priority::kEditor;
    send_one(gateway, pool, ledger, arguments, release.leafs[pick(random)].name,
             priority, sequence);
    next += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random)));
  }
}

void run(const Arguments& arguments) {
  const release::Release release = make_release(arguments);
  membership::MembershipView view;
  view.self = "host";
  view.members.push_back({"host", 1, "", 0, "", {}});
  prometheus::Registry metrics;
  IoPool pool(2);
  Ledger ledger;
  gateway::GatewaySettings settings;
  settings.most_limit_per_slot = arguments.ceiling;
  gateway::LocalGateway gateway(pool, metrics, settings);
  pool.start();
  gateway.apply(release,
                *gateway::make_ownership("gateway")->assign(release, view));
  std::this_thread::sleep_for(kWarmUp);
  send_all(gateway, pool, ledger, arguments, release);
  ledger.wait_for_all();
  pool.stop();
  std::cout << boost::json::serialize(boost::json::object{
                   {"rate", arguments.rate},
                   {"ceiling", arguments.ceiling},
                   {"diagnostic", ledger.of(Priority::kDiagnostic).report()},
                   {"editor", ledger.of(Priority::kEditor).report()}})
            << std::endl;
}

options::options_description describe(Arguments& arguments) {
  options::options_description description("bench-gateway");
  auto add = description.add_options();
  add("address", options::value(&arguments.address));
  add("ports", options::value(&arguments.ports)->required(), "by commas");
  add("slots", options::value(&arguments.slots));
  add("connections", options::value(&arguments.connections));
  add("rate", options::value(&arguments.rate), "calls a second, in all");
  add("diagnostic", options::value(&arguments.diagnostic), "their share");
  add("seconds", options::value(&arguments.seconds));
  add("deadline-ms", options::value(&arguments.deadline_ms));
  add("ceiling", options::value(&arguments.ceiling),
      "most of a leaf's limit, in slots");
  add("seed", options::value(&arguments.seed));
  return description;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, describe(arguments)),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "bench-gateway: " << error.what() << '\n';
    return kBadInput;
  }
  run(arguments);
  return 0;
}
