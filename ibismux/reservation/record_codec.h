#ifndef IBISMUX_RESERVATION_RECORD_CODEC_H_
#define IBISMUX_RESERVATION_RECORD_CODEC_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/reservation/gen/reservation_types.h"
#include "ibismux/reservation/key_record.h"

namespace ibismux::reservation {

/// @name One record, without its executor. Thread safe.
/// @{
[[nodiscard]] gen::Record to_wire(const KeyRecord& record);
/// kProtocolError for a state that doesn't exist.
[[nodiscard]] Result<KeyRecord> from_wire(const gen::Record& wire);
/// @}

/// @name Thread safe
/// @{
[[nodiscard]] gen::Executor to_wire(const Incarnation& incarnation);
[[nodiscard]] Incarnation from_wire(const gen::Executor& wire);
/// @}

/// Writes records that share a list of executors.
class RecordWriter {
 public:
  void write(const KeyRecord& record);

  std::vector<gen::Executor> executors;
  std::vector<gen::Record> records;

 private:
  std::unordered_map<std::string, std::int32_t> positions;
};

/// The records of a head or segment; kProtocolError where one makes no sense.
/// Thread safe.
[[nodiscard]] Result<std::vector<KeyRecord>> read_records(
    const std::vector<gen::Executor>& executors,
    const std::vector<gen::Record>& records);

/// @name The stored form of a segment. Thread safe.
/// @{
[[nodiscard]] std::string encode_segment(const std::vector<KeyRecord>& records);
[[nodiscard]] Result<std::vector<KeyRecord>> decode_segment(
    const std::string& value);
/// @}

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_RECORD_CODEC_H_
