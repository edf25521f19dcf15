#include "ibismux/reservation/claim_client.h"

#include <algorithm>
#include <utility>

#include "ibismux/membership/membership_view.h"
#include "ibismux/peer/peer_network.h"
#include "ibismux/peer/thrift_codec.h"
#include "ibismux/reservation/bucket_keeper.h"
#include "ibismux/reservation/bucket_owner.h"
#include "ibismux/reservation/record_codec.h"

namespace ibismux::reservation {

namespace {

/// The owner and the next in line; this daemon itself comes after them.
constexpr std::size_t kMostOwners = 2;
/// An owner that did not answer in time is passed over for this long.
constexpr std::chrono::seconds kSlowFor{1};

std::string encode_operation(const BucketOperation& operation,
                             TimePoint deadline) {
  gen::Operation wire;
  wire.kind = static_cast<std::int8_t>(operation.kind);
  wire.record = to_wire(operation.record);
  wire.executor = to_wire(operation.record.executor);
  wire.remaining_ms = to_millis(remaining(deadline, Clock::now()));
  return peer::encode(wire);
}

Result<BucketOperation> decode_operation(const gen::Operation& wire) {
  if (wire.kind < 0 ||
      wire.kind > static_cast<std::int8_t>(OperationKind::kClose)) {
    return fail(ErrorKind::kProtocolError, "no such operation on a key");
  }
  auto record = from_wire(wire.record);
  if (!record) {
    return tl::unexpected<Error>(std::move(record).error());
  }
  record->executor = from_wire(wire.executor);
  return BucketOperation{static_cast<OperationKind>(wire.kind),
                         std::move(*record)};
}

std::string encode_verdict(const Verdict& verdict) {
  gen::Verdict wire;
  wire.kind = static_cast<std::int8_t>(verdict.kind);
  wire.record = to_wire(verdict.record);
  wire.executor = to_wire(verdict.record.executor);
  return peer::encode(wire);
}

Result<Verdict> decode_verdict(const std::string& payload) {
  auto wire = peer::decode<gen::Verdict>(payload);
  if (!wire) {
    return tl::unexpected<Error>(std::move(wire).error());
  }
  if (wire->kind < 0 ||
      wire->kind > static_cast<std::int8_t>(VerdictKind::kAbsent)) {
    return fail(ErrorKind::kProtocolError, "no such verdict on a key");
  }
  auto record = from_wire(wire->record);
  if (!record) {
    return tl::unexpected<Error>(std::move(record).error());
  }
  record->executor = from_wire(wire->executor);
  return Verdict{static_cast<VerdictKind>(wire->kind), std::move(*record)};
}

peer::MessageKind message_kind(OperationKind kind) {
  return kind == OperationKind::kRecord ? peer::MessageKind::kRecord
                                        : peer::MessageKind::kClaim;
}

}  // namespace

ClaimClient::ClaimClient(ReservationSettings settings,
                         const RcuCell<membership::MembershipView>& members,
                         peer::PeerNetwork& peers,
                         std::vector<std::shared_ptr<BucketKeeper>> keepers)
    : settings(settings),
      members(members),
      peers(peers),
      keepers(std::move(keepers)) {}

std::vector<std::string> ClaimClient::candidates(std::uint32_t bucket) {
  const auto view = this->members.read();
  auto owners = bucket_owners(*view, bucket, kMostOwners);
  const std::string& self = this->peers.self().member;
  const auto now = Clock::now();
  std::lock_guard lock(this->mutex);
  std::erase_if(owners, [&](const std::string& owner) {
    const auto slow = this->slow_until.find(owner);
    return owner != self && slow != this->slow_until.end() &&
           slow->second > now;
  });
  if (std::ranges::find(owners, self) == owners.end()) {
    owners.push_back(self);
  }
  return owners;
}

void ClaimClient::mark_slow(const std::string& member) {
  std::lock_guard lock(this->mutex);
  this->slow_until[member] = Clock::now() + kSlowFor;
}

Task<Result<Verdict>> ClaimClient::commit(BucketOperation operation,
                                          TimePoint deadline) {
  const std::uint32_t bucket = bucket_of(operation.record.key);
  const std::vector<std::string> owners = this->candidates(bucket);
  Result<Verdict> verdict =
      fail(ErrorKind::kDeadlineExceeded, "no time left for the claim");
  for (const std::string& owner : owners) {
    if (Clock::now() >= deadline) {
      break;
    }
    if (owner == this->peers.self().member) {
      verdict = co_await this->keepers[bucket]->commit(operation, deadline);
    } else {
      verdict = co_await this->commit_at(owner, operation, deadline);
    }
    if (verdict) {
      break;
    }
  }
  co_return verdict;
}

Task<Result<Verdict>> ClaimClient::commit_at(std::string member,
                                             BucketOperation operation,
                                             TimePoint deadline) {
  const TimePoint limit =
      std::min(deadline, Clock::now() + this->settings.owner_patience);
  std::string payload = encode_operation(operation, limit);
  Result<std::string> reply = co_await this->peers.request(
      member, message_kind(operation.kind), std::move(payload), limit);
  if (!reply) {
    if (reply.error().kind != ErrorKind::kPlatformUnavailable) {
      this->mark_slow(member);
    }
    co_return tl::unexpected<Error>(std::move(reply).error());
  }
  co_return decode_verdict(*reply);
}

Task<Result<std::string>> ClaimClient::serve(std::string payload) {
  auto wire = peer::decode<gen::Operation>(payload);
  if (!wire) {
    co_return tl::unexpected<Error>(std::move(wire).error());
  }
  auto operation = decode_operation(*wire);
  if (!operation) {
    co_return tl::unexpected<Error>(std::move(operation).error());
  }
  const TimePoint deadline =
      Clock::now() + std::chrono::milliseconds(wire->remaining_ms);
  const std::uint32_t bucket = bucket_of(operation->record.key);
  Result<Verdict> verdict =
      co_await this->keepers[bucket]->commit(std::move(*operation), deadline);
  if (!verdict) {
    co_return tl::unexpected<Error>(std::move(verdict).error());
  }
  co_return encode_verdict(*verdict);
}

Task<bool> ClaimClient::is_dead(KeyRecord record, TimePoint deadline) {
  gen::Question question;
  question.claim_high = static_cast<std::int64_t>(record.claim.high);
  question.claim_low = static_cast<std::int64_t>(record.claim.low);
  std::string payload = peer::encode(question);
  const TimePoint limit =
      std::min(deadline, Clock::now() + this->settings.owner_patience);
  Result<std::string> reply = co_await this->peers.request(
      record.executor.member, peer::MessageKind::kAskKey, std::move(payload),
      limit);
  if (!reply) {
    co_return false;
  }
  auto status = peer::decode<gen::ClaimStatus>(*reply);
  if (!status) {
    co_return false;
  }
  // A later run of that daemon knows nothing of the claim: it can't tell.
  const auto answering = static_cast<std::uint64_t>(status->incarnation);
  co_return answering == record.executor.number && !status->live;
}

}  // namespace ibismux::reservation
