#include "tamarackdrum/endpoint.h"

#include <charconv>

namespace tamarackdrum {

Result<Endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::make_error_code(std::errc::invalid_argument);
  boost::system::error_code Error;
  const boost::asio::ip::address Address =
      boost::asio::ip::make_address(std::string(Text.substr(0, Colon)), Error);
  const std::string_view Digits = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const std::from_chars_result Parsed =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Error || Parsed.ec != std::errc() ||
      Parsed.ptr != Digits.data() + Digits.size())
    return std::make_error_code(std::errc::invalid_argument);
  return Endpoint(Address, Port);
}

} // namespace tamarackdrum
