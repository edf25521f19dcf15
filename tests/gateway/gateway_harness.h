#ifndef IBISMUX_TESTS_GATEWAY_GATEWAY_HARNESS_H_
#define IBISMUX_TESTS_GATEWAY_GATEWAY_HARNESS_H_

#include <prometheus/registry.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "ibismux/base/io_pool.h"
#include "ibismux/gateway/local_gateway.h"
#include "ibismux/gateway/ownership_strategy.h"
#include "ibismux/gateway/ownership_table.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/release/release.h"

namespace ibismux::gateway::testing {

/// No test waits longer than this for what must come.
inline constexpr Duration kPatience = std::chrono::seconds(30);

/// Collects answers as they come.
class Answers {
 public:
  [[nodiscard]] LeafCaller::Sink sink() {
    return [this](LeafAnswer answer) {
      std::lock_guard lock(this->mutex);
      this->all.push_back(std::move(answer));
      this->came.notify_all();
    };
  }

  /// Waits until `count` are here. @return Whether they came.
  [[nodiscard]] bool wait(std::size_t count) {
    std::unique_lock lock(this->mutex);
    return this->came.wait_for(lock, kPatience,
                               [&] { return this->all.size() >= count; });
  }

  [[nodiscard]] std::size_t size() {
    std::lock_guard lock(this->mutex);
    return this->all.size();
  }

  [[nodiscard]] const LeafAnswer& operator[](std::size_t i) {
    std::lock_guard lock(this->mutex);
    return this->all[i];
  }

 private:
  std::mutex mutex;
  std::condition_variable came;
  std::vector<LeafAnswer> all;
};

/// Polls `condition` until it holds. @return Whether it came to hold.
inline bool eventually(const std::function<bool()>& condition) {
  const TimePoint end = Clock::now() + kPatience;
  while (!condition()) {
    if (Clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

/// The metric `name` whose one label is `label`, or that has none.
inline double metric_of(const prometheus::Registry& metrics,
                        const std::string& name,
                        const std::string& label) {
  for (const auto& family : metrics.Collect()) {
    for (const auto& child : family.metric) {
      if (family.name == name &&
          (label.empty() || child.label.at(0).value == label)) {
        return child.counter.value + child.gauge.value;
      }
    }
  }
  return -1;
}

/// A local gateway that owns every leaf it is told of.
class GatewayHarness {
 public:
  explicit GatewayHarness(GatewaySettings settings = {})
      : pool(2), gateway(this->pool, this->metrics, settings) {
    this->pool.start();
  }

  ~GatewayHarness() { this->pool.stop(); }

  void apply(std::vector<release::BackendServer> leafs) {
    release::Release release;
    release.leafs = std::move(leafs);
    membership::MembershipView view;
    view.self = "host";
    view.members.push_back({"host", 1, "", 0, "", {}});
    this->gateway.apply(release,
                        *make_ownership("gateway")->assign(release, view));
  }

  /// Calls `leaf` with sequences from `first` on, `count` times.
  void call(Answers& answers,
            std::uint64_t first,
            std::size_t count = 1,
            LeafCallKind kind = LeafCallKind::kQuery,
            Duration allowed = std::chrono::seconds(20),
            const std::string& leaf = "leaf") {
    LeafCallBatch batch;
    batch.origin = 1;
    batch.kind = kind;
    batch.snapshot = "s";
    batch.deadline = Clock::now() + allowed;
    batch.body = std::make_shared<const std::string>("body");
    for (std::size_t i = 0; i < count; ++i) {
      batch.items.push_back({first + i, leaf, "shard"});
    }
    this->gateway.call(std::move(batch), this->pool.at(0).get_executor(),
                       answers.sink());
  }

  [[nodiscard]] LeafStatus status(const std::string& leaf = "leaf") {
    auto all = boost::asio::co_spawn(this->pool.at(0), this->gateway.status(),
                                     boost::asio::use_future);
    for (const LeafStatus& status : all.get()) {
      if (status.leaf == leaf) {
        return status;
      }
    }
    return {};
  }

  [[nodiscard]] double metric(const std::string& name,
                              const std::string& label = "") {
    return metric_of(this->metrics, name, label);
  }

  IoPool pool;
  prometheus::Registry metrics;
  LocalGateway gateway;
};

}  // namespace ibismux::gateway::testing

#endif  // IBISMUX_TESTS_GATEWAY_GATEWAY_HARNESS_H_
