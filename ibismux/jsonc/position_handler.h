#ifndef IBISMUX_JSONC_POSITION_HANDLER_H_
#define IBISMUX_JSONC_POSITION_HANDLER_H_

#include <boost/json/basic_parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/jsonc/document.h"

namespace ibismux::jsonc {

/// Receives the events of Boost.JSON's parser and notes the place of each key
/// and array element.
///
/// Boost.JSON tells a handler no offsets, so the text is fed to it one byte at
/// a time and `place` is set before each byte. Not thread safe.
class PositionHandler {
 public:
  // What Boost.JSON asks of a handler, by the names that it looks for.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr std::size_t max_object_size = std::size_t(-1);
  static constexpr std::size_t max_array_size = std::size_t(-1);
  static constexpr std::size_t max_key_size = 64 * 1024;
  static constexpr std::size_t max_string_size = 16 * 1024 * 1024;
  // NOLINTEND(readability-identifier-naming)

  Position place;
  std::map<std::string, Position, std::less<>> positions;
  std::string repeated;  ///< Path of the first key that stands twice.

  /// @name Events
  /// @{
  bool on_document_begin(boost::system::error_code&) { return true; }
  bool on_document_end(boost::system::error_code&) { return true; }
  bool on_object_begin(boost::system::error_code&) { return this->open(-1); }
  bool on_object_end(std::size_t, boost::system::error_code&) {
    return this->close();
  }
  bool on_array_begin(boost::system::error_code&) { return this->open(0); }
  bool on_array_end(std::size_t, boost::system::error_code&) {
    return this->close();
  }
  bool on_key_part(boost::json::string_view part,
                   std::size_t,
                   boost::system::error_code&) {
    this->key.append(part.data(), part.size());
    return true;
  }
  bool on_key(boost::json::string_view part,
              std::size_t,
              boost::system::error_code&);
  bool on_string_part(boost::json::string_view,
                      std::size_t,
                      boost::system::error_code&) {
    return true;
  }
  bool on_string(boost::json::string_view,
                 std::size_t,
                 boost::system::error_code&) {
    return this->scalar();
  }
  bool on_number_part(boost::json::string_view, boost::system::error_code&) {
    return true;
  }
  bool on_int64(std::int64_t,
                boost::json::string_view,
                boost::system::error_code&) {
    return this->scalar();
  }
  bool on_uint64(std::uint64_t,
                 boost::json::string_view,
                 boost::system::error_code&) {
    return this->scalar();
  }
  bool on_double(double, boost::json::string_view, boost::system::error_code&) {
    return this->scalar();
  }
  bool on_bool(bool, boost::system::error_code&) { return this->scalar(); }
  bool on_null(boost::system::error_code&) { return this->scalar(); }
  bool on_comment_part(boost::json::string_view, boost::system::error_code&) {
    return true;
  }
  bool on_comment(boost::json::string_view, boost::system::error_code&) {
    return true;
  }
  /// @}

 private:
  /// An object or array that is open. `element` counts an array's elements; it
  /// is -1 in an object.
  struct Level {
    std::string path;
    int element;
  };

  bool open(int element);
  bool close();
  bool scalar();
  /// The path of the value that begins now.
  std::string value_path();
  [[nodiscard]] static std::string join(const std::string& path,
                                        std::string_view part);

  std::vector<Level> levels;
  std::string key;
  std::string current;  ///< Path of the key whose value comes next.
};

}  // namespace ibismux::jsonc

#endif  // IBISMUX_JSONC_POSITION_HANDLER_H_
