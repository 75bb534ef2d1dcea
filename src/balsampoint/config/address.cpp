#include "balsampoint/config/address.hpp"

#include <Poco/Net/IPAddress.h>
#include <charconv>

namespace balsampoint::config {

std::optional<Address>
Address::Parse(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto digits = aText.substr(colon + 1);
  auto ip = aText.substr(0, colon);
  const bool bracketed = ip.starts_with('[') && ip.ends_with(']');
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  Address address{ .ip = std::string{ ip } };
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
  Poco::Net::IPAddress number;
  if (error != std::errc{} || end != digits.data() + digits.size() ||
      !Poco::Net::IPAddress::tryParse(address.ip, number) ||
      bracketed != (number.family() == Poco::Net::AddressFamily::IPv6)) {
    return std::nullopt;
  }
  return address;
}

std::string
Address::Text() const
{
  const bool bracketed = ip.find(':') != std::string::npos;
  return (bracketed ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

} // namespace balsampoint::config
