#include "ibismux/jsonc/position_handler.h"

namespace ibismux::jsonc {

std::string PositionHandler::join(const std::string& path,
                                  std::string_view part) {
  return path.empty() ? std::string(part) : path + "." + std::string(part);
}

bool PositionHandler::on_key(boost::json::string_view part,
                             std::size_t,
                             boost::system::error_code&) {
  this->key.append(part.data(), part.size());
  this->current = join(this->levels.back().path, this->key);
  Position start = this->place;
  // The last byte of the key is its closing quote.
  const std::size_t length = this->key.size() + 1;
  start.column -= std::min(length, start.column - 1);
  const bool fresh = this->positions.emplace(this->current, start).second;
  if (!fresh && this->repeated.empty()) {
    this->repeated = this->current;
    this->positions[this->current] = start;
  }
  this->key.clear();
  return true;
}

std::string PositionHandler::value_path() {
  if (this->levels.empty()) {
    return {};
  }
  Level& level = this->levels.back();
  if (level.element < 0) {
    return this->current;
  }
  std::string path = join(level.path, std::to_string(level.element));
  ++level.element;
  this->positions.emplace(path, this->place);
  return path;
}

bool PositionHandler::open(int element) {
  std::string path = this->value_path();
  this->levels.push_back(Level{std::move(path), element});
  return true;
}

bool PositionHandler::close() {
  this->levels.pop_back();
  return true;
}

bool PositionHandler::scalar() {
  (void)this->value_path();
  return true;
}

}  // namespace ibismux::jsonc
