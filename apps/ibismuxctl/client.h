#ifndef IBISMUX_APPS_IBISMUXCTL_CLIENT_H_
#define IBISMUX_APPS_IBISMUXCTL_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/http/client_pool.h"
#include "options.h"

namespace ibismux::ctl {

/// A daemon's answer.
struct Answer {
  int status = 0;
  boost::json::value body;

  [[nodiscard]] bool ok() const noexcept { return this->status < 300; }
  /// The message of a refusal.
  [[nodiscard]] std::string message() const;
};

/// Calls the first daemon that answers, one call after another. Blocks.
/// Not thread safe.
class Client {
 public:
  using Fields = std::vector<std::pair<std::string, std::string>>;

  explicit Client(const std::vector<Address>& addresses);

  /// Sends the request; with each daemon that can't be reached, and each that
  /// cuts the connection, to the next one. A write must carry a change id, by
  /// which the daemons know it again.
  /// Errors: kPeerUnavailable where none answered.
  [[nodiscard]] Result<Answer> call(std::string method,
                                    std::string target,
                                    std::string body,
                                    Fields fields,
                                    TimePoint deadline);

 private:
  [[nodiscard]] Result<http::Response> send(http::ClientPool& pool,
                                            http::Request request,
                                            TimePoint deadline);

  boost::asio::io_context loop;
  std::vector<std::unique_ptr<http::ClientPool>> pools;
  std::size_t current = 0;
};

}  // namespace ibismux::ctl

#endif  // IBISMUX_APPS_IBISMUXCTL_CLIENT_H_
