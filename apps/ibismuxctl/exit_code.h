#ifndef IBISMUX_APPS_IBISMUXCTL_EXIT_CODE_H_
#define IBISMUX_APPS_IBISMUXCTL_EXIT_CODE_H_

namespace ibismux::ctl {

/// How the program ends; part of its interface.
enum class ExitCode : int {
  kOk = 0,
  kDiffers = 1,      ///< `diff` found a difference.
  kBadInput = 2,     ///< The command line or a file is wrong; nothing was sent.
  kRefused = 3,      ///< Rejected, a conflict, or not found.
  kUnavailable = 4,  ///< No daemon answered, or the state didn't come in time.
};

}  // namespace ibismux::ctl

#endif  // IBISMUX_APPS_IBISMUXCTL_EXIT_CODE_H_
