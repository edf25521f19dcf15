#include "ibismux/reservation/ticket.h"

#include "ibismux/reservation/ticket_table.h"
#include "tests/reservation/fleet.h"

#include <criterion/criterion.h>

namespace ibismux::reservation {
namespace {

using Fate = testing::FakeLeafCaller::Fate;
using Start = TicketTable::Start;
using std::chrono::hours;
using std::chrono::milliseconds;

Ticket ticket_at(std::uint64_t serial, milliseconds issued) {
  return Ticket{{"host", 7}, issued, serial};
}

testing::FakeLeafCaller::Plan held() {
  return [](const auto&, const auto&) { return Fate::kRunsWhenReleased; };
}

bool calls_held(Fleet& fleet, std::size_t count) {
  return fleet.wait([&fleet, count] { return fleet.leafs.held() == count; });
}

Test(ticket, is_read_back_from_its_text) {
  const Ticket ticket{
      {"host-with-dash", 0xfedcba9876543210}, milliseconds(5), 42};
  cr_assert(parse_ticket(to_string(ticket)) == ticket);
  cr_assert(!parse_ticket("order-1").has_value());
  cr_assert(!parse_ticket("ticket-1-2-3-host").has_value());
  cr_assert(!parse_ticket(to_string(Ticket{})).has_value());
}

Test(ticket, a_table_forgets_only_what_can_not_be_used_again) {
  TicketTable table{ReservationSettings{}};
  TicketTable::Entry entry;
  const Ticket ticket = ticket_at(1, milliseconds(0));
  cr_assert(table.start(ticket, 5, milliseconds(1), entry) == Start::kStarted);
  table.finish(ticket, {RecordState::kRun, 0, "low", "done"});
  cr_assert(table.start(ticket, 5, milliseconds(2), entry) == Start::kKnown);
  cr_assert(entry.result == "done");
  cr_assert(table.start(ticket, 6, milliseconds(2), entry) == Start::kReused);
  cr_assert(table.start(ticket, 5, hours(1), entry) == Start::kExpired);
  cr_assert(table.size() == 0);
  cr_assert(table.ask(ticket, hours(1)).state == RecordState::kUnknown);
}

Test(ticket, runs_once_through_any_daemon_with_the_platform_down) {
  Fleet fleet(3);
  fleet.store.set_outage(true);
  const std::string ticket = fleet.engine(0).issue_ticket();
  auto first = fleet.reserve_now(1, ticket, "fuse");
  cr_assert(first.has_value() && !first->repeat);
  for (std::size_t daemon = 0; daemon < 3; ++daemon) {
    cr_assert(fleet.reserve_now(daemon, ticket, "fuse")->body == first->body);
    cr_assert(fleet.ask_now(daemon, ticket)->state == KeyState::kRun);
  }
  cr_assert(fleet.leafs.calls() == 1);
  cr_assert(fleet.store.writes() == 0);
}

Test(ticket, a_question_closes_one_that_was_never_used) {
  Fleet fleet(2);
  const std::string ticket = fleet.engine(0).issue_ticket();
  cr_assert(fleet.ask_now(1, ticket)->state == KeyState::kNotRun);
  auto late = fleet.reserve_now(1, ticket, "fuse");
  cr_assert(late.error().kind == ErrorKind::kKeyReused);
  cr_assert(fleet.leafs.calls() == 0);
}

Test(ticket, a_second_attempt_waits_for_the_first) {
  Fleet fleet(2);
  fleet.leafs.plan(held());
  const std::string ticket = fleet.engine(0).issue_ticket();
  auto first = fleet.reserve(0, ticket, "fuse");
  cr_assert(calls_held(fleet, 1));
  auto second = fleet.reserve(1, ticket, "fuse");
  cr_assert(fleet.ask_now(1, ticket)->state == KeyState::kRunning);
  fleet.leafs.release();
  cr_assert(fleet.get(first).has_value());
  cr_assert(fleet.get(second)->repeat);
  cr_assert(fleet.leafs.calls() == 1);
}

// Failure: an order is executed by the daemon that died, and once more.
Test(ticket, whose_issuer_is_gone_is_run_by_nobody) {
  for (const bool restarts : {false, true}) {
    Fleet fleet(2);
    fleet.leafs.plan(held());
    const std::string ticket = fleet.engine(0).issue_ticket();
    auto first = fleet.reserve(0, ticket, "fuse");
    cr_assert(calls_held(fleet, 1));
    fleet.kill(0);
    if (restarts) {
      fleet.restart(0);
      cr_assert(fleet.reserve_now(0, ticket, "fuse").error().kind ==
                ErrorKind::kOutcomeUnknown);
    }
    cr_assert(fleet.reserve_now(1, ticket, "fuse").error().kind ==
              ErrorKind::kOutcomeUnknown);
    cr_assert(fleet.ask_now(1, ticket)->state == KeyState::kUnknown);
    cr_assert(fleet.leafs.calls() == 1);
  }
}

}  // namespace
}  // namespace ibismux::reservation
