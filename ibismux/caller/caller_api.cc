#include "ibismux/caller/caller_api.h"

#include <glog/logging.h>

#include <array>
#include <exception>
#include <utility>

#include "ibismux/caller/answer_renderer.h"
#include "ibismux/caller/caller_metrics.h"
#include "ibismux/caller/caller_ports.h"
#include "ibismux/caller/request_ids.h"
#include "ibismux/caller/request_log.h"
#include "ibismux/caller/request_parser.h"
#include "ibismux/caller/routes.h"

namespace ibismux::caller {

namespace {

/// A request that got past its route: what the operations need.
struct Call {
  IncomingRequest incoming;
  std::shared_ptr<http::CancelToken> cancel;
};

/// Whether the request names a reservation's key, in its path or a field.
bool has_key(const http::Request& request, const Route& route) {
  return !route.key.empty() || (route.operation == Operation::kReserve &&
                                !request.field("Idempotency-Key").empty());
}

/// Tells admission how an admitted request ended.
template <class Outcome>
void tell_door(admission::Permit& permit, const Result<Outcome>& outcome) {
  admission::RequestEnd end;
  if (outcome) {
    end.leaf_wait = outcome->leaf_wait;
  } else {
    end.error = outcome.error().kind;
  }
  permit.finish(end, Clock::now());
}

/// A refusal before anything was looked up. "Not run" would be taken as said of
/// the key, whose earlier attempt may have run; a caller that believes it
/// orders a second time elsewhere. To come back with the same key is safe.
Error at_door(Error error, bool keyed) {
  if (keyed) {
    error.execution = Execution::kUnknown;
  }
  return error;
}

}  // namespace

class CallerApi::Impl : public std::enable_shared_from_this<CallerApi::Impl> {
 public:
  Impl(CallerPorts ports, prometheus::Registry& registry, std::uint64_t seed)
      : ports(std::move(ports)), metrics(registry), ids(seed) {}

  /// Answers one request; never throws.
  [[nodiscard]] Task<http::Response> serve(
      std::shared_ptr<const http::Request> request,
      std::shared_ptr<http::CancelToken> cancel);

 private:
  using Answer = Result<http::Response>;
  using Method = Task<Answer> (Impl::*)(Call);

  /// By `Operation`.
  static const std::array<Method, kOperations> kMethods;

  [[nodiscard]] Task<Answer> dispatch(Operation operation, Call call);
  [[nodiscard]] Task<Answer> query(Call call);
  [[nodiscard]] Task<Answer> reserve(Call call);
  [[nodiscard]] Task<Answer> ask_key(Call call);
  [[nodiscard]] Task<Answer> issue_ticket(Call call);

  [[nodiscard]] Result<admission::Permit> admit(const IncomingRequest& incoming,
                                                const std::string& caller);
  void record(const IncomingRequest& incoming,
              const Answer& answer,
              http::Response& response);

  const CallerPorts ports;
  CallerMetrics metrics;
  RequestIds ids;
};

const std::array<CallerApi::Impl::Method, kOperations>
    CallerApi::Impl::kMethods = {&Impl::query, &Impl::reserve, &Impl::ask_key,
                                 &Impl::issue_ticket};

Task<http::Response> CallerApi::Impl::serve(
    std::shared_ptr<const http::Request> request,
    std::shared_ptr<http::CancelToken> cancel) {
  Call call{IncomingRequest{request, {}, {}, {}, Clock::now()},
            std::move(cancel)};
  IncomingRequest seen = call.incoming;
  auto id = parse_request_id(*request);
  auto route = find_route(*request);
  Answer answer = http::Response{};
  if (id && *id) {
    seen.request_id = std::move(**id);
  } else {
    seen.request_id = this->ids.next();
  }
  if (!route) {
    answer = tl::unexpected(route.error());
  } else if (!id) {
    answer = tl::unexpected(id.error());
  } else if (!this->ports.ready()) {
    answer = tl::unexpected(at_door(
        make_error(ErrorKind::kNotReady, "this daemon has just started"),
        has_key(*request, *route)));
  } else {
    seen.service = std::move(route->service);
    seen.key = std::move(route->key);
    call.incoming = seen;
    answer = co_await this->dispatch(route->operation, std::move(call));
  }
  http::Response response = answer
                                ? std::move(*answer)
                                : render_error(seen.request_id, answer.error());
  this->record(seen, answer, response);
  co_return response;
}

Task<CallerApi::Impl::Answer> CallerApi::Impl::dispatch(Operation operation,
                                                        Call call) {
  const Method method = kMethods[static_cast<std::size_t>(operation)];
  try {
    co_return co_await (this->*method)(std::move(call));
  } catch (const std::exception& thrown) {
    LOG(ERROR) << "event=caller_request_threw what=\"" << thrown.what() << '"';
  }
  co_return fail(ErrorKind::kInternal, "unexpected failure");
}

Task<CallerApi::Impl::Answer> CallerApi::Impl::query(Call call) {
  auto request = parse_query(call.incoming);
  if (!request) {
    co_return tl::unexpected(request.error());
  }
  auto permit = this->admit(call.incoming, request->caller);
  if (!permit) {
    co_return tl::unexpected(permit.error());
  }
  auto answer =
      co_await this->ports.query(std::move(*request), std::move(call.cancel));
  tell_door(*permit, answer);
  if (!answer) {
    co_return tl::unexpected(answer.error());
  }
  co_return render_query(call.incoming.request_id, *answer);
}

Task<CallerApi::Impl::Answer> CallerApi::Impl::reserve(Call call) {
  auto request = parse_reservation(call.incoming);
  if (!request) {
    co_return tl::unexpected(request.error());
  }
  auto permit = this->admit(call.incoming, request->caller);
  if (!permit) {
    co_return tl::unexpected(at_door(permit.error(), !request->key.empty()));
  }
  // A caller that goes away doesn't end a reservation: it may have run.
  auto answer = co_await this->ports.reserve(std::move(*request));
  if (answer && answer->state == reservation::KeyState::kUnknown) {
    answer = fail(ErrorKind::kOutcomeUnknown, "the reservation may have run");
  }
  tell_door(*permit, answer);
  if (!answer) {
    co_return tl::unexpected(answer.error());
  }
  co_return render_reservation(call.incoming.request_id, *answer);
}

Task<CallerApi::Impl::Answer> CallerApi::Impl::ask_key(Call call) {
  auto question = parse_key_question(call.incoming);
  if (!question) {
    co_return tl::unexpected(question.error());
  }
  auto permit = this->admit(call.incoming, question->caller);
  if (!permit) {
    co_return tl::unexpected(at_door(permit.error(), true));
  }
  auto answer = co_await this->ports.ask(call.incoming.service, question->key,
                                         question->deadline);
  tell_door(*permit, answer);
  if (!answer) {
    co_return tl::unexpected(answer.error());
  }
  co_return render_key(call.incoming.request_id, question->key, *answer);
}

Task<CallerApi::Impl::Answer> CallerApi::Impl::issue_ticket(Call call) {
  co_return render_ticket(call.incoming.request_id, this->ports.issue_ticket());
}

Result<admission::Permit> CallerApi::Impl::admit(
    const IncomingRequest& incoming,
    const std::string& caller) {
  return this->ports.admit(incoming.service, caller, Clock::now());
}

void CallerApi::Impl::record(const IncomingRequest& incoming,
                             const Answer& answer,
                             http::Response& response) {
  response.add("X-Request-Id", incoming.request_id);
  const std::optional<ErrorKind> error =
      answer ? std::nullopt : std::optional(answer.error().kind);
  const Duration took = Clock::now() - incoming.received;
  const bool exists =
      error != ErrorKind::kNotFound && error != ErrorKind::kInvalidRequest;
  this->metrics.record(exists ? incoming.service : std::string(), error, took);
  log_request(incoming, answer ? nullptr : &answer.error(), took);
}

CallerApi::CallerApi(CallerPorts ports,
                     prometheus::Registry& metrics,
                     std::uint64_t seed)
    : impl(std::make_shared<Impl>(std::move(ports), metrics, seed)) {}

CallerApi::~CallerApi() = default;

http::Server::Handler CallerApi::handler() const {
  return [impl = this->impl](std::shared_ptr<const http::Request> request,
                             std::shared_ptr<http::CancelToken> cancel) {
    return impl->serve(std::move(request), std::move(cancel));
  };
}

}  // namespace ibismux::caller
