#include "standins/leaf/history.h"

namespace fake_leaf {

namespace {
constexpr std::size_t kWriteBytes = 256 * 1024;
}

std::int64_t to_micros(Clock::time_point time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             time.time_since_epoch())
      .count();
}

History::History(const std::string& path) : is_enabled(!path.empty()) {
  if (this->is_enabled) {
    this->file.open(path, std::ios::app);
  }
}

History::~History() {
  this->flush();
}

void History::add(std::string_view line) {
  const std::lock_guard lock(this->mutex);
  this->pending += line;
  this->pending += '\n';
  if (this->pending.size() >= kWriteBytes) {
    this->file.write(this->pending.data(),
                     static_cast<std::streamsize>(this->pending.size()));
    this->pending.clear();
  }
}

void History::flush() {
  if (!this->is_enabled) {
    return;
  }
  const std::lock_guard lock(this->mutex);
  this->file.write(this->pending.data(),
                   static_cast<std::streamsize>(this->pending.size()));
  this->file.flush();
  this->pending.clear();
}

}  // namespace fake_leaf
