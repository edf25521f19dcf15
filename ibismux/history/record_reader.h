#ifndef IBISMUX_HISTORY_RECORD_READER_H_
#define IBISMUX_HISTORY_RECORD_READER_H_

#include <string_view>

#include "ibismux/base/error.h"
#include "ibismux/history/history_record.h"

namespace ibismux::history {

/// The record in one line of a history file (docs/HISTORY.md). kProtocolError
/// where it is no JSON object with a type, or a field has the wrong type.
/// Thread safe.
[[nodiscard]] Result<HistoryRecord> read_record(std::string_view line);

}  // namespace ibismux::history

#endif  // IBISMUX_HISTORY_RECORD_READER_H_
