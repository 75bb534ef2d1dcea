#include "balsampoint/edge/exchange_surroundings.hpp"

#include "balsampoint/exchange/command/handle.hpp"

namespace balsampoint::edge {

void
HandleEvent(exchange::State& aState,
            const exchange::Event& aEvent,
            ExchangeSurroundings& aSurroundings,
            std::vector<exchange::Action>& aActions)
{
  exchange::Handle(
    aState, aEvent, TrafficState::Now(), aSurroundings, aActions);
}

} // namespace balsampoint::edge
