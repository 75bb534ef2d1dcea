#include "balsampoint/trace/hop.hpp"

#include "balsampoint/runtime/entropy.hpp"

#include <utility>

namespace balsampoint::trace {

namespace {

WallTime
WallNow()
{
  return std::chrono::time_point_cast<std::chrono::nanoseconds>(
    std::chrono::system_clock::now());
}

} // namespace

Hop::Hop(Telemetry& aTelemetry, const Context& aParent, std::string_view aName)
  : mTelemetry{ aTelemetry }
  , mSpan{ .context = aParent,
           .parent = aParent.span,
           .name = std::string{ aName },
           .start = WallNow(),
           .end = {},
           .attributes = {} }
{
  mSpan.context.span = runtime::Entropy::Next() | 1U;
}

Hop::~Hop()
{
  if (!mTelemetry.exporter) {
    return;
  }
  mSpan.end = WallNow();
  mTelemetry.exporter->Export(std::move(mSpan));
}

void
Hop::Note(std::string_view aName, std::string_view aValue)
{
  mSpan.attributes.push_back({ std::string{ aName }, std::string{ aValue } });
}

} // namespace balsampoint::trace
