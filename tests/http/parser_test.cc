#include "ibismux/http/parser.h"

#include <pcg_random.hpp>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace ibismux::http;

namespace {

constexpr std::size_t kMostHeader = 400;
constexpr std::size_t kMostBody = 60;
constexpr int kRounds = 20'000;

/// What came of a byte stream.
struct Outcome {
  int status = 0;  ///< Of the failure; 0: none.
  std::vector<std::string> messages;

  bool operator==(const Outcome&) const = default;
};

std::string to_text(const Request& request) {
  std::string text = request.method + ' ' + request.target + '\n';
  for (const auto& [name, value] : request.fields) {
    text += name + '=' + value + '\n';
  }
  return text + request.body;
}

/// Feeds `stream` in pieces of at most `most` bytes.
Outcome parse(const std::string& stream, std::size_t most, pcg32& random) {
  RequestParser parser(kMostHeader, kMostBody);
  Request request;
  Outcome outcome;
  std::string input;
  parser.start(request);
  std::size_t fed = 0;
  for (;;) {
    const ParseStep step = parser.feed(input);
    input.erase(0, step.consumed);
    if (step.state == ParseState::kFailed) {
      outcome.status = step.status;
      return outcome;
    }
    if (step.state == ParseState::kDone) {
      outcome.messages.push_back(to_text(request));
      request = Request{};
      parser.start(request);
      continue;
    }
    if (fed == stream.size()) {
      return outcome;
    }
    const std::size_t next = std::min<std::size_t>(
        stream.size() - fed, 1 + random(static_cast<std::uint32_t>(most)));
    input.append(stream, fed, next);
    fed += next;
  }
}

std::string random_stream(pcg32& random) {
  static const std::vector<std::string> kPieces = {
      "GET / HTTP/1.1\r\n",
      "POST /v1/services/a/query HTTP/1.1\r\n",
      "X-Caller: bay\r\n",
      "X-Deadline-Ms: 20\r\n",
      "Content-Length: 5\r\n",
      "Content-Length: 61\r\n",
      "Transfer-Encoding: chunked\r\n",
      "\r\n",
      "\r\n",
      "hello",
      "3\r\nabc\r\n",
      "0\r\n\r\n",
      "Expect: 100-continue\r\n",
      ": x\r\n",
      "\n",
      std::string(1, '\0')};
  std::string stream = kPieces[random(2)];
  for (std::uint32_t i = random(10); i > 0; --i) {
    stream += kPieces[random(static_cast<std::uint32_t>(kPieces.size()))];
  }
  if (random(3) == 0) {
    stream[random(static_cast<std::uint32_t>(stream.size()))] =
        static_cast<char>(random(256));
  }
  return stream;
}

}  // namespace

// Failure: two hosts disagree about where a request ends.
Test(http_parser, split_of_the_stream_changes_nothing) {
  pcg32 random(20261202);
  std::size_t whole = 0;
  for (int i = 0; i < kRounds; ++i) {
    // The line ends force a verdict on what was begun.
    const std::string stream =
        random_stream(random) + "\r\n\r\n\r\n\r\n\r\n\r\n";
    const Outcome at_once = parse(stream, stream.size(), random);
    const Outcome in_bytes = parse(stream, 1, random);
    const Outcome in_pieces = parse(stream, 7, random);
    cr_assert(at_once == in_bytes, "round %d", i);
    cr_assert(at_once == in_pieces, "round %d", i);
    whole += at_once.messages.size();
  }
  cr_assert(whole > kRounds / 10);
}

// Failure: the daemon aborts on an assertion within Beast's parser.
Test(http_parser, last_chunk_may_come_byte_by_byte) {
  pcg32 random(1);
  const Outcome outcome =
      parse("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 1,
            random);
  cr_assert(outcome.status == 0);
  cr_assert(outcome.messages.size() == 1);
}

// Failure: memory fills while one client sends.
Test(http_parser, endless_lines_around_chunks_are_refused) {
  const std::string head =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char* begin : {"1;", "0\r\nX-A: "}) {
    pcg32 random(1);
    const std::string stream = head + begin + std::string(kMostHeader + 1, 'x');
    cr_assert(parse(stream, 50, random).status == 431, "%s", begin);
  }
}

Test(http_parser, response_parser_survives_any_bytes) {
  pcg32 random(20261203);
  for (int i = 0; i < kRounds; ++i) {
    std::string stream =
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Call-Id: 1\r\n\r\nabcdefghi";
    for (int change = 0; change < 3; ++change) {
      stream[random(static_cast<std::uint32_t>(stream.size()))] =
          static_cast<char>(random(256));
    }
    ResponseParser parser(kMostBody);
    Response response;
    parser.start(response, false);
    const ParseStep step = parser.feed(stream);
    cr_assert(step.consumed <= stream.size());
    cr_assert(response.body.size() <= kMostBody);
  }
}

// Failure: a leaf's answer comes with the framing of a coding in its body.
Test(http_parser, a_response_in_an_unknown_transfer_coding_is_refused) {
  for (const char* head :
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
    ResponseParser parser(kMostBody, true);
    Response response;
    parser.start(response, false);
    const ParseStep step =
        parser.feed(std::string(head) + "3\r\nabc\r\n0\r\n\r\n");
    cr_assert(step.state == ParseState::kFailed, "%s", head);
    cr_assert(step.message.find("transfer coding") != std::string::npos);
  }
}
