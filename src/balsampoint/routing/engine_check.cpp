#include "balsampoint/routing/engine_check.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <string_view>

namespace balsampoint::routing {

namespace {

bool
IsSize(double aValue)
{
  return std::isfinite(aValue) && aValue >= 0.0;
}

bool
HasSizes(const EngineProfile& aEngine)
{
  const std::array sizes{
    aEngine.layerMb,
    aEngine.kvBytesPerToken,
    aEngine.stepMs,
    aEngine.perWriterMs,
    aEngine.perThousandContextMs,
    aEngine.readTokensPerSecond,
    aEngine.perMillionPairsMs,
    aEngine.activationBytes,
    aEngine.zoneLinkMbps,
    aEngine.meanPromptTokens,
    aEngine.meanAnswerTokens,
  };
  return aEngine.loadTime >= Duration{} && std::ranges::all_of(sizes, IsSize);
}

bool
HasSizes(const AcceleratorKind& aKind)
{
  return IsSize(aKind.memoryMb) && IsSize(aKind.stepFactor) &&
         IsSize(aKind.readFactor);
}

tl::unexpected<Error>
Invalid(const Service& aService, std::string_view aDetail)
{
  return Refuse(ErrorKind::InvalidConfiguration,
                "the engine of service '" + aService.id.String() + "' " +
                  std::string{ aDetail });
}

} // namespace

tl::expected<void, Error>
CheckEngine(const Service& aService)
{
  if (!aService.engine) {
    return {};
  }
  const auto& engine = *aService.engine;
  if (engine.layers == 0 || engine.layers > kMaxLayers) {
    return Invalid(aService,
                   "has " + std::to_string(engine.layers) + " layers; 1 to " +
                     std::to_string(kMaxLayers) + " are possible");
  }
  if (!HasSizes(engine)) {
    return Invalid(aService, "has a negative size or time");
  }
  for (const auto& [name, kind] : engine.kinds) {
    if (!HasSizes(kind)) {
      return Invalid(aService,
                     "has a negative size or factor for accelerator '" + name +
                       "'");
    }
  }
  return {};
}

} // namespace balsampoint::routing
