#include "ibismux/eventlog/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <utility>

#include "ibismux/base/unix_time.h"

namespace ibismux::eventlog {

namespace {

// The most that one write hands to a pipe. A pipe that polls as writable takes
// this much without blocking, also where its descriptor is a blocking one.
constexpr std::size_t kMostPerWrite = 4096;
// Waiting bytes beyond this are written before the flush time.
constexpr std::size_t kFlushBytes = 32 * 1024;

/// "2026-01-31T23:59:59.123Z"
std::string wall_time() {
  const auto millis = unix_now().count();
  const std::time_t seconds = millis / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  const std::size_t length =
      std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text + length, sizeof text - length, ".%03dZ",
                static_cast<int>(millis % 1000));
  return text;
}

void append_quoted(std::string& line, std::string_view text) {
  line += boost::json::serialize(boost::json::string_view(text));
}

}  // namespace

Event::~Event() {
  if (this->log) {
    this->line += "}\n";
    this->log->append(this->line);
  }
}

void Event::begin(std::string_view key) {
  this->line += ",\"";
  this->line += key;
  this->line += "\":";
}

Event& Event::with(std::string_view key, std::string_view text) {
  if (this->log) {
    this->begin(key);
    append_quoted(this->line, text);
  }
  return *this;
}

Event& Event::with(std::string_view key, bool flag) {
  if (this->log) {
    this->begin(key);
    this->line += flag ? "true" : "false";
  }
  return *this;
}

Event& Event::with(std::string_view key, double number) {
  if (this->log) {
    this->begin(key);
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", number);
    this->line += text;
  }
  return *this;
}

Event& Event::with(std::string_view key, Duration duration) {
  return this->with(
      key, std::chrono::duration<double, std::milli>(duration).count());
}

Event& Event::number(std::string_view key, std::int64_t number) {
  if (this->log) {
    this->begin(key);
    this->line += std::to_string(number);
  }
  return *this;
}

EventLog::EventLog(boost::asio::io_context& loop, EventLogSettings settings)
    : settings(std::move(settings)),
      timer(loop.get_executor()),
      allowances{
          LineAllowance(this->settings.lines_per_second[0], Clock::now()),
          LineAllowance(this->settings.lines_per_second[1], Clock::now()),
          LineAllowance(this->settings.lines_per_second[2], Clock::now())} {}

EventLog::~EventLog() {
  this->flush();
}

Event EventLog::event(Weight weight, std::string_view name) {
  const auto row = static_cast<std::size_t>(weight);
  if (!this->allowances[row].take(Clock::now())) {
    this->schedule_flush();
    return {nullptr, {}};
  }
  std::string line = "{\"time\":\"" + wall_time() + "\",\"event\":\"";
  line += name;
  line += "\",\"host\":\"" + this->settings.host + "\",\"boot\":\"" +
          std::to_string(this->settings.incarnation) + "\"";
  return {this, std::move(line)};
}

void EventLog::append(const std::string& line) {
  if (this->waiting.size() + line.size() > this->settings.most_waiting) {
    ++this->overflowed;
    return;
  }
  this->waiting += line;
  if (this->waiting.size() > kFlushBytes) {
    this->flush();
  }
  this->schedule_flush();
}

void EventLog::schedule_flush() {
  if (this->flush_pending) {
    return;
  }
  this->flush_pending = true;
  this->timer.expires_after(kFlushTime);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    this->flush_pending = false;
    this->report_dropped();
    this->flush();
    if (!this->waiting.empty()) {
      this->schedule_flush();
    }
  });
}

void EventLog::report_dropped() {
  const std::uint64_t ordinary = this->allowances[0].take_turned_away();
  const std::uint64_t failures = this->allowances[1].take_turned_away();
  const std::uint64_t beliefs = this->allowances[2].take_turned_away();
  const std::uint64_t full = std::exchange(this->overflowed, 0);
  // Ordinary lines are left out by design; a line on that each quarter of a
  // second would be noise.
  if (failures + beliefs + full == 0) {
    return;
  }
  this->event(Weight::kBelief, "log_lines_dropped")
      .with("ordinary", ordinary)
      .with("failures", failures)
      .with("beliefs", beliefs)
      .with("no_reader", full);
}

void EventLog::flush() {
  std::size_t written = 0;
  while (written < this->waiting.size()) {
    pollfd poll_for{this->settings.descriptor, POLLOUT, 0};
    if (::poll(&poll_for, 1, 0) != 1 || (poll_for.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t bytes =
        std::min(kMostPerWrite, this->waiting.size() - written);
    const ssize_t taken = ::write(this->settings.descriptor,
                                  this->waiting.data() + written, bytes);
    if (taken <= 0) {
      break;
    }
    written += static_cast<std::size_t>(taken);
  }
  this->waiting.erase(0, written);
}

}  // namespace ibismux::eventlog
