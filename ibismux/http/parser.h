#ifndef IBISMUX_HTTP_PARSER_H_
#define IBISMUX_HTTP_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "ibismux/http/message.h"

namespace ibismux::http {

enum class ParseState : unsigned char { kNeedMore, kDone, kFailed };

/// What one call of `feed()` did.
struct ParseStep {
  ParseState state = ParseState::kNeedMore;
  std::size_t consumed = 0;  ///< The rest must be fed again, with more behind.
  std::size_t interim = 0;   ///< Of these, bytes of interim responses.
  int status = 0;            ///< kFailed: the status that says why.
  std::string message;       ///< kFailed.
};

/// Reads requests off a byte stream, one after the other. Not thread safe.
class RequestParser {
 public:
  RequestParser(std::size_t most_header, std::size_t most_body);
  ~RequestParser();

  /// Begins a new message, to be written to `request`, which must live until
  /// it is done.
  void start(Request& request);

  /// Precondition: started, and not yet done or failed.
  [[nodiscard]] ParseStep feed(std::string_view bytes);

  /// The head is here and its sender waits for `100 Continue`; true once.
  [[nodiscard]] bool take_expect_continue() noexcept;

  /// Whether the connection stays open. Precondition: done.
  [[nodiscard]] bool keep_alive() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

/// Reads responses off a byte stream, one after the other. Not thread safe.
///
/// A response whose end only the closing of the connection marks is refused
/// unless it is allowed: it can't be told from one that was cut short.
class ResponseParser {
 public:
  /// @param may_end_by_close Allows responses without a length.
  explicit ResponseParser(std::size_t most_body, bool may_end_by_close = false);
  ~ResponseParser();

  /// Begins a new message, as in `RequestParser`.
  /// @param no_body The request was a HEAD.
  void start(Response& response, bool no_body);

  /// Precondition: started, and not yet done or failed.
  [[nodiscard]] ParseStep feed(std::string_view bytes);

  /// The server closed its side in good order. @return Whether the response is
  /// complete by that. Precondition: started, and not yet done or failed.
  [[nodiscard]] bool finish();

  /// Whether the head is complete and the body ends with the connection.
  /// Precondition: started.
  [[nodiscard]] bool ends_by_close() const noexcept;

  /// Whether the connection stays open. Precondition: the head is complete.
  [[nodiscard]] bool keep_alive() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_PARSER_H_
