#ifndef IBISMUX_STORE_WIRE_H_
#define IBISMUX_STORE_WIRE_H_

#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/time.h"
#include "ibismux/store/host_entry.h"
#include "ibismux/store/stored_object.h"

/// Paths and bodies of docs/PLATFORM.md. An answer that can't be read is a
/// kProtocolError; nothing of it is taken over. All functions are thread safe.
namespace ibismux::store::wire {

/// The platform's limit for one value.
inline constexpr std::size_t kMostValueBytes = 1024 * 1024;
/// The platform's limit for one name.
inline constexpr std::size_t kMostNameBytes = 200;

inline constexpr std::string_view kHostsPath = "/v1/hosts";

/// @name Request targets, percent-encoded
/// @{
[[nodiscard]] std::string collection_target(std::string_view collection);
[[nodiscard]] std::string object_target(std::string_view collection,
                                        std::string_view name);
[[nodiscard]] std::string watch_target(std::string_view collection,
                                       Version since,
                                       std::chrono::milliseconds wait);
/// @}

/// @name Answers
/// @{

/// The version in an ETag, with or without quotes; 0 is none.
[[nodiscard]] Result<Version> parse_etag(std::string_view etag);
/// `{"version":N}`
[[nodiscard]] Result<Version> parse_version(std::string_view body);
[[nodiscard]] Result<Listing> parse_listing(const std::string& collection,
                                            std::string_view body);
/// @param since What was asked for: an answer that goes back behind it can't
/// be one to this question.
[[nodiscard]] Result<WatchBatch> parse_watch(const std::string& collection,
                                             Version since,
                                             std::string_view body);
[[nodiscard]] Result<std::vector<HostEntry>> parse_hosts(std::string_view body);
/// @}

}  // namespace ibismux::store::wire

#endif  // IBISMUX_STORE_WIRE_H_
