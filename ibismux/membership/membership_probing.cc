// How probes are sent, and answered, for the engine.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "ibismux/membership/membership_service_impl.h"

namespace ibismux::membership {

namespace {

using peer::MessageKind;

}  // namespace

Task<std::optional<ProbeAnswer>> MembershipService::Impl::exchange(
    std::string target,
    ProbeMessage message) {
  const TimePoint deadline = Clock::now() + this->settings.probe_timeout;
  std::string payload = encode(message);
  auto response = co_await this->network.request(
      std::move(target), MessageKind::kProbe, std::move(payload), deadline);
  this->metrics.probed(response.has_value());
  if (!response) {
    co_return std::nullopt;
  }
  auto answer = decode_answer(*response);
  if (!answer) {
    co_return std::nullopt;
  }
  co_return std::move(*answer);
}

Task<void> MembershipService::Impl::send_probe(Self self,
                                               Commands::Probe probe) {
  std::string target = probe.target;
  ProbeMessage message = std::move(probe.message);
  const auto answer = co_await self->exchange(target, std::move(message));
  if (!self->stopped) {
    self->engine->on_probe_result(target, answer, Clock::now());
    self->carry_out();
  }
}

Task<void> MembershipService::Impl::send_indirect(Self self,
                                                  Commands::Indirect indirect) {
  // The helper's own probe must fit in.
  const TimePoint deadline = Clock::now() + 2 * self->settings.probe_timeout;
  std::string payload = encode_indirect_probe(indirect.target);
  std::string helper = indirect.helper;
  const auto response = co_await self->network.request(
      std::move(helper), MessageKind::kIndirectProbe, std::move(payload),
      deadline);
  const auto reached =
      response ? decode_indirect_answer(*response) : Result<bool>(false);
  if (!self->stopped) {
    self->engine->on_indirect_result(indirect.target, reached.value_or(false),
                                     Clock::now());
    self->carry_out();
  }
}

Task<Result<std::string>> MembershipService::Impl::serve_on_loop(
    Self self,
    Task<Result<std::string>> work) {
  if (!self) {
    co_return fail(ErrorKind::kNotReady, "no membership here");
  }
  Result<std::string> result = co_await boost::asio::co_spawn(
      self->loop, std::move(work), boost::asio::use_awaitable);
  co_return result;
}

Task<Result<std::string>> MembershipService::Impl::answer_probe(
    Self self,
    Incarnation from,
    std::string payload) {
  const auto message = decode_probe(payload);
  if (!message) {
    co_return tl::unexpected<Error>(message.error());
  }
  if (!self->engine || self->stopped) {
    co_return fail(ErrorKind::kNotReady, "no membership here");
  }
  const ProbeAnswer answer =
      self->engine->on_probe(from, *message, Clock::now());
  self->carry_out();
  co_return encode(answer);
}

Task<Result<std::string>> MembershipService::Impl::answer_indirect(
    Self self,
    std::string payload) {
  auto target = decode_indirect_probe(payload);
  if (!target) {
    co_return tl::unexpected<Error>(target.error());
  }
  if (!self->engine || self->stopped) {
    co_return fail(ErrorKind::kNotReady, "no membership here");
  }
  ProbeMessage message = self->engine->probe_message(*target);
  const auto answer = co_await self->exchange(*target, std::move(message));
  co_return encode_indirect_answer(answer.has_value());
}

}  // namespace ibismux::membership
