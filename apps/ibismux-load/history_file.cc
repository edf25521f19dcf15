#include "apps/ibismux-load/history_file.h"

#include <boost/json/serialize.hpp>

namespace ibismux::load {

namespace {
constexpr std::size_t kWriteBytes = 256 * 1024;
}

std::int64_t to_micros(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             time.time_since_epoch())
      .count();
}

HistoryFile::HistoryFile(const std::string& path) : is_enabled(!path.empty()) {
  if (this->is_enabled) {
    this->file.open(path, std::ios::app);
  }
}

HistoryFile::~HistoryFile() {
  this->write();
}

void HistoryFile::add(const boost::json::object& record) {
  if (!this->is_enabled) {
    return;
  }
  const std::string line = boost::json::serialize(record);
  const std::lock_guard lock(this->mutex);
  this->pending += line;
  this->pending += '\n';
  if (this->pending.size() >= kWriteBytes) {
    this->write();
  }
}

void HistoryFile::write() {
  this->file.write(this->pending.data(),
                   static_cast<std::streamsize>(this->pending.size()));
  this->pending.clear();
}

}  // namespace ibismux::load
