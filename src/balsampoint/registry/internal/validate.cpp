#include "balsampoint/registry/internal/validate.hpp"

#include <charconv>
#include <cmath>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace balsampoint::registry::internal {

namespace {

using Check = tl::expected<void, Error>;

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxHoldings = 64;

Check
BadRequest(std::string_view aDetail)
{
  return Refuse(ErrorKind::BadRequest, aDetail);
}

bool
IsPort(std::string_view aText)
{
  std::uint16_t port{};
  const auto* end = aText.data() + aText.size();
  const auto [rest, status] = std::from_chars(aText.data(), end, port);
  return status == std::errc{} && rest == end && port != 0;
}

bool
IsIpAddress(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789abcdefABCDEF.:[]";
  return !aText.empty() &&
         aText.find_first_not_of(kDigits) == std::string_view::npos &&
         aText.find_first_of(".:") != std::string_view::npos;
}

Check
ValidateAddress(std::string_view aAddress)
{
  const auto colon = aAddress.rfind(':');
  if (colon != std::string_view::npos &&
      IsIpAddress(aAddress.substr(0, colon)) &&
      IsPort(aAddress.substr(colon + 1))) {
    return {};
  }
  return BadRequest("the address is not an IP address and a port");
}

Check
ValidateHolding(const State& aState, const Holding& aHolding)
{
  if (aHolding.model.Empty() || aHolding.version.empty()) {
    return BadRequest("a holding has no model or no version");
  }
  const auto range = LayerRange::Make(
    aHolding.layers.begin, aHolding.layers.end, aHolding.modelLayers);
  if (!range) {
    return tl::unexpected(range.error());
  }
  const auto known = aState.modelLayers.find(aHolding.model);
  if (known == aState.modelLayers.end() ||
      known->second == aHolding.modelLayers) {
    return {};
  }
  return BadRequest("model " + aHolding.model.String() +
                    " is configured with " + std::to_string(known->second) +
                    " layers, not " + std::to_string(aHolding.modelLayers));
}

Check
ValidateHoldings(const State& aState, const Announcement& aAnnouncement)
{
  if (aAnnouncement.holdings.size() > kMaxHoldings) {
    return BadRequest("the server has too many holdings");
  }
  std::set<std::pair<ModelId, std::string>> seen;
  for (const auto& holding : aAnnouncement.holdings) {
    if (!seen.emplace(holding.model, holding.version).second) {
      return BadRequest("two holdings have the same model and version");
    }
    if (auto valid = ValidateHolding(aState, holding); !valid) {
      return valid;
    }
  }
  return {};
}

Check
ValidateKind(const Announcement& aAnnouncement)
{
  const bool engine = aAnnouncement.kind == ServerKind::ModelEngine;
  if (engine != aAnnouncement.service.Empty()) {
    return BadRequest(engine ? "a model engine names a service"
                             : "a plain server names no service");
  }
  if (!engine && !aAnnouncement.holdings.empty()) {
    return BadRequest("a plain server has holdings of a model");
  }
  const auto rate = aAnnouncement.layerTokensPerSecond;
  if (!std::isfinite(rate) || rate < 0.0 || (engine && rate == 0.0)) {
    return BadRequest("the rate in layer tokens per second is out of range");
  }
  return {};
}

} // namespace

Check
Validate(const State& aState, const Announcement& aAnnouncement)
{
  const auto& name = aAnnouncement.server.Value();
  if (name.empty() || name.size() > kMaxNameBytes) {
    return BadRequest("the server id is empty or too long");
  }
  if (aAnnouncement.incarnation == Incarnation{}) {
    return BadRequest("the incarnation is zero");
  }
  if (aAnnouncement.zone != aState.settings.zone) {
    return BadRequest("zone " + aAnnouncement.zone.String() +
                      " is not this host's zone " +
                      aState.settings.zone.String());
  }
  return ValidateAddress(aAnnouncement.address)
    .and_then([&] { return ValidateKind(aAnnouncement); })
    .and_then([&] { return ValidateHoldings(aState, aAnnouncement); });
}

} // namespace balsampoint::registry::internal
