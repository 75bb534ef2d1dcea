#include "balsampoint/daemon/parcel_router.hpp"

#include "balsampoint/peer/member_codec.hpp"
#include "balsampoint/peer/registry_codec.hpp"

#include "balsampoint/peer/ledger_codec.hpp"

#include <spdlog/spdlog.h>
#include <utility>

namespace balsampoint::daemon {

ParcelRouter::ParcelRouter(ControlMailbox& aMailbox)
  : mMailbox{ aMailbox }
{
}

void
ParcelRouter::Take(const peer::Parcel& aParcel)
{
  auto event = Decode(aParcel);
  if (!event) {
    ++mRefused;
    spdlog::warn("message of host '{}' refused: {}",
                 aParcel.from.Value(),
                 event.error().detail);
    return;
  }
  if (!mMailbox.Push(std::move(*event))) {
    ++mRefused;
  }
}

tl::expected<Control::Event, Error>
ParcelRouter::Decode(const peer::Parcel& aParcel) const
{
  switch (aParcel.module) {
    case peer::ModuleTag::Ledger:
      return peer::DecodeLedgerMessage(aParcel.body)
        .map([&aParcel](ledger::Message aMessage) -> Control::Event {
          return ledger::Event{ ledger::Received{
            .from = aParcel.from, .message = std::move(aMessage) } };
        });
    case peer::ModuleTag::Registry:
      return peer::DecodeRegistryMessage(aParcel.body)
        .map([&](registry::Message aMessage) -> Control::Event {
          return registry::Event{ registry::Received{ aParcel.from,
                                                      std::move(aMessage) } };
        });
    case peer::ModuleTag::Member:
      return peer::DecodeMemberMessage(aParcel.body)
        .map([&](member::Message aMessage) -> Control::Event {
          return member::Event{ member::Received{ aParcel.from,
                                                  std::move(aMessage) } };
        });
    case peer::ModuleTag::Consensus:
    case peer::ModuleTag::Fanout:
    case peer::ModuleTag::Limit:
    case peer::ModuleTag::Orders:
      break;
  }
  return Refuse(ErrorKind::BadRequest,
                "no module takes tag " +
                  std::to_string(static_cast<int>(aParcel.module)));
}

} // namespace balsampoint::daemon
