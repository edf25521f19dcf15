#ifndef IBISMUX_HTTP_MESSAGE_H_
#define IBISMUX_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ibismux::http {

/// Header fields and body, which requests and responses share.
struct Message {
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /// The value of field `name`, case-insensitive; empty where it is absent.
  [[nodiscard]] std::string_view field(std::string_view name) const noexcept;

  /// Adds a field. Precondition: neither part holds a line break.
  void add(std::string_view name, std::string_view value);
};

/// An HTTP request. `target` is the path with its query part, still escaped.
struct Request : Message {
  std::string method = "GET";
  std::string target = "/";
  std::string remote;  ///< Server side: the client's address, for logs.
  /// Server side: the first one of its connection.
  bool opens_connection = false;

  /// The path without its query part.
  [[nodiscard]] std::string_view path() const noexcept;

  /// The query parameter `name`, unescaped; empty where it is absent.
  [[nodiscard]] std::string parameter(std::string_view name) const;
};

/// Fields that one receiver of a request gets besides those of the request
/// itself. Names outlive the exchange.
using ExtraFields = std::vector<std::pair<std::string_view, std::string>>;

/// An HTTP response. The server fills in Content-Length and Connection.
struct Response : Message {
  int status = 200;
};

/// The parts of `path` between slashes, unescaped: "/v1/a%20b" -> {"v1","a b"}.
[[nodiscard]] std::vector<std::string> split_path(std::string_view path);

}  // namespace ibismux::http

#endif  // IBISMUX_HTTP_MESSAGE_H_
