#include "ibismux/settings/field.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <optional>

namespace ibismux::settings {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMostPort = 65535;
constexpr std::size_t kMostNameBytes = 64;

bool is_name(std::string_view text) {
  const auto allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMostNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

bool is_address(std::string_view text) {
  boost::system::error_code failure;
  boost::asio::ip::make_address(std::string(text), failure);
  return !failure;
}

/// Where peers are told to connect: no host answers to "any address".
bool is_host_address(std::string_view text) {
  boost::system::error_code failure;
  const auto address =
      boost::asio::ip::make_address(std::string(text), failure);
  return !failure && !address.is_unspecified();
}

bool is_ownership(std::string_view text) {
  return text == "gateway" || text == "direct";
}

/// What each form takes, in words, and the check.
struct FormEntry {
  std::string_view words;
  bool (*check)(std::string_view);
};

constexpr std::array<FormEntry, 4> kForms = {{
    {"1 to 64 letters, digits, '-', '_' or '.'", is_name},
    {"an IP number", is_address},
    {"an IP number of this host", is_host_address},
    {"\"gateway\" or \"direct\"", is_ownership},
}};

const FormEntry& form_entry(TextForm form) {
  return kForms[static_cast<std::size_t>(form)];
}

std::optional<std::int64_t> whole(const boost::json::value& value) {
  boost::system::error_code failure;
  const auto number = value.to_number<std::int64_t>(failure);
  if (failure || value.is_double()) {
    return std::nullopt;
  }
  return number;
}

/// Reads, writes and describes one kind of binding.
struct Setter {
  Settings& settings;
  const boost::json::value& value;

  bool operator()(const TextField& field) const {
    if (!value.is_string()) {
      return false;
    }
    const std::string text(value.as_string());
    if (!form_entry(field.form).check(text)) {
      return false;
    }
    settings.*field.member = text;
    return true;
  }
  bool operator()(const NumberField& field) const {
    const std::optional<std::int64_t> number = whole(value);
    if (!number || *number < field.least || *number > field.most) {
      return false;
    }
    settings.*field.member = static_cast<std::uint32_t>(*number);
    return true;
  }
  bool operator()(const MillisField& field) const {
    const std::optional<std::int64_t> number = whole(value);
    if (!number || *number < field.least.count() ||
        *number > field.most.count()) {
      return false;
    }
    settings.*field.member = milliseconds(*number);
    return true;
  }
};

struct Getter {
  const Settings& settings;

  boost::json::value operator()(const TextField& field) const {
    return boost::json::value(settings.*field.member);
  }
  boost::json::value operator()(const NumberField& field) const {
    return settings.*field.member;
  }
  boost::json::value operator()(const MillisField& field) const {
    return (settings.*field.member).count();
  }
};

struct Describer {
  std::string operator()(const TextField& field) const {
    return std::string(form_entry(field.form).words);
  }
  std::string operator()(const NumberField& field) const {
    return "a whole number from " + std::to_string(field.least) + " to " +
           std::to_string(field.most);
  }
  std::string operator()(const MillisField& field) const {
    return "whole milliseconds from " + std::to_string(field.least.count()) +
           " to " + std::to_string(field.most.count());
  }
};

constexpr auto kDay = milliseconds(24 * 3600 * 1000);

const std::array kFields = {
    Field{"member", "Name of this host, unique in the cluster.",
          TextField{&Settings::member, TextForm::kName}, true},
    Field{"zone", "Availability zone of this host.",
          TextField{&Settings::zone, TextForm::kName}, true},
    Field{"cluster", "Peers of another cluster are refused.",
          TextField{&Settings::cluster, TextForm::kName}},
    Field{"threads", "Event loops, one thread each.",
          NumberField{&Settings::threads, 1, 64}},

    Field{"caller.address", "Where callers connect.",
          TextField{&Settings::caller_address, TextForm::kAddress}},
    Field{"caller.port", "0 takes a port from the system.",
          NumberField{&Settings::caller_port, 0, kMostPort}},
    Field{"caller.connections", "Most connections of callers at once.",
          NumberField{&Settings::caller_connections, 1, 100'000}},
    Field{"caller.body_bytes", "Largest request body.",
          NumberField{&Settings::caller_body_bytes, 1024, 16 * 1024 * 1024}},
    Field{"caller.header_bytes", "Largest request header.",
          NumberField{&Settings::caller_header_bytes, 1024, 64 * 1024}},
    Field{"caller.idle_timeout_ms", "A connection may rest this long.",
          MillisField{&Settings::caller_idle_timeout, milliseconds(100), kDay}},
    Field{"caller.transfer_timeout_ms",
          "A request must arrive, and an answer be taken, within this time.",
          MillisField{&Settings::caller_transfer_timeout, milliseconds(100),
                      kDay}},

    Field{"peer.address", "Where peers reach this daemon; an IP of this host.",
          TextField{&Settings::peer_address, TextForm::kHostAddress}},
    Field{"peer.port", "0 takes a port from the system.",
          NumberField{&Settings::peer_port, 0, kMostPort}},
    Field{"peer.probe_interval_ms", "Time between probes of one peer.",
          MillisField{&Settings::probe_interval, milliseconds(10),
                      milliseconds(60'000)}},

    Field{"operator.address", "Where operators connect.",
          TextField{&Settings::operator_address, TextForm::kAddress}},
    Field{"operator.port", "0 takes a port from the system.",
          NumberField{&Settings::operator_port, 0, kMostPort}},

    Field{"platform.address", "The platform's object API.",
          TextField{&Settings::platform_address, TextForm::kAddress}},
    Field{"platform.port", "Its port.",
          NumberField{&Settings::platform_port, 1, kMostPort}},
    Field{"platform.fleet_reads_per_second",
          "Reads that all daemons together may send. The same on all daemons.",
          NumberField{&Settings::fleet_reads_per_second, 1, 100'000}},
    Field{"platform.fleet_writes_per_second",
          "Writes that all daemons together may send. The same on all daemons.",
          NumberField{&Settings::fleet_writes_per_second, 1, 100'000}},
    Field{"platform.fleet_watches_per_second",
          "Watches that all daemons together may begin. The same on all "
          "daemons.",
          NumberField{&Settings::fleet_watches_per_second, 1, 100'000}},

    Field{"policy.ownership",
          "\"gateway\": each leaf is reached through the daemon that owns it; "
          "\"direct\": each daemon connects to every leaf.",
          TextField{&Settings::ownership, TextForm::kOwnership}},
    Field{"policy.claim_retention_ms",
          "How long an idempotency key is remembered. The same on all daemons.",
          MillisField{&Settings::claim_retention, milliseconds(3600'000),
                      30 * kDay}},

    Field{"stop.leave_notice_ms",
          "On SIGTERM: how long peers get to move their traffic elsewhere.",
          MillisField{&Settings::leave_notice, milliseconds(0),
                      milliseconds(60'000)}},
    Field{"stop.limit_ms", "On SIGTERM: the longest wait for work in flight.",
          MillisField{&Settings::stop_limit, milliseconds(0),
                      milliseconds(600'000)}},
    Field{"log.verbosity", "0: events; 1: requests; 2: calls to leafs.",
          NumberField{&Settings::log_verbosity, 0, 3}},
};

}  // namespace

std::string Field::allowed() const {
  return std::visit(Describer{}, this->binding);
}

bool Field::set(Settings& settings, const boost::json::value& value) const {
  return std::visit(Setter{settings, value}, this->binding);
}

boost::json::value Field::get(const Settings& settings) const {
  return std::visit(Getter{settings}, this->binding);
}

std::span<const Field> fields() noexcept {
  return kFields;
}

}  // namespace ibismux::settings
