#ifndef IBISMUX_EVENTLOG_FORWARD_H_
#define IBISMUX_EVENTLOG_FORWARD_H_

namespace ibismux::eventlog {

enum class Weight : unsigned char;
struct EventLogSettings;
class Event;
class EventLog;
class LineAllowance;

}  // namespace ibismux::eventlog

#endif  // IBISMUX_EVENTLOG_FORWARD_H_
