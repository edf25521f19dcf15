#ifndef IBISMUX_DISPATCH_REQUEST_RUN_H_
#define IBISMUX_DISPATCH_REQUEST_RUN_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "ibismux/base/time.h"
#include "ibismux/dispatch/answer.h"
#include "ibismux/dispatch/forward.h"
#include "ibismux/dispatch/part_call.h"
#include "ibismux/dispatch/request_context.h"
#include "ibismux/http/socket.h"

namespace ibismux::dispatch {

/// One request from its arrival to its answer: its parts, its times, its end.
///
/// Subclasses decide when enough is there. Belongs to one event loop; not
/// thread safe. Kept alive by its timer, which waits until
/// the run has ended and no call that it would stop is under way.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
 public:
  using Done = std::function<void(Outcome)>;

  /// @param done Called once, with the outcome.
  RequestRun(boost::asio::io_context& loop,
             std::shared_ptr<const RequestContext> context,
             std::vector<std::shared_ptr<ServiceGroup>> groups,
             Done done);
  virtual ~RequestRun() = default;

  /// Begins. Called once.
  void start();

  /// The caller is gone. Work that is about done may end; the rest is stopped
  /// within `kCallerGoneGrace`.
  void cancel();

 protected:
  using Parts = std::vector<std::shared_ptr<PartCall>>;

  /// By how much the queues before the leafs are longer than the answer can
  /// wait and still be in time; zero or less where it can, and
  /// `Duration::max()` where too few leafs can be reached for any answer. Such
  /// a request is refused before any leaf works on it.
  [[nodiscard]] virtual Duration excess_wait(TimePoint now) const = 0;

  /// The same for one service: by how much the wait before it is more than
  /// leaves time for the work before the answer is due, if the queue there
  /// stands, and before the last moment for any answer if it has only begun. A
  /// wait no longer than the work is never too long: it is no sign of load,
  /// whatever the objective.
  [[nodiscard]] Duration excess_wait_at(const ServiceGroup& service,
                                        TimePoint now) const;

  /// Looks at the parts and ends the run where that is due.
  virtual void settle(TimePoint now) = 0;

  /// Calls `settle()` no later than `when`, besides at every change of a part.
  void wake_at(TimePoint when);

  /// How many parts there are in each state that ends one.
  struct Tally {
    std::size_t answered = 0;
    std::size_t failed = 0;
  };

  [[nodiscard]] const Parts& parts() const noexcept { return this->all; }
  /// Counted as parts end: each end of a part looks at it.
  [[nodiscard]] const Tally& tally() const noexcept {
    return this->ended_parts;
  }
  [[nodiscard]] const RequestContext& context() const noexcept {
    return *this->shared;
  }
  /// When the answer should go out, even without its last shards.
  [[nodiscard]] TimePoint answer_by() const noexcept;
  [[nodiscard]] bool past_final(TimePoint now) const noexcept {
    return now >= this->shared->final_at;
  }

  /// Sends every part again whose leaf takes longer than usual, once, and wakes
  /// when the next one is due.
  void hedge_late_parts(TimePoint now);

  /// Ends the run.
  void finish(Outcome outcome, bool partial = false);

  /// Ends the run without an answer: kNotRun only where every part says so.
  void fail_run(ErrorKind kind, std::string message);

 private:
  /// Ends the run where it has no chance. @return Whether it did.
  [[nodiscard]] bool refused(TimePoint now);
  void count(const PartCall& part) noexcept;
  void on_change(const PartCall& part);
  /// Parts may begin calls again, or none may any more.
  void release_parts();
  void arm();
  /// Whether the timer fired late; arms it again where it did. Then answers may
  /// have come that this daemon has not read yet, for want of time of its own:
  /// their calls would be sent once more, and make it later still.
  [[nodiscard]] bool is_behind(TimePoint now);
  void on_timer();
  void leave_parts();
  /// When leafs may take the parts that are left.
  [[nodiscard]] std::chrono::milliseconds leafs_pause() const;
  void log_end(const Outcome& outcome, bool partial);
  /// What became of the parts, for the log.
  void describe_parts(eventlog::Event& line) const;

  const std::shared_ptr<const RequestContext> shared;
  const std::vector<std::shared_ptr<ServiceGroup>> groups;
  Done done;
  Parts all;
  Tally ended_parts;
  Duration sent_after{0};  ///< From the arrival until all parts were begun.
  http::Timer timer;
  TimePoint wake;
  /// The timer has fired late, and what came meanwhile has been read since.
  bool caught_up = false;
  bool starting = false;
  bool ended = false;
  bool gone = false;  ///< The caller has left.
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_REQUEST_RUN_H_
