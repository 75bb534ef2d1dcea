#include "balsampoint/soak/world.hpp"

#include <algorithm>

namespace balsampoint::test {

using namespace std::chrono_literals;

void
World::Fault()
{
  switch (Draw(4)) {
    case 0:
      FaultOfHost(mHosts[Draw(mHosts.size())]);
      return;
    case 1:
      FaultOfZone(mZones[Draw(mZones.size())]);
      return;
    default:
      FaultOfEngine(mEngines[Draw(mEngines.size())]);
      return;
  }
}

void
World::FaultOfEngine(SoakEngine& aEngine)
{
  const auto index = static_cast<std::size_t>(&aEngine - mEngines.data());
  const auto time = (500 + Draw(7000)) * 1ms;
  switch (Draw(4)) {
    case 0:
      aEngine.frozenUntil = mNow + time;
      return;
    case 1:
      aEngine.claim.presence = roster::Presence::Leaving;
      aEngine.nextBeat = mNow;
      break;
    case 2:
      AddEngine("small", aEngine.claim.description.zone);
      return;
    default:
      aEngine.up = false;
      break;
  }
  At(mNow + time, [this, index] { RestartEngine(mEngines[index]); });
}

void
World::FaultOfHost(SoakHost& aHost)
{
  const auto index = static_cast<std::size_t>(&aHost - mHosts.data());
  const auto time = (300 + Draw(5000)) * 1ms;
  if (Draw(2) == 0) {
    aHost.frozenUntil = mNow + time;
    return;
  }
  aHost.up = false;
  aHost.placement = {};
  At(mNow + time, [this, index] {
    if (!mHosts[index].up) {
      StartHost(mHosts[index]);
    }
  });
}

void
World::FaultOfZone(const ZoneId& aZone)
{
  const auto time = (1000 + Draw(6000)) * 1ms;
  const auto kind = Draw(4);
  if (kind == 0) {
    for (auto& engine : mEngines) {
      if (engine.claim.description.zone == aZone && engine.up) {
        RestartEngine(engine);
      }
    }
    return;
  }
  for (const auto& other : mZones) {
    if (other == aZone) {
      continue;
    }
    if (kind != 1) {
      Cut(aZone, other, time);
    }
    if (kind != 2) {
      Cut(other, aZone, time);
    }
  }
}

void
World::Cut(const ZoneId& aFrom, const ZoneId& aTo, Duration aFor)
{
  auto& until = mCutUntil[{ aFrom, aTo }];
  until = std::max(until, mNow + aFor);
}

} // namespace balsampoint::test
