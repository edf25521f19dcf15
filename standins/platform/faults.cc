#include "standins/platform/faults.h"

#include <boost/json/value.hpp>
#include <string_view>

namespace fake_platform {

namespace {

namespace json = boost::json;
using Millis = std::chrono::milliseconds;

constexpr double kLongestMillis = 3'600'000;

struct Switch {
  std::string_view name;
  bool Faults::*member;
};
struct Share {
  std::string_view name;
  double Faults::*member;
};
struct Time {
  std::string_view name;
  Millis Faults::*member;
};

constexpr Switch kSwitches[] = {{"outage", &Faults::outage},
                                {"store_outage", &Faults::store_outage},
                                {"hang", &Faults::hang},
                                {"hang_writes", &Faults::hang_writes},
                                {"fail_reads", &Faults::fail_reads},
                                {"silent_watch", &Faults::silent_watch},
                                {"old_events", &Faults::old_events}};
constexpr Share kShares[] = {{"lose_answers", &Faults::lose_answers},
                             {"lose_requests", &Faults::lose_requests}};
constexpr Time kTimes[] = {{"latency_ms", &Faults::latency},
                           {"latency_spread_ms", &Faults::latency_spread},
                           {"host_lag_ms", &Faults::host_lag}};

bool set_switch(Faults& faults,
                std::string_view key,
                const json::value& value) {
  for (const Switch& row : kSwitches) {
    if (row.name == key && value.is_bool()) {
      faults.*row.member = value.get_bool();
      return true;
    }
  }
  return false;
}

bool set_number(Faults& faults,
                std::string_view key,
                const json::value& value) {
  boost::system::error_code error;
  const double number = value.to_number<double>(error);
  if (error || number < 0) {
    return false;
  }
  for (const Share& row : kShares) {
    if (row.name == key && number <= 1) {
      faults.*row.member = number;
      return true;
    }
  }
  for (const Time& row : kTimes) {
    if (row.name == key && number <= kLongestMillis) {
      faults.*row.member = Millis(static_cast<std::int64_t>(number));
      return true;
    }
  }
  return false;
}

}  // namespace

std::string Faults::apply(const json::object& change) {
  Faults changed = *this;
  for (const auto& [key, value] : change) {
    if (key != "seed" && !set_switch(changed, key, value) &&
        !set_number(changed, key, value)) {
      return "not a fault, or not a value for it: " + std::string(key);
    }
  }
  *this = changed;
  return {};
}

json::object Faults::to_json() const {
  json::object object;
  for (const Switch& row : kSwitches) {
    object[row.name] = this->*row.member;
  }
  for (const Share& row : kShares) {
    object[row.name] = this->*row.member;
  }
  for (const Time& row : kTimes) {
    object[row.name] = (this->*row.member).count();
  }
  return object;
}

}  // namespace fake_platform
