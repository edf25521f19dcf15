#ifndef IBISMUX_MEMBERSHIP_MESSAGES_H_
#define IBISMUX_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/membership/member_record.h"

namespace ibismux::membership {

/// "Are you there, and do we agree on the fleet?"
struct ProbeMessage {
  std::uint64_t digest = 0;
  std::uint64_t sender_epoch = 0;
  std::uint64_t target_epoch = 0;  ///< 0: the target is not known.
  bool suspected = false;
  std::vector<MemberRecord> records;
  std::vector<std::uint64_t> buckets;  ///< Empty: nothing is pulled.
  std::size_t first_bucket = 0;
};

struct ProbeAnswer {
  std::uint64_t digest = 0;
  std::vector<MemberRecord> records;
  bool send_yours = false;
  int next_bucket = -1;  ///< Negative: nothing more to pull.
};

/// @name Thrift forms, as thrift/membership.thrift gives them; thread safe.
/// Reading gives kProtocolError for bytes that are no such message.
/// @{
[[nodiscard]] std::string encode(const ProbeMessage& message);
[[nodiscard]] std::string encode(const ProbeAnswer& answer);
[[nodiscard]] std::string encode_gossip(
    const std::vector<MemberRecord>& records);
[[nodiscard]] std::string encode_indirect_probe(const std::string& target);
[[nodiscard]] std::string encode_indirect_answer(bool reached);
[[nodiscard]] Result<ProbeMessage> decode_probe(const std::string& bytes);
[[nodiscard]] Result<ProbeAnswer> decode_answer(const std::string& bytes);
[[nodiscard]] Result<std::vector<MemberRecord>> decode_gossip(
    const std::string& bytes);
[[nodiscard]] Result<std::string> decode_indirect_probe(
    const std::string& bytes);
[[nodiscard]] Result<bool> decode_indirect_answer(const std::string& bytes);
/// @}

}  // namespace ibismux::membership

#endif  // IBISMUX_MEMBERSHIP_MESSAGES_H_
