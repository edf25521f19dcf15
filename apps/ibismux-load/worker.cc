#include "apps/ibismux-load/worker.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <random>
#include <utility>

namespace ibismux::load {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t kAnyDaemon = SIZE_MAX;
constexpr std::chrono::milliseconds kRetryPause{50};
constexpr std::chrono::milliseconds kMostRetryPause{2'000};
constexpr int kOk = 200;

json::array names_of(const json::object& body, std::string_view key) {
  const json::value* coverage = body.if_contains("coverage");
  const json::value* list = coverage != nullptr && coverage->is_object()
                                ? coverage->as_object().if_contains(key)
                                : nullptr;
  json::array names;
  if (list != nullptr && list->is_array()) {
    for (const json::value& one : list->as_array()) {
      names.push_back(one.is_object() ? one.as_object().at("shard") : one);
    }
  }
  return names;
}

json::array hits_of(const json::object& body) {
  const json::value* list = body.if_contains("hits");
  return list != nullptr && list->is_array() ? list->as_array() : json::array();
}

std::string ticket_in(const http::Response& response) {
  boost::system::error_code error;
  const json::value body = json::parse(response.body, error);
  if (error || !body.is_object() || !body.as_object().contains("ticket")) {
    return std::string();
  }
  return json::value_to<std::string>(body.at("ticket"));
}

std::uint64_t seed_of(const Experiment& experiment, std::size_t index) {
  return experiment.seed * 1000 + index;
}

}  // namespace

Worker::Worker(const Experiment& experiment,
               std::size_t index,
               std::vector<DaemonAddress> addresses,
               HistoryFile& history)
    : experiment(experiment),
      index(index),
      history(history),
      balancer(std::move(addresses),
               experiment.random_balance,
               seed_of(experiment, index)),
      arrivals(experiment,
               1.0 / static_cast<double>(experiment.threads),
               seed_of(experiment, index)),
      random(seed_of(experiment, index) + 500) {}

void Worker::run(TimePoint begin) {
  this->begin = begin;
  this->spawn(this->generate());
  asio::co_spawn(
      this->loop,
      this->balancer.watch_readiness(begin + this->experiment.length()),
      asio::detached);
  this->loop.run();
}

void Worker::spawn(Task<> task) {
  ++this->open_tasks;
  asio::co_spawn(this->loop, std::move(task),
                 [this](const std::exception_ptr& problem) {
                   if (problem) {
                     std::rethrow_exception(problem);
                   }
                   // Idle connections wait for their server to close them: the
                   // loop would not end by itself.
                   if (--this->open_tasks == 0) {
                     this->loop.stop();
                   }
                 });
}

bool Worker::chance(double share) {
  return share > 0 &&
         std::uniform_real_distribution<>(0, 1)(this->random) < share;
}

Task<> Worker::generate() {
  asio::steady_timer timer(this->loop);
  while (const std::optional<Arrival> arrival = this->arrivals.next()) {
    const TimePoint due = this->begin + arrival->at;
    if (due > Clock::now()) {
      timer.expires_at(due);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    this->recorder.worst_lag =
        std::max(this->recorder.worst_lag, Clock::now() - due);
    this->start(*arrival);
  }
}

void Worker::start(const Arrival& arrival) {
  const ServiceLoad& service = this->experiment.services[arrival.service];
  Job job = this->make_job(service, this->begin + arrival.at);
  ++this->recorder.at(service.group, arrival.at).sent;
  if (!service.reservation) {
    this->spawn(this->query(std::move(job)));
    return;
  }
  if (service.keyed && this->chance(service.burst_share)) {
    for (std::size_t i = 1; i < this->balancer.size(); ++i) {
      this->spawn(this->repeat_at(job, i));
    }
  }
  this->spawn(this->reserve(std::move(job)));
}

Worker::Job Worker::make_job(const ServiceLoad& service, TimePoint intended) {
  Job job;
  job.service = &service;
  job.id = "load-" + std::to_string(this->experiment.seed) + "-" +
           std::to_string(this->index) + "-" + std::to_string(this->sequence++);
  if (service.reservation && service.keyed && !service.tickets) {
    job.key = "key-" + job.id;
  }
  job.body = R"({"query":")" + job.id;
  if (job.body.size() + 2 < service.body_bytes) {
    job.body.append(service.body_bytes - job.body.size() - 2, '.');
  }
  job.body += "\"}";
  job.hash = body_hash(job.body);
  job.intended = intended;
  return job;
}

http::Request Worker::request_of(const Job& job) const {
  const ServiceLoad& service = *job.service;
  http::Request request;
  request.method = "POST";
  request.target = "/v1/services/" + service.name +
                   (service.reservation ? "/reservations" : "/query");
  request.add("X-Request-Id", job.id);
  const std::size_t number = std::hash<std::string>()(job.id);
  request.add(
      "X-Caller",
      "caller-" + std::to_string(number % std::max(1U, service.callers)));
  if (service.deadline.count() > 0) {
    request.add("X-Deadline-Ms", std::to_string(service.deadline.count()));
  }
  if (service.reservation) {
    request.add("X-Item",
                "item-" + std::to_string(number % std::max(1U, service.items)));
    if (!job.key.empty()) {
      request.add("Idempotency-Key", job.key);
    }
  }
  request.body = job.body;
  return request;
}

/// One request and its answer; `daemon` is kAnyDaemon or a position.
Task<AnswerFacts> Worker::attempt(const Job& job, std::size_t daemon) {
  const TimePoint sent = Clock::now();
  const TimePoint deadline = sent + this->experiment.client_timeout;
  http::Request request = this->request_of(job);
  Result<http::Response> response = fail(ErrorKind::kInternal, "");
  if (daemon == kAnyDaemon) {
    response = co_await this->balancer.send(std::move(request), deadline);
  } else {
    auto shared = std::make_shared<const http::Request>(std::move(request));
    response =
        co_await this->balancer.send_to(daemon, std::move(shared), deadline);
  }
  AnswerFacts facts;
  if (response) {
    facts = read_answer(*response, job.hash);
  } else {
    facts.error = error_entry(response.error().kind).name;
    facts.execution = response.error().execution == Execution::kNotRun
                          ? "not_run"
                          : "unknown";
  }
  if (job.service->reservation) {
    this->record_attempt(job, sent, facts);
  } else {
    this->record_query(job, sent, facts);
  }
  co_return facts;
}

Task<> Worker::query(Job job) {
  AnswerFacts facts = co_await this->attempt(job, kAnyDaemon);
  this->record(job, facts);
}

Task<std::string> Worker::ticket() {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/tickets";
  Result<http::Response> response = co_await this->balancer.send(
      std::move(request), Clock::now() + this->experiment.client_timeout);
  co_return response ? ticket_in(*response) : std::string();
}

Task<> Worker::reserve(Job job) {
  if (job.service->tickets) {
    job.key = co_await this->ticket();
  }
  asio::steady_timer timer(this->loop);
  AnswerFacts facts;
  for (std::uint32_t i = 0; i <= job.service->retries; ++i) {
    facts = co_await this->attempt(job, kAnyDaemon);
    ++this->recorder.at(job.service->group, job.intended - this->begin)
          .attempts;
    const bool settled = facts.status == kOk && facts.state == "run";
    // Without a key, only what is known not to have run may be sent again.
    if (settled || (job.key.empty() && facts.execution != "not_run")) {
      break;
    }
    const std::chrono::milliseconds said(facts.retry_after_ms);
    timer.expires_after(said.count() < 0 ? kRetryPause * (1 << std::min(i, 5U))
                                         : std::min(said, kMostRetryPause));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  this->record(job, facts);
  if (!job.key.empty() && facts.state == "run" &&
      this->chance(job.service->other_body_share)) {
    co_await this->repeat_with_other_body(std::move(job));
  }
}

Task<> Worker::repeat_at(Job job, std::size_t daemon) {
  AnswerFacts facts = co_await this->attempt(job, daemon);
}

/// A key that comes again with another body must be refused; the history shows
/// if it ran.
Task<> Worker::repeat_with_other_body(Job job) {
  job.body += " ";
  job.hash = body_hash(job.body);
  AnswerFacts facts = co_await this->attempt(job, kAnyDaemon);
  if (facts.status == kOk) {
    ++this->recorder.at(job.service->group, job.intended - this->begin).foreign;
  }
}

void Worker::record(const Job& job, const AnswerFacts& facts) {
  this->recorder.at(job.service->group, job.intended - this->begin)
      .add(facts, Clock::now() - job.intended);
}

json::object Worker::history_row(std::string_view type,
                                 const Job& job,
                                 TimePoint sent,
                                 const AnswerFacts& facts) {
  return {{"type", type},
          {"request_id", job.id},
          {"service", job.service->name},
          {"body_hash", job.hash},
          {"sent_us", to_micros(sent)},
          {"done_us", to_micros(Clock::now())},
          {"status", facts.status},
          {"error", facts.error},
          {"execution", facts.execution}};
}

void Worker::record_query(const Job& job,
                          TimePoint sent,
                          const AnswerFacts& facts) {
  if (!this->history.enabled()) {
    return;
  }
  json::object row = history_row("query", job, sent, facts);
  row["snapshot"] = facts.snapshot;
  row["total"] = facts.shards;
  row["contributed"] = names_of(facts.body, "contributed");
  row["missing"] = names_of(facts.body, "missing");
  row["hits"] = hits_of(facts.body);
  this->history.add(row);
}

void Worker::record_attempt(const Job& job,
                            TimePoint sent,
                            const AnswerFacts& facts) {
  if (!this->history.enabled()) {
    return;
  }
  json::object row = history_row("reservation", job, sent, facts);
  row["key"] = job.key;
  row["state"] = facts.state;
  row["result"] = facts.result;
  this->history.add(row);
}

}  // namespace ibismux::load
