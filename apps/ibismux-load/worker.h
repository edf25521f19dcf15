#ifndef APPS_IBISMUX_LOAD_WORKER_H_
#define APPS_IBISMUX_LOAD_WORKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "apps/ibismux-load/arrivals.h"
#include "apps/ibismux-load/balancer.h"
#include "apps/ibismux-load/experiment.h"
#include "apps/ibismux-load/history_file.h"
#include "apps/ibismux-load/recorder.h"

namespace ibismux::load {

/// One part of the load: its own event loop, connections and arrivals.
///
/// Not thread safe: used from its loop, and by the main thread once that ended.
class Worker {
 public:
  /// All references outlive the worker.
  Worker(const Experiment& experiment,
         std::size_t index,
         std::vector<DaemonAddress> addresses,
         HistoryFile& history);

  /// Runs the whole experiment from `begin` on; returns when every request has
  /// ended.
  void run(TimePoint begin);

  [[nodiscard]] const Recorder& results() const { return this->recorder; }

 private:
  struct Job {
    const ServiceLoad* service = nullptr;
    std::string id;
    std::string key;
    std::string body;
    std::string hash;
    TimePoint intended;
  };

  /// Starts a task of which the end of the run waits.
  void spawn(Task<> task);
  [[nodiscard]] Task<> generate();
  [[nodiscard]] Task<> query(Job job);
  [[nodiscard]] Task<> reserve(Job job);
  /// Sends the same once more, through daemon `daemon`.
  [[nodiscard]] Task<> repeat_at(Job job, std::size_t daemon);
  [[nodiscard]] Task<> repeat_with_other_body(Job job);
  [[nodiscard]] Task<AnswerFacts> attempt(const Job& job, std::size_t daemon);
  [[nodiscard]] Task<std::string> ticket();
  [[nodiscard]] Job make_job(const ServiceLoad& service, TimePoint intended);
  [[nodiscard]] http::Request request_of(const Job& job) const;
  void start(const Arrival& arrival);
  void record(const Job& job, const AnswerFacts& facts);
  /// What both kinds of row have; the caller adds the rest.
  [[nodiscard]] static boost::json::object history_row(
      std::string_view type,
      const Job& job,
      TimePoint sent,
      const AnswerFacts& facts);
  void record_query(const Job& job, TimePoint sent, const AnswerFacts& facts);
  void record_attempt(const Job& job, TimePoint sent, const AnswerFacts& facts);
  [[nodiscard]] bool chance(double share);

  const Experiment& experiment;
  std::size_t index;
  HistoryFile& history;
  boost::asio::io_context loop{1};
  Balancer balancer;
  Arrivals arrivals;
  Recorder recorder;
  pcg64 random;
  TimePoint begin;
  std::uint64_t sequence = 0;
  std::size_t open_tasks = 0;
};

}  // namespace ibismux::load

#endif  // APPS_IBISMUX_LOAD_WORKER_H_
