#include "ibismux/relay/messages.h"

#include <utility>

#include "ibismux/peer/thrift_codec.h"
#include "ibismux/relay/gen/relay_types.h"

namespace ibismux::relay {

namespace {

Duration from_millis(std::int64_t millis) {
  // The bound keeps an invalid value from overflowing the clock's type.
  constexpr std::int64_t kMaxMillis = 24LL * 60 * 60 * 1000;
  return std::chrono::milliseconds(
      millis < 0 || millis > kMaxMillis ? kMaxMillis : millis);
}

std::vector<wire::Tally> to_wire(const Tallies& tallies) {
  std::vector<wire::Tally> out;
  for (const auto& [generation, members] : tallies.counts()) {
    wire::Tally tally;
    tally.__set_generation(static_cast<std::int64_t>(generation));
    tally.__set_members(static_cast<std::int32_t>(members));
    out.push_back(std::move(tally));
  }
  return out;
}

Tallies from_wire(const std::vector<wire::Tally>& tallies) {
  Tallies out;
  for (const wire::Tally& tally : tallies) {
    if (tally.members > 0) {
      out.add(static_cast<Generation>(tally.generation),
              static_cast<std::size_t>(tally.members));
    }
  }
  return out;
}

}  // namespace

std::string encode(const PushMessage& message) {
  wire::Push out;
  out.__set_generation(static_cast<std::int64_t>(message.generation));
  out.__set_head(message.head);
  out.__set_age_ms(to_millis(message.age));
  return peer::encode(out);
}

std::string encode(const FetchRequest& request) {
  wire::FetchRequest out;
  out.__set_have(static_cast<std::int64_t>(request.have));
  out.__set_chunks(request.chunks);
  return peer::encode(out);
}

std::string encode(const FetchAnswer& answer) {
  wire::FetchAnswer out;
  out.__set_generation(static_cast<std::int64_t>(answer.generation));
  out.__set_head(answer.head);
  out.__set_chunks(answer.chunks);
  out.__set_age_ms(to_millis(answer.age));
  return peer::encode(out);
}

std::string encode(const InForceReport& report) {
  wire::InForceReport out;
  out.__set_question(report.question);
  out.__set_tallies(to_wire(report.tallies));
  return peer::encode(out);
}

std::string encode_in_force_answer(const Tallies& tallies) {
  wire::InForceAnswer out;
  out.__set_tallies(to_wire(tallies));
  return peer::encode(out);
}

Result<PushMessage> decode_push(const std::string& bytes) {
  auto in = peer::decode<wire::Push>(bytes);
  if (!in) {
    return tl::unexpected<Error>(in.error());
  }
  return PushMessage{static_cast<Generation>(in->generation),
                     std::move(in->head), from_millis(in->age_ms)};
}

Result<FetchRequest> decode_fetch_request(const std::string& bytes) {
  auto in = peer::decode<wire::FetchRequest>(bytes);
  if (!in) {
    return tl::unexpected<Error>(in.error());
  }
  return FetchRequest{static_cast<Generation>(in->have), std::move(in->chunks)};
}

Result<FetchAnswer> decode_fetch_answer(const std::string& bytes) {
  auto in = peer::decode<wire::FetchAnswer>(bytes);
  if (!in) {
    return tl::unexpected<Error>(in.error());
  }
  return FetchAnswer{static_cast<Generation>(in->generation),
                     std::move(in->head), std::move(in->chunks),
                     from_millis(in->age_ms)};
}

Result<InForceReport> decode_report(const std::string& bytes) {
  const auto in = peer::decode<wire::InForceReport>(bytes);
  if (!in) {
    return tl::unexpected<Error>(in.error());
  }
  return InForceReport{in->question, from_wire(in->tallies)};
}

Result<Tallies> decode_in_force_answer(const std::string& bytes) {
  const auto in = peer::decode<wire::InForceAnswer>(bytes);
  if (!in) {
    return tl::unexpected<Error>(in.error());
  }
  return from_wire(in->tallies);
}

}  // namespace ibismux::relay
