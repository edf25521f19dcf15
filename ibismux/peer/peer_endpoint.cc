#include "ibismux/peer/peer_endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace ibismux::peer {

std::optional<PeerEndpoint> parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string address(text.substr(0, colon));
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  boost::system::error_code invalid;
  boost::asio::ip::make_address(address, invalid);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      port == 0 || invalid) {
    return std::nullopt;
  }
  return PeerEndpoint{std::move(address), port};
}

}  // namespace ibismux::peer
