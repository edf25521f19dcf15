#include "ibismux/edge/edge_settings.h"

#include <array>

namespace ibismux::edge {

namespace {

using settings::TextForm;
using std::chrono::milliseconds;
using Key = settings::Field<EdgeSettings>;
using Text = settings::TextField<EdgeSettings>;
using Number = settings::NumberField<EdgeSettings>;
using Flag = settings::FlagField<EdgeSettings>;
using Real = settings::RealField<EdgeSettings>;
using Millis = settings::MillisField<EdgeSettings>;
using Seconds = settings::SecondsField<EdgeSettings>;
using TextMap = settings::TextMapField<EdgeSettings>;

// The platform computes rates, budgets and times; they may be fractional or
// grow with the fleet. These bounds therefore only reject implausible values.
constexpr double kMaxCallsPerSecond = 1e9;
constexpr double kMaxSlackCalls = 1e9;
constexpr double kMaxRepeatRatio = 100;  // Repeats per request.
constexpr double kMaxLinkMbps = 1e9;
constexpr double kMaxOverage = 100;

const std::array kFields = {
    Key{"member", "Name of this host.",
        Text{&EdgeSettings::member, TextForm::kName}, true},
    Key{"zone", "Availability zone of this host.",
        Text{&EdgeSettings::zone, TextForm::kName}, true},
    Key{"zone_regions",
        "The region of each availability zone. Requests that are bound to "
        "regions are sent to no zone that is not named here.",
        TextMap{&EdgeSettings::zone_regions}},

    Key{"host.link_mbps",
        "Bandwidth of this host's network link, in Mbit/s. 0: unknown; "
        "queries are then neither delegated to peers nor taken over from them.",
        Real{&EdgeSettings::link_mbps, 0, kMaxLinkMbps}},

    Key{"caller.endpoint", "Address on which this daemon accepts callers.",
        Text{&EdgeSettings::caller_endpoint, TextForm::kEndpoint}, true},
    Key{"ready.endpoint",
        "Address at which the load balancer checks whether this daemon accepts "
        "callers.",
        Text{&EdgeSettings::ready_endpoint, TextForm::kEndpoint}, true},
    Key{"metrics.endpoint", "Address at which metrics are served as text.",
        Text{&EdgeSettings::metrics_endpoint, TextForm::kEndpoint}},

    Key{"fleet.endpoint",
        "Address at which other daemons reach this one. Empty: it has no "
        "peers.",
        Text{&EdgeSettings::peer_endpoint, TextForm::kEndpointOrNone}},
    Key{"fleet.hosts",
        "Number of daemons to assume until they have been discovered. The load "
        "that leafs and services tolerate is divided by it.",
        Number{&EdgeSettings::hosts, 1, 10'000}},
    Key{"fleet.watchers",
        "Daemons per zone that watch the store and pass its updates on.",
        Number{&EdgeSettings::watchers, 1, 100}},

    Key{"fleet.first_start",
        "The whole fleet starts for the first time, without callers yet: let a "
        "few daemons read the store, and get its contents from them.",
        Flag{&EdgeSettings::first_start}},

    Key{"store.endpoint", "Address of the platform's object store.",
        Text{&EdgeSettings::store_endpoint, TextForm::kEndpoint}, true},
    Key{"store.fleet_reads_per_second",
        "Reads that all daemons together may send. Must be the same on all "
        "daemons.",
        Real{&EdgeSettings::fleet_reads_per_second, 0, kMaxCallsPerSecond}},
    Key{"store.fleet_writes_per_second",
        "Writes that all daemons together may send. Must be the same on all "
        "daemons.",
        Real{&EdgeSettings::fleet_writes_per_second, 0, kMaxCallsPerSecond}},
    Key{"store.watch_wait_ms", "How long a watch without changes stays open.",
        Millis{&EdgeSettings::watch_wait, milliseconds(100),
               milliseconds(30'000)}},
    Key{"store.change_pause_ms",
        "Pause after a change before the next call, so that it returns several "
        "changes at once.",
        Millis{&EdgeSettings::change_pause, milliseconds(0),
               milliseconds(2000)}},
    Key{"store.check_interval_ms",
        "Interval of the cheap reads that check whether the store answers.",
        Millis{&EdgeSettings::check_interval, milliseconds(100),
               milliseconds(60'000)}},

    Key{"repeats.ratio",
        "Repeats of requests that a service tolerates from all daemons, as a "
        "share of its requests.",
        Real{&EdgeSettings::repeat_ratio, 0, kMaxRepeatRatio}},
    Key{"repeats.slack",
        "Repeats of requests that a service tolerates in addition to that "
        "share, from all daemons, in one window of seconds.",
        Real{&EdgeSettings::repeat_slack, 0, kMaxSlackCalls}},
    Key{"leaf.remote_cost",
        "How much better a leaf of another zone must be to be preferred, as a "
        "multiple of the usual duration of a call.",
        Real{&EdgeSettings::remote_cost, 0, 10}},
    Key{"leaf.response_memory_mb",
        "Megabytes that responses of leafs may take while they arrive. Beyond "
        "them the longest ones are given up.",
        Number{&EdgeSettings::response_memory_mb, 1, 1'000'000}},

    Key{"customers.rate_window_s",
        "Window in which the requests of a customer are compared with its "
        "limit.",
        Seconds{&EdgeSettings::rate_window, milliseconds(100),
                milliseconds(3'600'000)}},
    Key{"customers.rate_overage",
        "By which share all daemons together may exceed a customer's limit "
        "within a window.",
        Real{&EdgeSettings::rate_overage, 0, kMaxOverage}},
    Key{"customers.rate_slack",
        "How many requests they may send in addition to that share.",
        Real{&EdgeSettings::rate_slack, 0, kMaxSlackCalls}},

    Key{"policy.hedge",
        "Send a call that takes longer than usual to a second leaf.",
        Flag{&EdgeSettings::hedge}},
    Key{"policy.share_unresponsive",
        "Hedge all calls at a leaf that one call found unresponsive.",
        Flag{&EdgeSettings::share_unresponsive}},
    Key{"policy.avoid_unresponsive",
        "Send no calls to leafs at which calls wait without answers.",
        Flag{&EdgeSettings::avoid_unresponsive}},
    Key{"policy.prefer_own_zone", "Prefer leafs of this daemon's zone.",
        Flag{&EdgeSettings::prefer_own_zone}},
    Key{"policy.zone_reports",
        "Exchange reports of slow and failing leafs with daemons of the zone.",
        Flag{&EdgeSettings::zone_reports}},
    Key{"policy.staggered_memory",
        "Let daemons forget reports of a slow leaf one after the other.",
        Flag{&EdgeSettings::staggered_memory}},
    Key{"policy.use_leaf_load",
        "Take recent load reports of the leafs into account.",
        Flag{&EdgeSettings::use_leaf_load}},
    Key{"policy.eject",
        "Exclude leafs for a while that lose calls or can't be connected to.",
        Flag{&EdgeSettings::eject}},
    Key{"policy.learn_window",
        "Limit the calls at a leaf to what it answers without queueing.",
        Flag{&EdgeSettings::learn_window}},
    Key{"policy.refuse_early", "Refuse requests that queueing would make late.",
        Flag{&EdgeSettings::refuse_early}},
    Key{"policy.fair_shares",
        "Serve waiting calls of one priority in a fair order of customers.",
        Flag{&EdgeSettings::fair_shares}},
    Key{"policy.partial_answers",
        "Answer queries without their slowest shards rather than late.",
        Flag{&EdgeSettings::partial_answers}},
    Key{"policy.coverage_urgency",
        "Hedge the calls of queries earlier that can hardly leave out shards.",
        Flag{&EdgeSettings::coverage_urgency}},
    Key{"policy.canary",
        "Send a query that no leaf has answered lately to one leaf first, if "
        "its objective leaves time for that.",
        Flag{&EdgeSettings::canary}},
    Key{"policy.late_requests_last",
        "Leave the tokens of a customer beyond its limit to requests that can "
        "still be in time.",
        Flag{&EdgeSettings::late_requests_last}},
    Key{"policy.wait_for_token",
        "Let a request beyond its customer's limit wait for a token that comes "
        "in time for it.",
        Flag{&EdgeSettings::wait_for_token}},
    Key{"policy.pace_returns",
        "Tell refused callers of a customer a later time to return, the longer "
        "the customer has been beyond its limit.",
        Flag{&EdgeSettings::pace_returns}},
    Key{"policy.hold_at_start",
        "Let requests wait for what this daemon lacks after its start, if it "
        "usually comes in time.",
        Flag{&EdgeSettings::hold_at_start}},
    Key{"policy.leaf_checkpoint",
        "Keep the leafs that run in the store, for daemons that start while "
        "the registry has lost their entries.",
        Flag{&EdgeSettings::leaf_checkpoint}},
    Key{"policy.few_probes",
        "Let few daemons of each zone find out whether the store answers "
        "again.",
        Flag{&EdgeSettings::few_probes}},
    Key{"policy.open_ahead", "Open links to leafs before calls need them.",
        Flag{&EdgeSettings::open_ahead}},
    Key{"policy.delegate_queries",
        "Have queries over many shards gathered by a peer of the zone that has "
        "much more bandwidth.",
        Flag{&EdgeSettings::delegate_queries}},
    Key{"policy.gather_overflow",
        "Have queries gathered by peers of other zones while none of this zone "
        "takes them.",
        Flag{&EdgeSettings::gather_overflow}},
    Key{"policy.weigh_cold",
        "Assume that leafs that have just started answer more slowly.",
        Flag{&EdgeSettings::weigh_cold}},

    Key{"stop.limit_s", "On SIGTERM: the longest wait for requests in flight.",
        Seconds{&EdgeSettings::stop_limit, milliseconds(0),
                milliseconds(600'000)}},
    Key{"stop.leave_notice_ms",
        "On SIGTERM: how long new callers are still served, so that the "
        "load balancer can notice the shutdown.",
        Millis{&EdgeSettings::leave_notice, milliseconds(0),
               milliseconds(60'000)}},

    Key{"log.ordinary_per_second", "Log lines about successful requests.",
        Number{&EdgeSettings::log_ordinary, 1, 100'000}},
    Key{"log.failures_per_second", "Log lines about failed requests.",
        Number{&EdgeSettings::log_failures, 1, 100'000}},
    Key{"log.beliefs_per_second",
        "Log lines about changes in the known state of leafs, store and "
        "configuration.",
        Number{&EdgeSettings::log_beliefs, 1, 100'000}},
};

}  // namespace

std::span<const Key> edge_fields() noexcept {
  return kFields;
}

}  // namespace ibismux::edge
