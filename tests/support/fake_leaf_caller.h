#ifndef TESTS_SUPPORT_FAKE_LEAF_CALLER_H_
#define TESTS_SUPPORT_FAKE_LEAF_CALLER_H_

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/gateway/leaf_caller.h"

namespace ibismux::testing {

/// Leafs in memory, for tests of what calls them.
///
///     FakeLeafCaller leafs;
///     leafs.plan([](const auto&, const auto&) {
///       return FakeLeafCaller::Fate::kRunsAndAnswers;
///     });
///
/// A reservation's answer is `key|body|call id`. Thread safe.
class FakeLeafCaller : public gateway::LeafCaller {
 public:
  /// What becomes of one call.
  enum class Fate {
    kRunsAndAnswers,
    kRefuses,             ///< kOverloaded, not run.
    kRunsAndAnswerLost,   ///< Runs; the caller hears kLeafUnavailable, unknown.
    kLostBeforeRun,       ///< Doesn't run; the caller hears the same.
    kRunsWhenReleased,    ///< Waits for `release()`, then runs and answers.
    kRefusesWhenReleased  ///< Waits for `release()`, then refuses.
  };
  using Plan = std::function<Fate(const gateway::LeafCallBatch&,
                                  const gateway::LeafCallBatch::Item&)>;

  /// One execution by a leaf.
  struct Run {
    CallId id;
    std::string leaf;
    std::string shard;
    std::string snapshot;
    std::string key;
    std::string body;
  };

  /// Decides the fate of each later call; without one, all run and answer.
  void plan(Plan plan) {
    std::lock_guard lock(this->mutex);
    this->next_fate = std::move(plan);
  }

  void call(gateway::LeafCallBatch batch,
            boost::asio::any_io_executor executor,
            Sink sink) override {
    for (const auto& item : batch.items) {
      Call call{batch, item, executor, sink};
      std::lock_guard lock(this->mutex);
      ++this->call_count;
      const Fate fate = this->next_fate ? this->next_fate(batch, item)
                                        : Fate::kRunsAndAnswers;
      if (fate == Fate::kRunsWhenReleased ||
          fate == Fate::kRefusesWhenReleased) {
        this->waiting.emplace_back(fate, std::move(call));
      } else {
        this->decide(fate, call);
      }
    }
  }

  void cancel(std::vector<CallId> calls) override {
    std::lock_guard lock(this->mutex);
    this->cancelled.insert(this->cancelled.end(), calls.begin(), calls.end());
  }

  /// Lets the calls that wait go on.
  void release() {
    std::lock_guard lock(this->mutex);
    for (const auto& [fate, call] : std::exchange(this->waiting, {})) {
      this->decide(fate == Fate::kRunsWhenReleased ? Fate::kRunsAndAnswers
                                                   : Fate::kRefuses,
                   call);
    }
  }

  /// @name What has happened
  /// @{
  [[nodiscard]] std::vector<Run> runs() const {
    std::lock_guard lock(this->mutex);
    return this->done;
  }
  [[nodiscard]] std::size_t runs_of(const std::string& key) const {
    std::lock_guard lock(this->mutex);
    return static_cast<std::size_t>(std::ranges::count(
        this->done, key, [](const Run& run) { return run.key; }));
  }
  [[nodiscard]] std::size_t calls() const {
    std::lock_guard lock(this->mutex);
    return this->call_count;
  }
  [[nodiscard]] std::size_t held() const {
    std::lock_guard lock(this->mutex);
    return this->waiting.size();
  }
  /// @}

 private:
  struct Call {
    gateway::LeafCallBatch batch;
    gateway::LeafCallBatch::Item item;
    boost::asio::any_io_executor executor;
    Sink sink;
  };

  /// Needs the mutex.
  void decide(Fate fate, const Call& call) {
    const CallId id{call.batch.origin, call.item.sequence};
    gateway::LeafAnswer answer;
    answer.id = id;
    if (fate == Fate::kRunsAndAnswers || fate == Fate::kRunsAndAnswerLost) {
      this->done.push_back({id, call.item.leaf, call.item.shard,
                            call.batch.snapshot, call.batch.key,
                            *call.batch.body});
    }
    if (fate == Fate::kRunsAndAnswers) {
      answer.body =
          call.batch.key + "|" + *call.batch.body + "|" + to_string(id);
    } else if (fate == Fate::kRefuses) {
      answer.body = fail(ErrorKind::kOverloaded, "refused by the test");
    } else {
      answer.body = fail(ErrorKind::kLeafUnavailable, "lost by the test");
    }
    boost::asio::post(call.executor,
                      [sink = call.sink, answer = std::move(answer)]() mutable {
                        sink(std::move(answer));
                      });
  }

  mutable std::mutex mutex;
  Plan next_fate;
  std::vector<std::pair<Fate, Call>> waiting;
  std::vector<Run> done;
  std::vector<CallId> cancelled;
  std::size_t call_count = 0;
};

}  // namespace ibismux::testing

#endif  // TESTS_SUPPORT_FAKE_LEAF_CALLER_H_
