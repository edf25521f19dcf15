#ifndef STANDINS_PLATFORM_SERVICE_H_
#define STANDINS_PLATFORM_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "standins/platform/faults.h"
#include "standins/platform/stats.h"
#include "standins/platform/store.h"

namespace fake_platform {

/// A request as far as the platform looks at it.
struct Call {
  std::string method;
  std::vector<std::string> path;  ///< Its parts, unescaped.
  std::map<std::string, std::string> parameters;
  std::optional<std::string> if_match;
  std::optional<std::string> if_none_match;
  std::string body;
};

struct Reply {
  int status = 200;
  std::string body;
  std::optional<Version> etag;
  bool cut = false;  ///< Close the connection in place of an answer.
};

/// The platform's calls, its faults, and the test's own calls below /fake/.
/// Belongs to the one thread of `loop`.
class Service {
 public:
  Service(boost::asio::io_context& loop,
          Store store,
          Stats stats,
          Faults faults,
          std::uint64_t seed);

  /// Answers one call. The service outlives it.
  boost::asio::awaitable<Reply> handle(Call call);

 private:
  using Action = Reply (Service::*)(const Call&);

  struct HostList {
    Clock::time_point shown_at;
    boost::json::array hosts;
  };

  boost::asio::awaitable<Reply> serve(Call call, Kind kind);
  boost::asio::awaitable<Reply> watch(Call call);
  [[nodiscard]] bool is_out(Kind kind, bool host_list) const;
  boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
  /// Suspends until a write or a change of the faults, at most until `limit`.
  boost::asio::awaitable<void> wait_for_news(Clock::time_point limit);
  void tell_news();

  Reply read(const Call& call);
  Reply list(const std::string& collection);
  Reply hosts();
  Reply write(const Call& call);
  Reply changes(const std::string& collection, Version since) const;

  Reply control(const Call& call);
  Reply put_faults(const Call& call);
  Reply put_hosts(const Call& call);
  Reply put_compact(const Call& call);
  Reply get_stats(const Call& call);

  boost::asio::io_context& loop;
  Store store;
  Stats stats;
  Faults faults;
  Dice dice;
  std::deque<HostList> host_lists;
  std::set<boost::asio::steady_timer*> waiters;
};

}  // namespace fake_platform

#endif  // STANDINS_PLATFORM_SERVICE_H_
