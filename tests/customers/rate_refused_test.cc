#include "ibismux/customers/rate_limiter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "ibismux/eventlog/event_log.h"
#include "ibismux/membership/membership_view.h"
#include "tests/support/fake_peer_network.h"
#include "tests/support/run_until.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <iterator>
#include <optional>
#include <set>
#include <sstream>
#include <string>

namespace ibismux::customers {
namespace {

using peer::MessageKind;
using std::chrono::milliseconds;

/// A limiter at h1, of a fleet with two more daemons. h1 doesn't take itself
/// for an owner yet.
struct Fixture {
  int ends[2] = {-1, -1};
  boost::asio::io_context loop;
  prometheus::Registry registry;
  tests::FakePeerCluster cluster;
  std::optional<eventlog::EventLog> log;
  std::shared_ptr<RateLimiter> limiter;

  Fixture() {
    cr_assert(::pipe(this->ends) == 0);
    ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    this->log.emplace(
        this->loop,
        eventlog::EventLogSettings{.host = "h1", .descriptor = this->ends[1]});
    auto& network = this->cluster.add({"h1", 1}, this->loop.get_executor());
    this->limiter = std::make_shared<RateLimiter>(
        &network, RateLimiter::Settings{"h1", "z1", {}}, this->registry,
        *this->log);
    this->limiter->start();
    membership::MembershipView view;
    view.joined = true;
    for (const char* number : {"1", "2", "3"}) {
      membership::Member member;
      member.name = std::string("h") + number;
      member.zone = std::string("z") + number;
      view.members.push_back(member);
    }
    this->limiter->on_view(view, 3);
  }
  ~Fixture() {
    this->log.reset();
    ::close(this->ends[0]);
    ::close(this->ends[1]);
  }

  /// Adds an owner that refuses all requests.
  void add_owner(const std::string& name) {
    this->cluster.add({name, 1}, this->loop.get_executor())
        .on_request(MessageKind::kRateRequest,
                    [](Incarnation, std::string) -> Task<Result<std::string>> {
                      co_return encode(
                          RateReply{true, false, std::chrono::seconds(1), 2});
                    });
  }

  /// The error of a request that must be refused.
  Error refuse(const std::string& request) {
    RateCheck check;
    check.customer = {"c1", std::nullopt, {10, 5}};
    check.latest_start = check.deadline = Clock::now() + std::chrono::hours(1);
    check.request = request;
    std::optional<Result<RateGrant>> end;
    boost::asio::co_spawn(
        this->loop, this->limiter->admit(std::move(check)),
        [&end](const std::exception_ptr&, Result<RateGrant> grant) {
          end = std::move(grant);
        });
    cr_assert(testing::run_until(this->loop, [&] { return end.has_value(); }));
    cr_assert(!end->has_value());
    return end->error();
  }

  /// The log's lines `rate_refused`.
  std::vector<boost::json::object> refusals() {
    this->log->flush();
    std::string text(1 << 16, '\0');
    const ssize_t bytes = ::read(this->ends[0], text.data(), text.size());
    std::istringstream stream(text.substr(0, bytes > 0 ? bytes : 0));
    std::vector<boost::json::object> lines;
    for (std::string line; std::getline(stream, line);) {
      auto object = boost::json::parse(line).as_object();
      if (object.at("event").as_string() == "rate_refused") {
        lines.push_back(std::move(object));
      }
    }
    return lines;
  }
};

using Names = std::set<std::string>;

/// The words of one field.
Names words(const boost::json::object& line, std::string_view field) {
  std::istringstream stream(std::string(line.at(field).as_string()));
  return {std::istream_iterator<std::string>(stream), {}};
}

// Guards against refusals that no log explains.
Test(rate_limiter, a_refusal_names_the_limit_the_owners_and_their_age) {
  Fixture fixture;
  fixture.add_owner("h2");
  fixture.add_owner("h3");
  cr_assert(fixture.refuse("r1").kind == ErrorKind::kRateLimited);
  const Error again = fixture.refuse("r2");
  const auto lines = fixture.refusals();
  cr_assert(lines.size() == 2);
  for (const auto& line : lines) {
    cr_assert(line.at("customer").as_string() == "c1");
    cr_assert(line.at("per_second").to_number<double>() == 10);
    cr_assert(line.at("burst").to_number<double>() == 5);
    cr_assert(line.at("result").as_string() == "refused");
    cr_assert(words(line, "refused_by") == Names({"h2", "h3"}));
    cr_assert(line.at("unreached").as_string() == "h1");
  }
  cr_assert(lines[0].at("request").as_string() == "r1");
  cr_assert(!lines[0].contains("remembered_ms"));
  cr_assert(lines[1].at("remembered_ms").to_number<double>() >= 0);
  cr_assert(lines[1].at("retry_after_ms").to_number<double>() ==
            static_cast<double>(again.retry_after->count()));
}

Test(rate_limiter, a_request_without_an_owner_in_reach_is_undecided) {
  Fixture fixture;
  cr_assert(fixture.refuse("r1").kind == ErrorKind::kNotReady);
  const auto lines = fixture.refusals();
  cr_assert(lines.size() == 1);
  cr_assert(lines[0].at("result").as_string() == "undecided");
  cr_assert(lines[0].at("refused_by").as_string().empty());
  cr_assert(words(lines[0], "unreached") == Names({"h1", "h2", "h3"}));
}

}  // namespace
}  // namespace ibismux::customers
