#ifndef IBISMUX_STORE_OWN_DIALECT_H_
#define IBISMUX_STORE_OWN_DIALECT_H_

#include "ibismux/store/store_dialect.h"

namespace ibismux::store {

/// The object API of docs/PLATFORM.md.
class OwnDialect : public StoreDialect {
 public:
  [[nodiscard]] http::Request get(std::string_view collection,
                                  std::string_view name) const override;
  [[nodiscard]] http::Request list(std::string_view collection,
                                   std::string_view after) const override;
  [[nodiscard]] http::Request watch(
      std::string_view collection,
      Version since,
      std::chrono::milliseconds wait) const override;
  [[nodiscard]] http::Request put(std::string_view collection,
                                  std::string_view name,
                                  std::string value,
                                  Version expected) const override;
  [[nodiscard]] http::Request remove(std::string_view collection,
                                     std::string_view name,
                                     Version expected) const override;
  [[nodiscard]] std::optional<http::Request> hosts() const override;

  [[nodiscard]] int conflict_status() const noexcept override { return 412; }
  [[nodiscard]] Result<StoredObject> read_object(
      std::string_view collection,
      std::string_view name,
      const http::Response& response) const override;
  [[nodiscard]] Result<ListingPage> read_listing(
      std::string_view collection,
      const http::Response& response) const override;
  [[nodiscard]] Result<WatchBatch> read_watch(
      std::string_view collection,
      Version since,
      const http::Response& response) const override;
  [[nodiscard]] Result<Version> read_written(
      const http::Response& response) const override;
  [[nodiscard]] Result<std::vector<HostEntry>> read_hosts(
      const http::Response& response) const override;
};

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_OWN_DIALECT_H_
