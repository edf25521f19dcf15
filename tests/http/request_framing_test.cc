#include "tests/http/harness.h"

#include <vector>

#include <criterion/criterion.h>

using namespace ibismux;
using namespace ibismux::http;
using namespace ibismux::http::test;

namespace {

/// Answers with all by which a request is routed and run.
Task<Response> tell(std::shared_ptr<const Request> request,
                    std::shared_ptr<CancelToken>) {
  Response response;
  response.body = '<' + request->method + '|' + request->target + '|' +
                  std::string(request->field("Host")) + '|' + request->body +
                  '>';
  co_return response;
}

/// A byte stream and what becomes of it.
struct Case {
  const char* name;
  std::string stream;
  int status;             ///< Of the first response.
  const char* seen = "";  ///< What the handler is given, as `tell` writes it.
};

/// What the server answers to `stream`, up to the end of the connection.
std::string answer_to(const std::string& stream) {
  ServerFixture fixture(tell);
  RawClient client(fixture.port);
  client.send(stream);
  client.socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  return client.read_all();
}

std::size_t responses_in(const std::string& text) {
  std::size_t count = 0;
  for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos;
       at = text.find("HTTP/1.1 ", at + 1)) {
    ++count;
  }
  return count;
}

void check(const Case& row) {
  const std::string text = answer_to(row.stream);
  const std::string status = "HTTP/1.1 " + std::to_string(row.status) + ' ';
  cr_assert(text.starts_with(status), "%s: %s", row.name, text.c_str());
  if (row.status == 200) {
    cr_assert(text.find(row.seen) != std::string::npos, "%s: %s", row.name,
              text.c_str());
    return;
  }
  // A refused request ends its connection: what follows it can't be told from
  // its body.
  cr_assert(responses_in(text) == 1, "%s: %s", row.name, text.c_str());
  cr_assert(text.find("Connection: close\r\n") != std::string::npos, "%s",
            row.name);
}

std::string get(const std::string& fields) {
  return "GET /a HTTP/1.1\r\n" + fields + "\r\n";
}

std::string post(const std::string& fields, const std::string& body) {
  return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

// A second request that hides in the body of the first.
const std::string kHidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";

std::string coded(const std::string& coding, const std::string& body) {
  return post("Transfer-Encoding: " + coding + "\r\n", body);
}

std::string chunked(const std::string& body) {
  return coded("chunked", body);
}

std::string sized(const std::string& length, const std::string& body) {
  return post("Content-Length: " + length + "\r\n", body);
}

}  // namespace

// Failure: a leaf runs a request that no caller sent.
Test(http_request_framing, a_transfer_coding_other_than_chunked_is_refused) {
  const std::string body = "5\r\nhello\r\n0\r\n\r\n";
  const std::vector<Case> rows = {
      {"unknown", coded("xchunked", body), 501},
      {"unknown with a request behind", coded("xchunked", kHidden), 501},
      {"identity", coded("identity", kHidden), 501},
      {"chunked is not last", coded("chunked, identity", body), 501},
      {"chunked twice", coded("chunked, chunked", body), 501},
      {"a coding below chunked", coded("gzip, chunked", body), 501},
      {"empty", coded("", kHidden), 501},
      {"quoted", coded("\"chunked\"", body), 501},
      {"with a parameter", coded("chunked;q=1", body), 501},
      {"a vertical tab", coded("\vchunked", body), 400},
      {"two fields",
       post("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
            body),
       400},
      {"two fields, the last is chunked",
       post("Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
            body),
       501},
      {"chunked in two fields",
       post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            body),
       400},
      {"on a GET", get("Host: h\r\nTransfer-Encoding: xchunked\r\n"), 501},
      {"with a length before",
       post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", body), 400},
      {"with a length behind",
       post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", body), 400},
      {"in HTTP/1.0",
       "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
           body,
       400},
      {"a space before the colon",
       post("Transfer-Encoding : chunked\r\n", body), 400},
      {"a folded value", post("Transfer-Encoding:\r\n chunked\r\n", body), 200,
       "<POST|/a|h|hello>"},
      {"chunked", coded("chunked", body), 200, "<POST|/a|h|hello>"},
      {"capitals", coded("CHUNKED", body), 200, "<POST|/a|h|hello>"},
      {"blanks around", coded(" chunked \t", body), 200, "<POST|/a|h|hello>"},
  };
  for (const Case& row : rows) {
    check(row);
  }
}

Test(http_request_framing, a_length_is_one_whole_number) {
  const std::vector<Case> rows = {
      {"a sign", sized("+5", "hello"), 400},
      {"negative", sized("-5", "hello"), 400},
      {"hexadecimal", sized("0x5", "hello"), 400},
      {"a letter behind", sized("5a", "hello"), 400},
      {"a fraction", sized("5.0", "hello"), 400},
      {"a space within", sized("1 5", "hello"), 400},
      {"empty", sized("", kHidden), 400},
      {"beyond 64 bits", sized("18446744073709551621", "hello"), 400},
      {"two that differ",
       post("Content-Length: 5\r\nContent-Length: 6\r\n", "hello!"), 400},
      {"a list that differs", sized("5, 6", "hello!"), 400},
      {"a space before the colon", post("Content-Length : 5\r\n", "hello"),
       400},
      {"leading zeros", sized("005", "hello"), 200, "<POST|/a|h|hello>"},
      {"none", post("", ""), 200, "<POST|/a|h|>"},
      {"zero", sized("0", ""), 200, "<POST|/a|h|>"},
      {"on a GET", get("Host: h\r\nContent-Length: 2\r\n") + "ab", 200,
       "<GET|/a|h|ab>"},
  };
  for (const Case& row : rows) {
    check(row);
  }
}

Test(http_request_framing, chunks_are_read_by_the_letter) {
  const std::vector<Case> rows = {
      {"a size with a sign", chunked("+5\r\nhello\r\n0\r\n\r\n"), 400},
      {"a size with 0x", chunked("0x5\r\nhello\r\n0\r\n\r\n"), 400},
      {"no size", chunked("\r\nhello\r\n0\r\n\r\n"), 400},
      {"a size beyond 64 bits",
       chunked("10000000000000005\r\nhello\r\n0\r\n\r\n"), 400},
      {"a bare line feed behind the size", chunked("5\nhello\r\n0\r\n\r\n"),
       400},
      {"data longer than its size", chunked("5\r\nhello!\r\n0\r\n\r\n"), 400},
      {"data shorter than its size", chunked("6\r\nhello\r\n0\r\n\r\n"), 400},
      {"cut short", chunked("5\r\nhel"), 400},
      {"without the last chunk", chunked("5\r\nhello\r\n"), 400},
      {"an extension", chunked("5;a=b\r\nhello\r\n0\r\n\r\n"), 200,
       "<POST|/a|h|hello>"},
      {"two chunks", chunked("2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"), 200,
       "<POST|/a|h|hello>"},
      {"trailers are dropped",
       chunked("5\r\nhello\r\n0\r\nHost: other\r\n\r\n"), 200,
       "<POST|/a|h|hello>"},
  };
  for (const Case& row : rows) {
    check(row);
  }
}

// Failure: a request is routed by one host name and run under another.
Test(http_request_framing, a_request_names_one_host) {
  const std::vector<Case> rows = {
      {"two", get("Host: a\r\nHost: b\r\n"), 400},
      {"two that are equal", get("Host: a\r\nhost: a\r\n"), 400},
      {"two names in one", get("Host: a, b\r\n"), 400},
      {"a blank within", get("Host: a b\r\n"), 400},
      {"a folded name", get("Host: a\r\n b\r\n"), 400},
      {"a path", get("Host: a/b\r\n"), 400},
      {"a user", get("Host: user@a\r\n"), 400},
      {"one", get("Host: a\r\n"), 200, "<GET|/a|a|>"},
      {"with a port", get("Host: a:80\r\n"), 200, "<GET|/a|a:80|>"},
      {"an address", get("Host: [::1]:80\r\n"), 200, "<GET|/a|[::1]:80|>"},
  };
  for (const Case& row : rows) {
    check(row);
  }
}

// Failure: requests through a caller's forward proxy get 404.
Test(http_request_framing, a_target_is_a_path_or_a_whole_uri) {
  const auto with_target = [](const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
  };
  const std::vector<Case> rows = {
      {"a path", with_target("/a?b=c"), 200, "<GET|/a?b=c|h|>"},
      {"a whole URI", with_target("http://other/a?b=c"), 200,
       "<GET|/a?b=c|other|>"},
      {"in capitals, with a port", with_target("HTTP://other:81/a"), 200,
       "<GET|/a|other:81|>"},
      {"without a path", with_target("http://other"), 200, "<GET|/|other|>"},
      {"a query without a path", with_target("http://other?b=c"), 200,
       "<GET|/?b=c|other|>"},
      {"with a user", with_target("http://user@other/a"), 400},
      {"without a host", with_target("http:///a"), 400},
      {"another scheme", with_target("ftp://other/a"), 400},
      {"no slash", with_target("a"), 400},
      {"a host and port", with_target("other:80"), 400},
      {"a fragment", with_target("/a#b"), 400},
  };
  for (const Case& row : rows) {
    check(row);
  }
}

Test(http_request_framing, lines_are_read_by_the_letter) {
  const std::vector<Case> rows = {
      {"no version", "GET /a\r\nHost: h\r\n\r\n", 400},
      {"two blanks", "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n", 400},
      {"a blank in the target", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", 400},
      {"an unknown version", "GET /a HTTP/2.1\r\nHost: h\r\n\r\n", 400},
      {"bare line feeds", "GET /a HTTP/1.1\nHost: h\n\n", 400},
      {"a field without a name", get("Host: h\r\n: x\r\n"), 400},
      {"a field without a colon", get("Host: h\r\nx\r\n"), 400},
      {"a blank before the first field", get(" Host: h\r\n"), 400},
      {"a NUL in a value", get(std::string("Host: h\r\nX: a\0b\r\n", 18)), 400},
      {"a bare carriage return", get("Host: h\r\nX: a\rb\r\n"), 400},
      {"a folded line", get("Host: h\r\nX: a\r\n b\r\n"), 200, "<GET|/a|h|>"},
      {"an empty line before", "\r\n" + get("Host: h\r\n"), 400},
      {"an unknown method", "FETCH /a HTTP/1.1\r\nHost: h\r\n\r\n", 200,
       "<FETCH|/a|h|>"},
  };
  for (const Case& row : rows) {
    check(row);
  }
}
