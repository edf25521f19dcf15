#include "standins/leaf/leaf_connection.h"

#include <sys/socket.h>
#include <xxhash.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <cstdio>

namespace fake_leaf {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::int64_t kDefaultDeadlineMs = 60'000;

std::string text(const HttpRequest& request, std::string_view name) {
  const auto found = request.find({name.data(), name.size()});
  return found == request.end() ? std::string() : std::string(found->value());
}

std::string hash_of(const std::string& body) {
  char digits[17];
  std::snprintf(
      digits, sizeof digits, "%016llx",
      static_cast<unsigned long long>(XXH3_64bits(body.data(), body.size())));
  return digits;
}

Clock::time_point deadline_of(const HttpRequest& request) {
  const std::string value = text(request, "X-Deadline-Ms");
  std::int64_t left = kDefaultDeadlineMs;
  std::from_chars(value.data(), value.data() + value.size(), left);
  return Clock::now() + std::chrono::milliseconds(left);
}

}  // namespace

LeafConnection::LeafConnection(Leaf& leaf, asio::ip::tcp::socket socket)
    : leaf(leaf),
      socket(std::move(socket)),
      timer(this->socket.get_executor()) {}

LeafConnection::~LeafConnection() {
  this->leaf.forget(this);
}

bool LeafConnection::client_there() const {
  char byte;
  const ssize_t got =
      ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

void LeafConnection::close() {
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

asio::awaitable<void> LeafConnection::pause(double milliseconds) {
  if (milliseconds <= 0) {
    co_return;
  }
  this->timer.expires_after(std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double, std::milli>(milliseconds)));
  co_await this->timer.async_wait(kAwait);
}

asio::awaitable<void> LeafConnection::run(
    std::shared_ptr<LeafConnection> self) {
  boost::system::error_code ignored;
  self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  co_await self->pause(self->leaf.config.connect_ms);
  while (self->socket.is_open()) {
    HttpRequest request;
    auto [error, size] =
        co_await http::async_read(self->socket, self->buffer, request, kAwait);
    if (error) {
      break;
    }
    co_await self->pause(self->leaf.config.delay_ms);
    co_await self->handle(request);
  }
}

asio::awaitable<void> LeafConnection::handle(const HttpRequest& request) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  if (target == "/v1/query" || target == "/v1/reserve") {
    co_await this->execute(request);
  } else if (target == "/v1/cancel") {
    this->leaf.cancel(text(request, "X-Call-Id"));
    co_await this->write(HttpResponse(http::status::ok, 11));
  } else if (target == "/v1/health") {
    HttpResponse response(http::status::ok, 11);
    response.body() = this->leaf.health();
    co_await this->write(std::move(response));
  } else {
    co_await this->write(HttpResponse(http::status::not_found, 11));
  }
}

asio::awaitable<void> LeafConnection::execute(const HttpRequest& request) {
  ++this->leaf.stats.calls;
  Call call;
  call.id = text(request, "X-Call-Id");
  call.shard = text(request, "X-Shard");
  call.snapshot = text(request, "X-Snapshot");
  call.key = text(request, "X-Reservation-Key");
  call.body_hash = hash_of(request.body());
  call.reserve = request.target() == "/v1/reserve";
  call.deadline = deadline_of(request);
  call.timer = &this->timer;
  const std::string& state = this->leaf.config.state;
  if (state == "draining" || state == "warming") {
    co_await this->refuse(503, state);
  } else if (!this->leaf.holds(call.snapshot)) {
    co_await this->refuse(410, "snapshot-gone");
  } else if (this->leaf.chance(this->leaf.config.shed_share)) {
    co_await this->refuse(429, "overloaded");
  } else {
    this->leaf.begin_call(call);
    co_await this->serve(call);
    this->leaf.end_call(call);
  }
}

asio::awaitable<void> LeafConnection::serve(Call& call) {
  const bool room = co_await this->leaf.enter(call);
  if (!room) {
    co_await this->refuse(429, "overloaded");
    co_return;
  }
  if (!call.granted) {
    co_await this->stopped(call, false);
    co_return;
  }
  if (call.cancelled || call.deadline <= Clock::now()) {
    this->leaf.leave(call);
    co_await this->stopped(call, false);
    co_return;
  }
  const bool finished = co_await this->work(call);
  this->leaf.end_call(call);  // A cancel comes too late now.
  this->leaf.leave(call);
  if (!finished) {
    this->leaf.record(call, call.cancelled ? "cancelled" : "cut");
    co_await this->stopped(call, true);
    co_return;
  }
  co_await this->answer(call);
}

/// @return False: stopped by a cancel or the deadline.
asio::awaitable<bool> LeafConnection::work(Call& call) {
  const LeafConfig& config = this->leaf.config;
  const Clock::time_point end = call.begin + this->leaf.service_time();
  const bool to_the_end = call.reserve || config.ignore_deadline;
  this->timer.expires_at(to_the_end ? end : std::min(end, call.deadline));
  co_await this->timer.async_wait(kAwait);
  if (this->leaf.chance(config.late_share)) {
    this->timer.expires_at(call.deadline);
    co_await this->timer.async_wait(kAwait);
    co_await this->pause(config.late_ms);
    co_return true;
  }
  co_return !call.cancelled && (to_the_end || end <= call.deadline);
}

asio::awaitable<void> LeafConnection::answer(Call& call) {
  const LeafConfig& config = this->leaf.config;
  const bool die = this->leaf.chance(config.die_share);
  const bool there = !die && this->client_there();
  this->leaf.record(call, there ? "answered" : "cut");
  if (!there) {
    this->close();
    co_return;
  }
  HttpResponse response(http::status::ok, 11);
  const bool wrong = this->leaf.chance(config.wrong_echo_share);
  response.set("X-Call-Id", wrong ? std::string(32, 'f') : call.id);
  response.set("X-Snapshot", call.snapshot);
  response.set("X-Shard", call.shard);
  response.body() = this->result(call);
  if (this->leaf.chance(config.truncate_share)) {
    response.content_length(response.body().size() * 2);
    co_await http::async_write(this->socket, response, kAwait);
    this->close();
    co_return;
  }
  if (this->leaf.chance(config.duplicate_share)) {
    HttpResponse copy = response;
    co_await this->write(std::move(copy));
  }
  co_await this->write(std::move(response));
}

std::string LeafConnection::result(const Call& call) const {
  if (call.reserve) {
    return call.key + "|" + call.body_hash + "|" + call.id;
  }
  std::string body = R"({"hits":[)";
  const auto hits = static_cast<unsigned>(this->leaf.config.hits);
  for (unsigned i = 0; i < hits; ++i) {
    char score[16];
    std::snprintf(score, sizeof score, "%.2f",
                  static_cast<double>(hits - i) / hits);
    body += i == 0 ? "" : ",";
    body += R"({"id":")" + call.shard + "-" + std::to_string(i) +
            R"(","score":)" + score + R"(,"text":")" + call.snapshot + "|" +
            call.shard + "|" + call.body_hash + R"("})";
  }
  return body + "]}";
}

asio::awaitable<void> LeafConnection::refuse(int status,
                                             std::string_view reason) {
  ++this->leaf.stats.refusals;
  HttpResponse response(http::int_to_status(status), 11);
  response.set("X-Execution", "not-run");
  response.set("X-Reason", {reason.data(), reason.size()});
  co_await this->write(std::move(response));
}

/// Answers a call that was cancelled or whose deadline passed.
asio::awaitable<void> LeafConnection::stopped(const Call& call, bool ran) {
  if (!call.cancelled) {
    ++this->leaf.stats.deadlines;
  }
  HttpResponse response(http::int_to_status(call.cancelled ? 499 : 504), 11);
  response.result(static_cast<unsigned>(call.cancelled ? 499 : 504));
  if (!ran) {
    response.set("X-Execution", "not-run");
  }
  response.set("X-Call-Id", call.id);
  co_await this->write(std::move(response));
}

asio::awaitable<void> LeafConnection::write(HttpResponse response) {
  const LeafConfig& config = this->leaf.config;
  if (config.state == "draining" || config.state == "leaving") {
    response.set("X-Leaving", "1");
  }
  response.prepare_payload();
  co_await this->pause(config.delay_ms);
  auto [error, size] =
      co_await http::async_write(this->socket, response, kAwait);
  if (error) {
    this->close();
  }
}

}  // namespace fake_leaf
