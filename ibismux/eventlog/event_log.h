#ifndef IBISMUX_EVENTLOG_EVENT_LOG_H_
#define IBISMUX_EVENTLOG_EVENT_LOG_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "ibismux/base/time.h"
#include "ibismux/eventlog/event.h"
#include "ibismux/eventlog/line_allowance.h"
#include "ibismux/http/socket.h"

namespace ibismux::eventlog {

/// Who writes, where to, and how much.
struct EventLogSettings {
  std::string host;
  std::uint64_t incarnation = 0;  ///< Of this run of the process.
  int descriptor = 1;             ///< Standard output.
  /// Lines a second, by weight. An ordinary success is one line of some 200
  /// bytes: 20 of them and 200 of the others are below 50 KB a second.
  std::array<double, kWeights> lines_per_second = {20, 200, 1000};
  /// Bytes that wait for a reader of the log; what comes beyond is dropped.
  std::size_t most_waiting = 256 * 1024;
};

/// The structured log: one JSON object a line.
///
///     log.event(Weight::kFailure, "request_refused")
///         .with("request", id).with("retry_after_ms", pause);
///
/// Writing never blocks: lines gather in memory and go out in one system call
/// each `kFlushTime`, and only as far as the descriptor takes them at once.
/// Someone who stops reading the log costs no request anything; what is dropped
/// is counted and said in a line of its own.
///
/// Belongs to one event loop; not thread safe.
class EventLog {
 public:
  static constexpr std::chrono::milliseconds kFlushTime{250};

  EventLog(boost::asio::io_context& loop, EventLogSettings settings);
  /// Writes what the descriptor still takes.
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Begins a line, which is written when the event is destroyed.
  [[nodiscard]] Event event(Weight weight, std::string_view name);

  /// Writes what the descriptor takes now.
  void flush();

 private:
  friend class Event;

  void append(const std::string& line);
  void schedule_flush();
  void report_dropped();

  const EventLogSettings settings;
  http::Timer timer;
  bool flush_pending = false;
  std::string waiting;
  std::array<LineAllowance, kWeights> allowances;
  std::uint64_t overflowed = 0;
};

}  // namespace ibismux::eventlog

#endif  // IBISMUX_EVENTLOG_EVENT_LOG_H_
