#include "client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <optional>

namespace ibismux::ctl {
namespace {

Task<void> exchange(http::ClientPool& pool,
                    http::Request request,
                    TimePoint deadline,
                    std::optional<Result<http::Response>>& result) {
  result.emplace(co_await pool.send(std::move(request), deadline));
}

}  // namespace

std::string Answer::message() const {
  if (this->body.is_object()) {
    const boost::json::value* text =
        this->body.get_object().if_contains("message");
    if (text != nullptr && text->is_string()) {
      return std::string(text->get_string());
    }
  }
  return "HTTP status " + std::to_string(this->status);
}

Client::Client(const std::vector<Address>& addresses) {
  for (const Address& address : addresses) {
    this->pools.push_back(std::make_unique<http::ClientPool>(
        address.host, address.port, /*most_idle=*/1));
  }
}

Result<http::Response> Client::send(http::ClientPool& pool,
                                    http::Request request,
                                    TimePoint deadline) {
  std::optional<Result<http::Response>> result;
  boost::asio::co_spawn(this->loop,
                        exchange(pool, std::move(request), deadline, result),
                        boost::asio::detached);
  this->loop.restart();
  // Not until the loop has no more work: an idle connection waits on it.
  while (!result) {
    this->loop.run_one();
  }
  return std::move(*result);
}

Result<Answer> Client::call(std::string method,
                            std::string target,
                            std::string body,
                            Fields fields,
                            TimePoint deadline) {
  http::Request request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.body = std::move(body);
  request.fields = std::move(fields);
  std::string reason;
  for (std::size_t i = 0; i < this->pools.size(); ++i) {
    http::ClientPool& pool = *this->pools[this->current];
    Result<http::Response> response = this->send(pool, request, deadline);
    if (response) {
      Answer answer{response->status, {}};
      boost::system::error_code error;
      answer.body = boost::json::parse(response->body, error);
      return answer;
    }
    reason = response.error().message;
    this->current = (this->current + 1) % this->pools.size();
  }
  return fail(ErrorKind::kPeerUnavailable, "no daemon answered: " + reason);
}

}  // namespace ibismux::ctl
