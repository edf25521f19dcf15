#ifndef IBISMUX_JSONC_DOCUMENT_H_
#define IBISMUX_JSONC_DOCUMENT_H_

#include <boost/json/value.hpp>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "ibismux/base/error.h"

namespace ibismux::jsonc {

/// A place in a text, both counted from 1.
struct Position {
  std::size_t line = 1;
  std::size_t column = 1;

  [[nodiscard]] bool operator==(const Position&) const = default;
};

/// A parsed JSON text with comments, which remembers where each key stood.
struct Document {
  std::string file;
  boost::json::value root;
  /// Key paths ("caller.port", "shards.0.name") to their places.
  std::map<std::string, Position, std::less<>> positions;

  /// `file:line:column: path: message`, with the place of the nearest known
  /// ancestor where `path` itself is absent. Thread safe.
  [[nodiscard]] std::string locate(std::string_view path,
                                   std::string_view message) const;
};

/// Parses `text`; `file` names it in errors. Comments and trailing commas are
/// allowed; a key that stands twice in one object is an error. Thread safe.
///
/// Errors: kInvalidRequest, whose message is `file:line:column: what is wrong`.
[[nodiscard]] Result<Document> parse(std::string file, std::string_view text);

/// Reads and parses a file. Errors as `parse()`, and kNotFound.
[[nodiscard]] Result<Document> parse_file(const std::string& path);

}  // namespace ibismux::jsonc

#endif  // IBISMUX_JSONC_DOCUMENT_H_
