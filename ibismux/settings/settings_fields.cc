#include "ibismux/settings/settings_fields.h"

#include <array>

namespace ibismux::settings {

namespace {

using std::chrono::milliseconds;
using Text = TextField<Settings>;
using Number = NumberField<Settings>;
using Millis = MillisField<Settings>;

constexpr std::uint32_t kMostPort = 65535;

constexpr auto kDay = milliseconds(24 * 3600 * 1000);

const std::array kFields = {
    Field<Settings>{"member", "Name of this host, unique in the cluster.",
                    Text{&Settings::member, TextForm::kName}, true},
    Field<Settings>{"zone", "Availability zone of this host.",
                    Text{&Settings::zone, TextForm::kName}, true},
    Field<Settings>{"cluster", "Peers of another cluster are refused.",
                    Text{&Settings::cluster, TextForm::kName}},
    Field<Settings>{"threads", "Event loops, one thread each.",
                    Number{&Settings::threads, 1, 64}},

    Field<Settings>{"caller.address", "Where callers connect.",
                    Text{&Settings::caller_address, TextForm::kAddress}},
    Field<Settings>{"caller.port", "0 takes a port from the system.",
                    Number{&Settings::caller_port, 0, kMostPort}},
    Field<Settings>{"caller.connections",
                    "Most connections of callers at once.",
                    Number{&Settings::caller_connections, 1, 100'000}},
    Field<Settings>{
        "caller.body_bytes", "Largest request body.",
        Number{&Settings::caller_body_bytes, 1024, 16 * 1024 * 1024}},
    Field<Settings>{"caller.header_bytes", "Largest request header.",
                    Number{&Settings::caller_header_bytes, 1024, 64 * 1024}},
    Field<Settings>{
        "caller.idle_timeout_ms", "A connection may rest this long.",
        Millis{&Settings::caller_idle_timeout, milliseconds(100), kDay}},
    Field<Settings>{
        "caller.transfer_timeout_ms",
        "A request must arrive, and an answer be taken, within this time.",
        Millis{&Settings::caller_transfer_timeout, milliseconds(100), kDay}},

    Field<Settings>{"peer.address",
                    "Where peers reach this daemon; an IP of this host.",
                    Text{&Settings::peer_address, TextForm::kHostAddress}},
    Field<Settings>{"peer.port", "0 takes a port from the system.",
                    Number{&Settings::peer_port, 0, kMostPort}},
    Field<Settings>{"peer.probe_interval_ms",
                    "Time between probes of one peer.",
                    Millis{&Settings::probe_interval, milliseconds(10),
                           milliseconds(60'000)}},

    Field<Settings>{"operator.address", "Where operators connect.",
                    Text{&Settings::operator_address, TextForm::kAddress}},
    Field<Settings>{"operator.port", "0 takes a port from the system.",
                    Number{&Settings::operator_port, 0, kMostPort}},

    Field<Settings>{"platform.address", "The platform's object API.",
                    Text{&Settings::platform_address, TextForm::kAddress}},
    Field<Settings>{"platform.port", "Its port.",
                    Number{&Settings::platform_port, 1, kMostPort}},
    Field<Settings>{
        "platform.fleet_reads_per_second",
        "Reads that all daemons together may send. The same on all daemons.",
        Number{&Settings::fleet_reads_per_second, 1, 100'000}},
    Field<Settings>{
        "platform.fleet_writes_per_second",
        "Writes that all daemons together may send. The same on all daemons.",
        Number{&Settings::fleet_writes_per_second, 1, 100'000}},
    Field<Settings>{
        "platform.fleet_watches_per_second",
        "Watches that all daemons together may begin. The same on all "
        "daemons.",
        Number{&Settings::fleet_watches_per_second, 1, 100'000}},

    Field<Settings>{
        "policy.ownership",
        "\"gateway\": each leaf is reached through the daemon that owns it; "
        "\"direct\": each daemon connects to every leaf.",
        Text{&Settings::ownership, TextForm::kOwnership}},
    Field<Settings>{
        "policy.claim_retention_ms",
        "How long an idempotency key is remembered. The same on all daemons.",
        Millis{&Settings::claim_retention, milliseconds(3600'000), 30 * kDay}},

    Field<Settings>{
        "stop.leave_notice_ms",
        "On SIGTERM: how long peers get to move their traffic elsewhere.",
        Millis{&Settings::leave_notice, milliseconds(0), milliseconds(60'000)}},
    Field<Settings>{
        "stop.limit_ms", "On SIGTERM: the longest wait for work in flight.",
        Millis{&Settings::stop_limit, milliseconds(0), milliseconds(600'000)}},
    Field<Settings>{"log.verbosity",
                    "0: events; 1: requests; 2: calls to leafs.",
                    Number{&Settings::log_verbosity, 0, 3}},
};

}  // namespace

std::span<const Field<Settings>> fields() noexcept {
  return kFields;
}

}  // namespace ibismux::settings
