// bench-claims: what group commit costs the platform and adds to a keyed
// reservation, on simulated time: real bucket writers, a made-up platform.
//
//     bench-claims --rates 10,100,1000 --platform-ms 4 --seconds 60
//
// One JSON line a rate: platform writes and bytes for each reservation, how
// long claims wait, how large heads grow.

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <random>
#include <sstream>
#include <string>
#include <unordered_map>
#include <vector>

#include "ibismux/reservation/bucket_writer.h"
#include "ibismux/reservation/key_hash.h"

namespace {

namespace options = boost::program_options;
using namespace ibismux;
using namespace ibismux::reservation;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::seconds;

struct Setup {
  double rate = 100;  ///< Reservations a second, of the whole fleet.
  microseconds platform{4000};
  microseconds leaf{20'000};
  seconds length{60};
  ReservationSettings settings;
};

/// A fleet's buckets, each with its one owner.
class Simulation {
 public:
  explicit Simulation(Setup setup) : setup(setup), random(1) {
    for (std::uint32_t i = 0; i < kBuckets; ++i) {
      this->buckets.push_back(
          std::make_unique<BucketState>(i, this->setup.settings));
    }
  }

  boost::json::object run() {
    this->at(TimePoint() + seconds(1), [this] { this->arrive(); });
    const TimePoint end = TimePoint() + seconds(1) + this->setup.length;
    while (!this->events.empty() && this->events.top().time <= end) {
      Event event = this->events.top();
      this->events.pop();
      this->now = event.time;
      event.action();
    }
    return this->report();
  }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return this->time != other.time ? this->time > other.time
                                      : this->order > other.order;
    }
  };
  struct Claim {
    KeyRecord record;
    TimePoint since;
  };
  struct BucketState {
    BucketState(std::uint32_t index, ReservationSettings settings)
        : writer(index, settings) {}
    BucketWriter writer;
    bool busy = false;
    std::unordered_map<std::uint64_t, Claim> claims;  ///< By ticket.
  };

  void at(TimePoint time, std::function<void()> action) {
    this->events.push({time, ++this->order, std::move(action)});
  }

  microseconds around(microseconds mean) {
    // Half of it is fixed, half has an exponential tail.
    std::exponential_distribution<> tail(2.0 / double(mean.count()));
    return mean / 2 + microseconds(std::int64_t(tail(this->random)));
  }

  void arrive() {
    KeyRecord record;
    record.key = {this->random(), this->random()};
    record.claim = {this->random(), this->random()};
    record.executor = {"host-" + std::to_string(this->random(7)), 1};
    BucketState& bucket = *this->buckets[bucket_of(record.key)];
    const auto ticket = bucket.writer.submit(
        {OperationKind::kClaim, record}, this->now, this->now + seconds(10));
    bucket.claims[ticket] = {record, this->now};
    this->step(bucket);
    std::exponential_distribution<> gap(this->setup.rate);
    this->at(
        this->now + microseconds(std::int64_t(gap(this->random) * 1'000'000)),
        [this] { this->arrive(); });
  }

  void step(BucketState& bucket) {
    if (bucket.busy) {
      return;
    }
    auto step =
        bucket.writer.next(this->now, seconds(1'000'000), this->random());
    this->deliver(bucket);
    if (step) {
      bucket.busy = true;
      this->at(this->now + this->around(this->setup.platform),
               [this, &bucket, step = std::move(*step)] {
                 this->answer(bucket, step);
               });
    } else if (bucket.writer.wake_at() != TimePoint::max()) {
      this->at(std::max(this->now + microseconds(1), bucket.writer.wake_at()),
               [this, &bucket] { this->step(bucket); });
    }
  }

  void answer(BucketState& bucket, const BucketWriter::Step& step) {
    using Kind = BucketWriter::Step::Kind;
    bucket.busy = false;
    if (step.kind == Kind::kLoadHead) {
      bucket.writer.on_head(fail(ErrorKind::kNotFound, ""), this->now);
    } else if (step.kind == Kind::kPutSegment || step.kind == Kind::kPutHead) {
      ++this->writes;
      this->bytes += step.value.size();
      this->largest = std::max(this->largest, step.value.size());
      if (step.kind == Kind::kPutSegment) {
        ++this->segments;
        bucket.writer.on_segment_put(++this->version);
      } else {
        bucket.writer.on_head_put(++this->version, this->now);
      }
    }
    this->deliver(bucket);
    this->step(bucket);
  }

  void deliver(BucketState& bucket) {
    for (auto& done : bucket.writer.take_completions()) {
      const auto found = bucket.claims.find(done.ticket);
      if (found == bucket.claims.end()) {
        continue;
      }
      this->waits.push_back(this->now - found->second.since);
      KeyRecord outcome = std::move(found->second.record);
      bucket.claims.erase(found);
      this->at(this->now + this->around(this->setup.leaf), [this, &bucket,
                                                            outcome]() mutable {
        outcome.state = RecordState::kRun;
        outcome.shard = "shard-1";
        outcome.result = std::string(60, 'r');
        (void)bucket.writer.submit({OperationKind::kRecord, std::move(outcome)},
                                   this->now, this->now + seconds(10));
        this->step(bucket);
      });
    }
  }

  double wait_ms(double quantile) {
    const auto rank = std::size_t(quantile * double(this->waits.size() - 1));
    std::nth_element(this->waits.begin(),
                     this->waits.begin() + std::ptrdiff_t(rank),
                     this->waits.end());
    return double(duration_cast<microseconds>(this->waits[rank]).count()) /
           1000;
  }

  boost::json::object report() {
    const auto count = double(this->waits.size());
    const auto length = double(this->setup.length.count());
    return {{"rate", this->setup.rate},
            {"reservations", this->waits.size()},
            {"writes_per_reservation", double(this->writes) / count},
            {"writes_per_second", double(this->writes) / length},
            {"bytes_per_second", double(this->bytes) / length},
            {"segments_per_hour", double(this->segments) / length * 3600},
            {"largest_value", this->largest},
            {"claim_p50_ms", this->wait_ms(0.5)},
            {"claim_p99_ms", this->wait_ms(0.99)}};
  }

  const Setup setup;
  pcg64 random;
  TimePoint now;
  std::uint64_t order = 0;
  std::priority_queue<Event> events;
  std::vector<std::unique_ptr<BucketState>> buckets;
  std::vector<Duration> waits;
  store::Version version = 0;
  std::size_t writes = 0;
  std::size_t bytes = 0;
  std::size_t segments = 0;
  std::size_t largest = 0;
};

}  // namespace

int main(int argc, char** argv) {
  options::options_description all("bench-claims [OPTIONS]");
  all.add_options()("help", "show this help")(
      "rates", options::value<std::string>()->default_value("10,100,1000"),
      "reservations a second, by commas")(
      "platform-ms", options::value<int>()->default_value(4),
      "mean time of a platform write")(
      "linger-ms", options::value<int>()->default_value(100),
      "least time between commits that are not full")(
      "seconds", options::value<int>()->default_value(60), "simulated length");
  options::variables_map given;
  options::store(options::parse_command_line(argc, argv, all), given);
  if (given.contains("help")) {
    std::cout << all;
    return 0;
  }
  std::istringstream rates(given["rates"].as<std::string>());
  for (std::string rate; std::getline(rates, rate, ',');) {
    Setup setup;
    setup.rate = std::stod(rate);
    setup.platform = std::chrono::milliseconds(given["platform-ms"].as<int>());
    setup.settings.linger =
        std::chrono::milliseconds(given["linger-ms"].as<int>());
    setup.length = seconds(given["seconds"].as<int>());
    std::cout << boost::json::serialize(Simulation(setup).run()) << std::endl;
  }
  return 0;
}
