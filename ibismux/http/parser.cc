#include "ibismux/http/parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/verb.hpp>
#include <optional>

#include "ibismux/http/framing_rules.h"

namespace ibismux::http {

namespace {

namespace beast_http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr std::size_t kMostResponseHeader = 64 * 1024;
// Body memory taken ahead for Content-Length alone.
constexpr std::uint64_t kMostReserved = 64 * 1024;
constexpr std::size_t kUsualFields = 12;
constexpr std::size_t kLastChunkBytes = 5;  // "0\r\n\r\n"

/// Writes what Beast's parser reports straight into a message of ours.
template <bool is_request, class MessageType>
class Parser final : public beast_http::basic_parser<is_request> {
 public:
  explicit Parser(MessageType& message) : message(message) {
    this->eager(true);
    this->message.fields.reserve(kUsualFields);
  }

  [[nodiscard]] bool expects_continue() const noexcept {
    return this->wants_continue;
  }
  [[nodiscard]] bool is_http_1_1() const noexcept {
    return this->version >= 11;
  }
  void forget_continue() noexcept { this->wants_continue = false; }
  /// Why the message was refused, where the syntax isn't at fault.
  [[nodiscard]] const std::optional<FramingFault>& fault() const noexcept {
    return this->refused;
  }

 private:
  void on_request_impl(beast_http::verb,
                       string_view method,
                       string_view target,
                       int version,
                       error_code&) override {
    if constexpr (is_request) {
      this->message.method = method;
      this->message.target = target;
      this->version = version;
    }
  }

  void on_response_impl(int code,
                        string_view,
                        int version,
                        error_code&) override {
    if constexpr (!is_request) {
      this->message.status = code;
      this->version = version;
    }
  }

  void on_field_impl(beast_http::field name,
                     string_view name_text,
                     string_view value,
                     error_code& error) override {
    // Fields after the body (trailers) must not pass for ones of the head,
    // where they would be read as the caller's name or deadline.
    if (this->head_done) {
      return;
    }
    if (is_request && name == beast_http::field::expect) {
      this->wants_continue = boost::beast::iequals(value, "100-continue");
    } else if (name == beast_http::field::transfer_encoding) {
      this->refuse(check_transfer_coding(value, this->is_http_1_1()), error);
    } else if (is_request && name == beast_http::field::host) {
      this->refuse(check_host(value), error);
    }
    this->message.fields.emplace_back(std::string_view(name_text),
                                      std::string_view(value));
  }

  void on_header_impl(error_code& error) override {
    this->head_done = true;
    if constexpr (is_request) {
      this->refuse(normalize_target(this->message), error);
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code&) override {
    if (length) {
      this->message.body.reserve(std::min(*length, kMostReserved));
    }
  }

  std::size_t on_body_impl(string_view body, error_code&) override {
    this->message.body.append(body.data(), body.size());
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}

  std::size_t on_chunk_body_impl(std::uint64_t,
                                 string_view body,
                                 error_code&) override {
    this->message.body.append(body.data(), body.size());
    return body.size();
  }

  void on_finish_impl(error_code&) override {}

  void refuse(const std::optional<FramingFault>& fault, error_code& error) {
    if (fault) {
      this->refused = fault;
      error = beast_http::error::bad_field;
    }
  }

  MessageType& message;
  std::optional<FramingFault> refused;
  bool head_done = false;
  bool wants_continue = false;
  int version = 0;
};

int status_of(const error_code& error) {
  if (error == beast_http::error::header_limit) {
    return 431;
  }
  return error == beast_http::error::body_limit ? 413 : 400;
}

/// Whether `bytes` are too few for Beast's parser to look at.
///
/// It asserts that at least the five bytes "0\r\n\r\n" are there when it comes
/// back to a last chunk, so a client that sends them one by one would end the
/// process. At any point of a chunked body that many are still to come.
template <class ParserType>
bool must_wait(const ParserType& parser, std::string_view bytes) {
  return parser.is_header_done() && parser.chunked() &&
         bytes.size() < kLastChunkBytes;
}

/// @param most_kept How many bytes may wait for more. Beast's parser bounds the
/// head, but neither the extensions of a chunk nor the trailer fields: a sender
/// that never ends a line would fill the memory.
template <class ParserType>
ParseStep feed_parser(ParserType& parser,
                      std::string_view bytes,
                      std::size_t most_kept) {
  ParseStep step;
  if (must_wait(parser, bytes)) {
    return step;
  }
  error_code error;
  step.consumed =
      parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
  const bool wants_more = !error || error == beast_http::error::need_more;
  if (wants_more && parser.is_done()) {
    step.state = ParseState::kDone;
    return step;
  }
  if (wants_more && bytes.size() - step.consumed > most_kept) {
    error = beast_http::error::header_limit;
  } else if (wants_more) {
    return step;
  }
  step.state = ParseState::kFailed;
  step.status = parser.fault() ? parser.fault()->status : status_of(error);
  step.message = parser.fault() ? parser.fault()->reason : error.message();
  return step;
}

}  // namespace

class RequestParser::Impl {
 public:
  Impl(std::size_t most_header, std::size_t most_body)
      : most_header(most_header), most_body(most_body) {}

  const std::size_t most_header;
  const std::size_t most_body;
  std::optional<Parser<true, Request>> parser;
};

RequestParser::RequestParser(std::size_t most_header, std::size_t most_body)
    : impl(std::make_unique<Impl>(most_header, most_body)) {}

RequestParser::~RequestParser() = default;

void RequestParser::start(Request& request) {
  this->impl->parser.emplace(request);
  this->impl->parser->header_limit(
      static_cast<std::uint32_t>(this->impl->most_header));
  this->impl->parser->body_limit(this->impl->most_body);
}

ParseStep RequestParser::feed(std::string_view bytes) {
  return feed_parser(*this->impl->parser, bytes, this->impl->most_header);
}

bool RequestParser::take_expect_continue() noexcept {
  auto& parser = *this->impl->parser;
  const bool wanted = parser.is_header_done() && parser.expects_continue();
  if (wanted) {
    parser.forget_continue();
  }
  return wanted;
}

bool RequestParser::keep_alive() const noexcept {
  // A client of HTTP/1.0 reads up to the end of the stream unless it is told
  // otherwise, and would hang on a connection that is kept.
  const auto& parser = *this->impl->parser;
  return parser.is_http_1_1() && parser.keep_alive();
}

class ResponseParser::Impl {
 public:
  Impl(std::size_t most_body, bool may_end_by_close)
      : most_body(most_body), may_end_by_close(may_end_by_close) {}

  void start() {
    this->parser.emplace(*this->response);
    this->parser->header_limit(kMostResponseHeader);
    this->parser->body_limit(this->most_body);
    this->parser->skip(this->no_body);
  }

  /// 100 to 199 announce a response that is still to come.
  [[nodiscard]] bool interim() const noexcept {
    return this->response->status < 200;
  }

  const std::size_t most_body;
  const bool may_end_by_close;
  Response* response = nullptr;
  bool no_body = false;
  std::optional<Parser<false, Response>> parser;
};

ResponseParser::ResponseParser(std::size_t most_body, bool may_end_by_close)
    : impl(std::make_unique<Impl>(most_body, may_end_by_close)) {}

ResponseParser::~ResponseParser() = default;

void ResponseParser::start(Response& response, bool no_body) {
  this->impl->response = &response;
  this->impl->no_body = no_body;
  this->impl->start();
}

ParseStep ResponseParser::feed(std::string_view bytes) {
  std::size_t skipped = 0;
  for (;;) {
    auto& parser = *this->impl->parser;
    ParseStep step =
        feed_parser(parser, bytes.substr(skipped), kMostResponseHeader);
    step.consumed += skipped;
    step.interim = skipped;
    if (step.state == ParseState::kDone && this->impl->interim()) {
      skipped = step.consumed;
      *this->impl->response = Response{};
      this->impl->start();
      continue;
    }
    if (step.state != ParseState::kFailed && this->ends_by_close() &&
        !this->impl->may_end_by_close) {
      step.state = ParseState::kFailed;
      step.message = "response without a length";
    }
    return step;
  }
}

bool ResponseParser::finish() {
  if (!this->impl->may_end_by_close || !this->ends_by_close()) {
    return false;
  }
  auto& parser = *this->impl->parser;
  error_code error;
  parser.put_eof(error);
  return !error && parser.is_done();
}

bool ResponseParser::ends_by_close() const noexcept {
  const auto& parser = *this->impl->parser;
  return parser.is_header_done() && !parser.is_done() && parser.need_eof();
}

bool ResponseParser::keep_alive() const noexcept {
  return this->impl->parser->keep_alive();
}

}  // namespace ibismux::http
