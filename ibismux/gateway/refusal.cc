#include "ibismux/gateway/refusal.h"

#include "ibismux/gateway/call_group.h"

namespace ibismux::gateway {

namespace {

struct RefuseEntry {
  ErrorKind kind;
  const char* message;
};

/// In the order of `RefuseReason`.
constexpr RefuseEntry kRefuseTable[kRefuseReasons] = {
    {ErrorKind::kOverloaded, "the leaf's queue is full"},
    {ErrorKind::kOverloaded, "the leaf's queue is too long for the deadline"},
    {ErrorKind::kOverloaded, "gave way to a call of higher priority"},
    {ErrorKind::kDeadlineExceeded, "the deadline passed in the leaf's queue"},
    {ErrorKind::kCancelled, "cancelled while queued"},
    {ErrorKind::kLeafUnavailable, "the leaf is leaving"},
    {ErrorKind::kLeafUnavailable, "the leaf is ejected"},
    {ErrorKind::kLeafUnavailable, "the leaf can't be reached"},
    {ErrorKind::kPeerUnavailable, "this daemon has no share of the leaf"},
};

}  // namespace

Error refusal(RefuseReason reason, const std::string& leaf) {
  const RefuseEntry& entry = kRefuseTable[static_cast<std::size_t>(reason)];
  return not_run(entry.kind, leaf + ": " + entry.message);
}

}  // namespace ibismux::gateway
