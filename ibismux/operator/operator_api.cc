#include "ibismux/operator/operator_api.h"

#include <utility>

#include "ibismux/operator/handlers.h"

namespace ibismux::operators {

class OperatorApi::Impl : public Handlers {
 public:
  using Handlers::Handlers;
};

OperatorApi::OperatorApi(OperatorPorts ports)
    : impl(std::make_shared<Impl>(std::move(ports))) {}

OperatorApi::~OperatorApi() = default;

http::Server::Handler OperatorApi::handler() const {
  std::shared_ptr<Handlers> handlers = this->impl;
  return [handlers](std::shared_ptr<const http::Request> request,
                    std::shared_ptr<http::CancelToken> client) {
    return Handlers::serve(handlers, std::move(request), std::move(client));
  };
}

}  // namespace ibismux::operators
