#ifndef TESTS_DISPATCH_FAKE_LEAFS_H_
#define TESTS_DISPATCH_FAKE_LEAFS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/directory/leaf_entry.h"
#include "ibismux/dispatch/leaf_link.h"
#include "ibismux/http/message.h"
#include "ibismux/http/socket.h"

namespace ibismux::dispatch::testing {

/// How a fake leaf handles the calls that it gets.
struct Behaviour {
  bool refuses_dials = false;
  std::chrono::milliseconds dial{0};  ///< Time to open a connection.
  bool resets = false;  ///< Accepts a call, then drops the connection.
  bool silent = false;  ///< Never answers.
  std::chrono::milliseconds work{0};  ///< Time until the answer.
  bool sheds = false;     ///< Answers that it didn't execute the call.
  bool fails = false;     ///< Answers 500.
  bool replaced = false;  ///< Another leaf has its address.
};

/// In-memory leafs behind the interface that the dispatcher uses. There are no
/// sockets; an answer comes immediately unless `silent` or `work` is set.
class FakeLeafs : public LeafConnector {
 public:
  std::map<std::string, Behaviour> behaviour;  ///< By instance.
  mutable std::map<std::string, std::vector<std::string>>
      runs;  ///< Request ids.
  mutable std::map<std::string, int> dials;
  /// The customer and the Authorization field of each call.
  mutable std::vector<std::pair<std::string, std::string>> identities;

  /// How many times the leafs have run request `id`.
  [[nodiscard]] int times_run(const std::string& id) const {
    int times = 0;
    for (const auto& [instance, ids] : this->runs) {
      times += static_cast<int>(std::count(ids.begin(), ids.end(), id));
    }
    return times;
  }

  [[nodiscard]] std::unique_ptr<LeafLink> make(
      const directory::LeafEntry& entry) const override;

  /// A call with this target crashes the leaf that executes it: all connections
  /// to the leaf close, and it refuses new ones until `restart_ended()`.
  std::string crashing_target;
  /// Restarts the leafs that have ended. @return Their ids.
  std::set<std::string> restart_ended() noexcept {
    return std::exchange(this->ended, {});
  }
  /// Ends all leafs that have run a request, independently of any request.
  void end_all() {
    for (const auto& [instance, ids] : this->runs) {
      this->ended.insert(instance);
    }
  }
  /// How many crashes calls with `crashing_target` have caused so far.
  mutable int crashes = 0;

  /// Closes all connections that are open now.
  void close_all() noexcept { ++this->epoch; }

 private:
  class Link;

  std::uint64_t epoch = 0;  ///< Links opened in an earlier epoch are closed.
  mutable std::set<std::string> ended;  ///< Leafs whose process has ended.
};

class FakeLeafs::Link : public LeafLink {
 public:
  Link(const FakeLeafs& leafs, std::string instance)
      : leafs(leafs), instance(std::move(instance)) {}

  Task<Result<void>> open(TimePoint) override {
    ++this->leafs.dials[this->instance];
    if (this->current_behaviour().refuses_dials || this->has_ended()) {
      Error error = make_error(ErrorKind::kLeafUnavailable, "refused");
      error.execution = Execution::kNotRun;
      co_return tl::unexpected(std::move(error));
    }
    co_await pause(this->current_behaviour().dial);
    this->is_open = true;
    this->opened_epoch = this->leafs.epoch;
    co_return Result<void>();
  }

  Task<Result<LeafReply>> call(std::shared_ptr<const LeafCall> call) override {
    const Behaviour behaviour = this->current_behaviour();
    LeafReply reply;
    reply.answer.receipt = this->instance + "." + call->request_id;
    if (behaviour.replaced) {
      reply.kind = LeafReply::Kind::kOtherInstance;
      co_return reply;
    }
    if (behaviour.sheds) {
      reply.kind = LeafReply::Kind::kNotRun;
      co_return reply;
    }
    this->leafs.runs[this->instance].push_back(call->request_id);
    this->leafs.identities.emplace_back(call->customer,
                                        call->message->field("Authorization"));
    if (behaviour.silent) {
      this->silence_timer.emplace(co_await boost::asio::this_coro::executor);
      this->silence_timer->expires_at(call->deadline);
      boost::system::error_code error;
      co_await this->silence_timer->async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      this->is_open = false;
      co_return fail(ErrorKind::kDeadlineExceeded, "no answer");
    }
    if (call->message->target == this->leafs.crashing_target) {
      ++this->leafs.crashes;
      this->leafs.ended.insert(this->instance);
    }
    co_await pause(behaviour.work);
    if (behaviour.resets || this->has_ended()) {
      this->is_open = false;
      co_return fail(ErrorKind::kLeafUnavailable, "reset");
    }
    reply.kind =
        behaviour.fails ? LeafReply::Kind::kFailure : LeafReply::Kind::kSuccess;
    reply.answer.status = behaviour.fails ? 500 : 200;
    reply.answer.body = std::string(16, call->leaf_id.back());
    co_return reply;
  }

  [[nodiscard]] bool usable() const noexcept override {
    return this->is_open && this->opened_epoch == this->leafs.epoch &&
           !this->has_ended();
  }
  void close() noexcept override {
    this->is_open = false;
    if (this->silence_timer) {
      this->silence_timer->cancel();
    }
  }

 private:
  static Task<void> pause(std::chrono::milliseconds time) {
    if (time.count() == 0) {
      co_return;
    }
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                    time);
    boost::system::error_code error;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
  }

  [[nodiscard]] bool has_ended() const {
    return this->leafs.ended.contains(this->instance);
  }

  [[nodiscard]] Behaviour current_behaviour() const {
    const auto found = this->leafs.behaviour.find(this->instance);
    return found == this->leafs.behaviour.end() ? Behaviour{} : found->second;
  }

  const FakeLeafs& leafs;
  const std::string instance;
  bool is_open = false;
  std::uint64_t opened_epoch = 0;
  std::optional<boost::asio::steady_timer> silence_timer;
};

inline std::unique_ptr<LeafLink> FakeLeafs::make(
    const directory::LeafEntry& entry) const {
  return std::make_unique<Link>(*this, entry.run.id);
}

}  // namespace ibismux::dispatch::testing

#endif  // TESTS_DISPATCH_FAKE_LEAFS_H_
