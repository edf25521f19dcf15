#include "ibismux/jsonc/document.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <fstream>
#include <sstream>

#include "ibismux/jsonc/position_handler.h"

namespace ibismux::jsonc {

namespace {

boost::json::parse_options options() {
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  return options;
}

std::string at(const std::string& file, Position place) {
  return file + ":" + std::to_string(place.line) + ":" +
         std::to_string(place.column) + ": ";
}

tl::unexpected<Error> invalid(const std::string& file,
                              Position place,
                              const std::string& message) {
  return fail(ErrorKind::kInvalidRequest, at(file, place) + message);
}

void advance(Position& place, char byte) {
  if (byte == '\n') {
    ++place.line;
    place.column = 1;
  } else {
    ++place.column;
  }
}

/// Where the document's first value begins, after white space and comments.
///
/// Boost.JSON 1.81 calls a line comment ahead of the first value a syntax error
/// when the text ends inside it and goes on in a later piece. What stands ahead
/// is therefore handed over as one piece.
std::size_t first_value(std::string_view text) {
  std::size_t at = 0;
  while ((at = text.find_first_not_of(" \t\r\n", at)) != text.npos) {
    const std::string_view mark = text.substr(at, 2);
    if (mark != "//" && mark != "/*") {
      return at;
    }
    const std::string_view close = mark == "//" ? "\n" : "*/";
    const std::size_t end = text.find(close, at + 2);
    if (end == text.npos) {
      break;
    }
    at = end + close.size();
  }
  return text.size();
}

}  // namespace

std::string Document::locate(std::string_view path,
                             std::string_view message) const {
  std::string line;
  for (std::string_view known = path;;) {
    const auto found = this->positions.find(known);
    if (found != this->positions.end()) {
      line = at(this->file, found->second);
      break;
    }
    const std::size_t dot = known.rfind('.');
    if (dot == std::string_view::npos) {
      line = at(this->file, Position{});
      break;
    }
    known = known.substr(0, dot);
  }
  if (!path.empty()) {
    line.append(path).append(": ");
  }
  return line.append(message);
}

Result<Document> parse(std::string file, std::string_view text) {
  boost::json::basic_parser<PositionHandler> parser(options());
  PositionHandler& handler = parser.handler();
  boost::system::error_code failure;
  const std::size_t lead = first_value(text);
  parser.write_some(true, text.data(), lead, failure);
  for (const char byte : text.substr(0, lead)) {
    advance(handler.place, byte);
  }
  for (const char byte : text.substr(lead)) {
    if (!failure) {
      parser.write_some(true, &byte, 1, failure);
    }
    if (failure) {
      return invalid(file, handler.place, failure.message());
    }
    if (!handler.repeated.empty()) {
      return invalid(file, handler.positions[handler.repeated],
                     handler.repeated + ": stands twice");
    }
    advance(handler.place, byte);
  }
  parser.write_some(false, "", 0, failure);
  if (failure) {
    return invalid(file, handler.place, failure.message());
  }
  Document document;
  document.root =
      boost::json::parse(boost::json::string_view(text.data(), text.size()),
                         failure, {}, options());
  if (failure) {
    return invalid(file, handler.place, failure.message());
  }
  document.positions = std::move(handler.positions);
  document.file = std::move(file);
  return document;
}

Result<Document> parse_file(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::stringstream text;
  text << stream.rdbuf();
  if (!stream || !text) {
    return fail(ErrorKind::kNotFound, path + ": cannot be read");
  }
  return parse(path, text.str());
}

}  // namespace ibismux::jsonc
