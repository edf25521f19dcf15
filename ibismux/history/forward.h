#ifndef IBISMUX_HISTORY_FORWARD_H_
#define IBISMUX_HISTORY_FORWARD_H_

namespace ibismux::history {

struct AcceptedRecord;
struct CheckSettings;
struct InForceRecord;
struct LeafStateRecord;
struct QueryRecord;
struct ReservationRecord;
struct RunRecord;
struct Violation;
class ConfigurationRules;
class HistoryChecker;
class QueryRules;
class ReservationRules;
class RunIndex;

}  // namespace ibismux::history

#endif  // IBISMUX_HISTORY_FORWARD_H_
