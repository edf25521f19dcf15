#include "ibismux/membership/messages.h"

#include <limits>
#include <utility>

#include "ibismux/membership/gen/membership_types.h"
#include "ibismux/peer/thrift_codec.h"

namespace ibismux::membership {

namespace {

wire::Record to_wire(const MemberRecord& record) {
  wire::Record out;
  out.__set_name(record.member.name);
  out.__set_incarnation(static_cast<std::int64_t>(record.member.incarnation));
  out.__set_epoch(static_cast<std::int64_t>(record.epoch));
  out.__set_address(record.member.address);
  out.__set_port(record.member.port);
  out.__set_zone(record.member.zone);
  out.__set_link_mbps(record.member.link_mbps);
  out.__set_state(static_cast<std::int32_t>(record.member.state));
  return out;
}

std::vector<wire::Record> to_wire(const std::vector<MemberRecord>& records) {
  std::vector<wire::Record> out;
  out.reserve(records.size());
  for (const MemberRecord& record : records) {
    out.push_back(to_wire(record));
  }
  return out;
}

Result<std::vector<MemberRecord>> from_wire(
    const std::vector<wire::Record>& records) {
  std::vector<MemberRecord> out;
  out.reserve(records.size());
  for (const wire::Record& row : records) {
    if (row.name.empty() || row.state < 0 || row.state > 3 || row.port < 0 ||
        row.port > std::numeric_limits<std::uint16_t>::max() ||
        !(row.link_mbps >= 0)) {
      return fail(ErrorKind::kProtocolError, "malformed member record");
    }
    MemberRecord record;
    record.member.name = row.name;
    record.member.incarnation = static_cast<std::uint64_t>(row.incarnation);
    record.member.address = row.address;
    record.member.port = static_cast<std::uint16_t>(row.port);
    record.member.zone = row.zone;
    record.member.link_mbps = row.link_mbps;
    record.member.state = static_cast<Member::State>(row.state);
    record.epoch = static_cast<std::uint64_t>(row.epoch);
    out.push_back(std::move(record));
  }
  return out;
}

}  // namespace

std::string encode(const ProbeMessage& message) {
  wire::Probe out;
  out.__set_digest(static_cast<std::int64_t>(message.digest));
  out.__set_sender_epoch(static_cast<std::int64_t>(message.sender_epoch));
  out.__set_target_epoch(static_cast<std::int64_t>(message.target_epoch));
  out.__set_suspected(message.suspected);
  out.__set_records(to_wire(message.records));
  for (const std::uint64_t bucket : message.buckets) {
    out.buckets.push_back(static_cast<std::int64_t>(bucket));
  }
  out.__set_first_bucket(static_cast<std::int32_t>(message.first_bucket));
  return peer::encode(out);
}

std::string encode(const ProbeAnswer& answer) {
  wire::ProbeAnswer out;
  out.__set_digest(static_cast<std::int64_t>(answer.digest));
  out.__set_records(to_wire(answer.records));
  out.__set_send_yours(answer.send_yours);
  out.__set_next_bucket(answer.next_bucket);
  return peer::encode(out);
}

std::string encode_gossip(const std::vector<MemberRecord>& records) {
  wire::Gossip out;
  out.__set_records(to_wire(records));
  return peer::encode(out);
}

std::string encode_indirect_probe(const std::string& target) {
  wire::IndirectProbe out;
  out.__set_target(target);
  return peer::encode(out);
}

std::string encode_indirect_answer(bool reached) {
  wire::IndirectAnswer out;
  out.__set_reached(reached);
  return peer::encode(out);
}

Result<ProbeMessage> decode_probe(const std::string& bytes) {
  const auto in = peer::decode<wire::Probe>(bytes);
  if (!in) {
    return tl::unexpected<Error>(in.error());
  }
  auto records = from_wire(in->records);
  if (!records) {
    return tl::unexpected<Error>(records.error());
  }
  ProbeMessage message;
  message.digest = static_cast<std::uint64_t>(in->digest);
  message.sender_epoch = static_cast<std::uint64_t>(in->sender_epoch);
  message.target_epoch = static_cast<std::uint64_t>(in->target_epoch);
  message.suspected = in->suspected;
  message.records = std::move(*records);
  for (const std::int64_t bucket : in->buckets) {
    message.buckets.push_back(static_cast<std::uint64_t>(bucket));
  }
  message.first_bucket =
      static_cast<std::size_t>(in->first_bucket < 0 ? 0 : in->first_bucket);
  return message;
}

Result<ProbeAnswer> decode_answer(const std::string& bytes) {
  const auto in = peer::decode<wire::ProbeAnswer>(bytes);
  if (!in) {
    return tl::unexpected<Error>(in.error());
  }
  auto records = from_wire(in->records);
  if (!records) {
    return tl::unexpected<Error>(records.error());
  }
  ProbeAnswer answer;
  answer.digest = static_cast<std::uint64_t>(in->digest);
  answer.records = std::move(*records);
  answer.send_yours = in->send_yours;
  answer.next_bucket = in->next_bucket;
  return answer;
}

Result<std::vector<MemberRecord>> decode_gossip(const std::string& bytes) {
  const auto in = peer::decode<wire::Gossip>(bytes);
  if (!in) {
    return tl::unexpected<Error>(in.error());
  }
  return from_wire(in->records);
}

Result<std::string> decode_indirect_probe(const std::string& bytes) {
  auto in = peer::decode<wire::IndirectProbe>(bytes);
  if (!in) {
    return tl::unexpected<Error>(in.error());
  }
  return std::move(in->target);
}

Result<bool> decode_indirect_answer(const std::string& bytes) {
  const auto in = peer::decode<wire::IndirectAnswer>(bytes);
  if (!in) {
    return tl::unexpected<Error>(in.error());
  }
  return in->reached;
}

}  // namespace ibismux::membership
