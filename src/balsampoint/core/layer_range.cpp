#include "balsampoint/core/layer_range.hpp"

#include <string>

namespace balsampoint {

tl::expected<LayerRange, Error>
LayerRange::Make(std::uint32_t aBegin,
                 std::uint32_t aEnd,
                 std::uint32_t aLayers)
{
  if (aBegin < aEnd && aEnd <= aLayers) {
    return LayerRange{ .begin = aBegin, .end = aEnd };
  }
  return Refuse(ErrorKind::BadRequest,
                "layer range [" + std::to_string(aBegin) + ", " +
                  std::to_string(aEnd) + ") is not within a model of " +
                  std::to_string(aLayers) + " layers");
}

} // namespace balsampoint
