#include "balsampoint/daemon/parcel_router.hpp"

#include "balsampoint/peer/change_codec.hpp"
#include "balsampoint/peer/consensus_codec.hpp"
#include "balsampoint/peer/fanout_codec.hpp"
#include "balsampoint/peer/member_codec.hpp"
#include "balsampoint/peer/registry_codec.hpp"
#include "balsampoint/peer/roster_codec.hpp"
#include "balsampoint/peer/usage_codec.hpp"

#include "balsampoint/peer/ledger_codec.hpp"

#include <spdlog/spdlog.h>
#include <utility>

namespace balsampoint::daemon {

namespace {

/**
 * @brief Makes a module's event from a decoded message.
 * @tparam Module The module.
 * @tparam Received The module's event for a message.
 * @tparam Message Type of its messages.
 */
template<typename Module, typename Received, typename Message>
tl::expected<Control::Event, Error>
EventOf(const peer::Parcel& aParcel, tl::expected<Message, Error> aMessage)
{
  return std::move(aMessage).map([&aParcel](Message aDecoded) {
    return Control::Event{ typename Module::Event{
      Received{ aParcel.from, std::move(aDecoded) } } };
  });
}

/** @brief Decodes what control and entry hosts tell each other of servers. */
tl::expected<Control::Event, Error>
DecodeOnServers(const peer::Parcel& aParcel)
{
  if (aParcel.module == peer::ModuleTag::Usage) {
    return EventOf<usage::Module, usage::Received>(
      aParcel, peer::DecodeUsageMessage(aParcel.body));
  }
  return EventOf<roster::Module, roster::Received>(
    aParcel, peer::DecodeRosterMessage(aParcel.body));
}

} // namespace

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
    case peer::ModuleTag::Consensus:
      return EventOf<consensus::Module, consensus::Received>(
        aParcel, peer::DecodeConsensusMessage(aParcel.body));
    case peer::ModuleTag::Change:
      return EventOf<change::Module, change::Received>(
        aParcel, peer::DecodeChangeMessage(aParcel.body));
    case peer::ModuleTag::Fanout:
      return EventOf<fanout::Module, fanout::Received>(
        aParcel, peer::DecodeFanoutMessage(aParcel.body));
    case peer::ModuleTag::Usage:
    case peer::ModuleTag::Roster:
      return DecodeOnServers(aParcel);
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
    case peer::ModuleTag::Limit:
    case peer::ModuleTag::Orders:
      break;
  }
  return Refuse(ErrorKind::BadRequest,
                "no module takes tag " +
                  std::to_string(static_cast<int>(aParcel.module)));
}

} // namespace balsampoint::daemon
