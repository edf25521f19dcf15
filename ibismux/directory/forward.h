#ifndef IBISMUX_DIRECTORY_FORWARD_H_
#define IBISMUX_DIRECTORY_FORWARD_H_

namespace ibismux::directory {

struct LeafEntry;
struct LeafRun;
struct RefusedEntry;
class DirectoryListener;
class LeafDirectory;

}  // namespace ibismux::directory

#endif  // IBISMUX_DIRECTORY_FORWARD_H_
