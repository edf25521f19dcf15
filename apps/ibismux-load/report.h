#ifndef APPS_IBISMUX_LOAD_REPORT_H_
#define APPS_IBISMUX_LOAD_REPORT_H_

#include <boost/json/object.hpp>
#include <string>

#include "apps/ibismux-load/experiment.h"
#include "apps/ibismux-load/recorder.h"

namespace ibismux::load {

/// The whole run: each group in all and phase by phase.
[[nodiscard]] boost::json::object summarize(const Experiment& experiment,
                                            const Recorder& recorder);

/// One row a group and second. @return False: the file can't be written.
[[nodiscard]] bool write_csv(const std::string& path, const Recorder& recorder);

/// Writes `FILE.gp`, which draws the CSV at `csv` into `png` when it is given
/// to gnuplot. @return False: the file can't be written.
[[nodiscard]] bool write_plot(const std::string& png,
                              const std::string& csv,
                              const Recorder& recorder);

}  // namespace ibismux::load

#endif  // APPS_IBISMUX_LOAD_REPORT_H_
