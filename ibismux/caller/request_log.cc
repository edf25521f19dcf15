#include "ibismux/caller/request_log.h"

#include <glog/logging.h>

#include <iomanip>
#include <ostream>

#include "ibismux/http/message.h"

namespace ibismux::caller {

namespace {

constexpr double kSecondsBetweenRefusals = 0.05;
constexpr int kSampledSuccesses = 100;

struct Line {
  const IncomingRequest& incoming;
  const Error* error;
  Duration took;
};

std::ostream& operator<<(std::ostream& out, const Line& line) {
  out << "event=caller_request request_id="
      << std::quoted(line.incoming.request_id)
      << " service=" << std::quoted(line.incoming.service)
      << " remote=" << line.incoming.http->remote << " took_us="
      << std::chrono::duration_cast<std::chrono::microseconds>(line.took)
             .count();
  if (line.error != nullptr) {
    out << " error=" << error_entry(line.error->kind).name
        << " message=" << std::quoted(line.error->message);
  }
  return out;
}

}  // namespace

void log_request(const IncomingRequest& incoming,
                 const Error* error,
                 Duration took) {
  const Line line{incoming, error, took};
  if (error != nullptr) {
    LOG_EVERY_T(INFO, kSecondsBetweenRefusals) << line;
  } else if (VLOG_IS_ON(1)) {
    VLOG(1) << line;
  } else {
    LOG_EVERY_N(INFO, kSampledSuccesses) << line;
  }
}

}  // namespace ibismux::caller
